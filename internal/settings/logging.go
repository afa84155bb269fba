package settings

import (
	"fmt"
)

// Logging is the section [logging] of balsamd.ini.
type Logging struct {
	Level string `ini:"level" default:"info" unit:"debug, info, warn or error" doc:"Least level of events that are logged."`
	Lines int    `ini:"lines" default:"300" unit:"lines a second" doc:"Lines beyond this are left out: those of requests served without incident first, then repeats of the same cause."`
}

// Check returns an error for the first invalid value, or nil.
func (l Logging) Check() error {
	if l.Lines <= 0 {
		return fmt.Errorf("lines is %d, but must be above 0", l.Lines)
	}
	switch l.Level {
	case "debug", "info", "warn", "error":
		return nil
	}
	return fmt.Errorf("level is %q, but must be debug, info, warn or error", l.Level)
}
