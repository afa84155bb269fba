package settings

import (
	"errors"
	"fmt"
	"time"

	"balsamwharf.example/balsamwharf/internal/units"
)

// Service is the section teams/TEAM/services/NAME.
type Service struct {
	Floor     units.Percent `ini:"floor" default:"60" unit:"percent" doc:"Share of the announced slots that ejection must leave in use."`
	Deadline  time.Duration `ini:"deadline" default:"2s" unit:"duration" doc:"Time for a request when neither the caller nor the route sets one."`
	Retries   units.Percent `ini:"retries" default:"10" unit:"percent" doc:"Retries and hedges allowed, as a share of the service's requests."`
	Objective units.Percent `ini:"objective" default:"99.9" unit:"percent" doc:"Share of requests that must succeed within latency."`
	Latency   time.Duration `ini:"latency" default:"500ms" unit:"duration" doc:"Slowest answer that still counts as good."`
}

// Check implements Section.
func (s Service) Check() error {
	if s.Floor < 0 || s.Floor > 100 {
		return fmt.Errorf("floor is %v, but must lie between 0 and 100", s.Floor)
	}
	if s.Retries < 0 || s.Retries > 100 {
		return fmt.Errorf("retries is %v, but must lie between 0 and 100", s.Retries)
	}
	if s.Objective <= 0 || s.Objective >= 100 {
		return fmt.Errorf("objective is %v, but must lie above 0 and below 100", s.Objective)
	}
	if s.Deadline <= 0 || s.Latency <= 0 {
		return errors.New("deadline and latency must be above 0")
	}
	return nil
}
