// Package service defines what the kernel runs.
//
// # Usage
//
// A part of the daemon implements Service, names the services that it needs,
// and looks them up in Start:
//
//	func (t *Tail) Name() service.Name    { return "tail" }
//	func (t *Tail) Needs() []service.Name { return []service.Name{"timer", "log"} }
package service

import "context"

// Name identifies a service within one kernel.
type Name string

// Finder looks up a service by name. A kernel is one.
type Finder interface {
	Lookup(name Name) (Service, error)
}

// Service is a part of a daemon that a kernel starts and stops.
type Service interface {
	// Name returns the name under which other services find this one.
	Name() Name
	// Needs lists the services that must run before this one starts.
	Needs() []Name
	// Start returns once the service can be used. Tasks that outlive Start end
	// when ctx is cancelled or when Stop is called.
	Start(ctx context.Context, f Finder) error
	// Stop ends the service's tasks. It returns early when ctx ends.
	Stop(ctx context.Context) error
}
