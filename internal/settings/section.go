package settings

// Section is one section of the shared settings: a Service, Route, Account, Key
// or Team. The interface is sealed; callers use a type switch.
type Section interface {
	isSection()
	// Check returns an error for the first invalid value, or nil.
	Check() error
}

func (Service) isSection() {}
func (Route) isSection()   {}
func (Account) isSection() {}
func (Key) isSection()     {}
func (Team) isSection()    {}
