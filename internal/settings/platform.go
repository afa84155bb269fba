package settings

import (
	"errors"
	"fmt"
	"net/url"
	"time"
)

// Platform is the section [platform] of balsamd.ini.
type Platform struct {
	Log     string        `ini:"log" default:"" unit:"URL" doc:"The platform's append-only log service."`
	Timeout time.Duration `ini:"timeout" default:"1s" unit:"duration" doc:"Time for one call to the log service."`
	// Retention determines how often the state is written to the log again, since older
	// records expire.
	Retention time.Duration `ini:"retention" default:"24h" unit:"duration" doc:"How long the log service keeps a record."`
}

// minRetention leaves time to write a snapshot before records expire.
const minRetention = time.Hour

// Check returns an error for the first invalid value, or nil.
func (p Platform) Check() error {
	u, err := url.Parse(p.Log)
	if err != nil || u.Scheme == "" || u.Host == "" {
		return fmt.Errorf("log is %q, but must be a URL", p.Log)
	}
	if p.Retention < minRetention {
		return fmt.Errorf("retention is %s, but must be %s or more", p.Retention, minRetention)
	}
	if p.Timeout <= 0 {
		return errors.New("timeout must be above 0")
	}
	return nil
}
