// Package service defines the interface of the services that a kernel runs.
//
// # Usage
//
// A type that implements Service lists its dependencies by name in Needs and looks
// them up in Start:
//
//	func (t *Tail) Name() service.Name    { return "tail" }
//	func (t *Tail) Needs() []service.Name { return []service.Name{"timer", "log"} }
package service

import "context"

// Name identifies a service within one kernel.
type Name string

// Finder looks up services by name. kernel.Kernel implements it.
type Finder interface {
	// Lookup returns the service with the given name, or an error when there is none.
	Lookup(name Name) (Service, error)
}

// Service is a component of a daemon that a kernel starts and stops.
type Service interface {
	// Name returns the name under which other services find this one.
	Name() Name
	// Needs lists the services that must run before this one starts.
	Needs() []Name
	// Start returns once the service is ready for use. Goroutines that outlive Start
	// end when ctx is cancelled or Stop is called.
	Start(ctx context.Context, f Finder) error
	// Stop ends the service's goroutines. It returns early when ctx ends.
	Stop(ctx context.Context) error
}
