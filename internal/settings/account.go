package settings

import (
	"fmt"

	"balsamwharf.example/balsamwharf/internal/units"
)

// Account is the section teams/TEAM/accounts/NAME.
type Account struct {
	Rate   units.Rate   `ini:"rate" default:"10" unit:"requests per second" doc:"Requests per second over all VMs together."`
	Burst  int          `ini:"burst" default:"20" unit:"requests" doc:"Requests that may come at once after a quiet time."`
	Weight units.Weight `ini:"weight" default:"1" unit:"number" doc:"Share of a busy target relative to other client accounts."`
}

// Check implements Section.
func (a Account) Check() error {
	if a.Rate <= 0 {
		return fmt.Errorf("rate is %v, but must be above 0", a.Rate)
	}
	if a.Burst < 1 {
		return fmt.Errorf("burst is %d, but must be 1 or more", a.Burst)
	}
	if a.Weight < 1 {
		return fmt.Errorf("weight is %d, but must be 1 or more", a.Weight)
	}
	return nil
}
