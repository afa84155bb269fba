package settings

import (
	"errors"
)

// Trust is the section [trust] of balsamd.ini: TLS between daemons.
type Trust struct {
	Authority string `ini:"authority" default:"" unit:"file" doc:"Certificate authority that signs every daemon's certificate."`
	Cert      string `ini:"cert" default:"" unit:"file" doc:"Certificate of this daemon; its common name is the daemon's name."`
	Key       string `ini:"key" default:"" unit:"file" doc:"Private key of cert."`
}

// Check returns an error for the first invalid value, or nil.
func (t Trust) Check() error {
	if t.Authority == "" || t.Cert == "" || t.Key == "" {
		return errors.New("authority, cert and key are all needed")
	}
	return nil
}
