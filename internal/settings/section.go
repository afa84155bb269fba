package settings

// Section is one section of the shared settings: a Service, Route, Account, Key
// or Team. The interface is sealed; users switch over the types.
type Section interface {
	isSection()
	// Check returns what is wrong with the values, or nil.
	Check() error
}

func (Service) isSection() {}
func (Route) isSection()   {}
func (Account) isSection() {}
func (Key) isSection()     {}
func (Team) isSection()    {}
