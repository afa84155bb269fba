package settings

import (
	"errors"

	"balsamwharf.example/balsamwharf/internal/ids"
)

// Identity is the section [identity] of balsamd.ini.
type Identity struct {
	Daemon ids.Daemon `ini:"daemon" default:"" unit:"name" doc:"Name of this daemon, unique in the fleet."`
	Centre ids.Centre `ini:"centre" default:"" unit:"name" doc:"Data centre of the VM."`
	Region ids.Region `ini:"region" default:"home" unit:"name" doc:"Region of the data centre."`
}

// Check returns an error for the first invalid value, or nil.
func (i Identity) Check() error {
	if i.Daemon == "" {
		return errors.New("daemon is missing")
	}
	if i.Centre == "" {
		return errors.New("centre is missing")
	}
	return nil
}
