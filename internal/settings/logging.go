package settings

import (
	"fmt"
)

// Logging is the section [logging] of balsamd.ini.
type Logging struct {
	Level string `ini:"level" default:"info" unit:"debug, info, warn or error" doc:"Least level of events that are logged."`
}

// Check returns what is wrong with the values, or nil.
func (l Logging) Check() error {
	switch l.Level {
	case "debug", "info", "warn", "error":
		return nil
	}
	return fmt.Errorf("level is %q, but must be debug, info, warn or error", l.Level)
}
