package settings

import (
	"fmt"
	"strings"

	"balsamwharf.example/balsamwharf/internal/ids"
)

// Peers is the section [peers] of balsamd.ini.
type Peers struct {
	Seeds []string `ini:"seeds" default:"" unit:"NAME@IP:port, comma separated" doc:"A few daemons through which this one learns of the others."`
}

// Check returns an error for the first invalid value, or nil.
func (p Peers) Check() error {
	for _, s := range p.Seeds {
		name, addr, ok := strings.Cut(s, "@")
		if !ok || name == "" {
			return fmt.Errorf("seed %q must have the form NAME@IP:port", s)
		}
		if err := checkAddress(ids.Address(addr)); err != nil {
			return err
		}
	}
	return nil
}
