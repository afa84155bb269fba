// Package kernel starts services in the order of their dependencies, finds them by
// name and stops them in reverse order.
//
// # Usage
//
//	var k kernel.Kernel
//	k.Add(&timer.Timer{})
//	k.Add(&tail.Tail{})
//	if err := k.Start(ctx); err != nil {
//		return err
//	}
//	defer k.Stop(5 * time.Second)
//	t, err := kernel.Find[*timer.Timer](&k, "timer")
//
// The zero Kernel is ready for use. Start returns an error before any service runs
// when a dependency is missing, dependencies form a cycle or a name is used twice.
package kernel

import (
	"context"
	"errors"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"balsamwharf.example/balsamwharf/pkg/service"
)

// Kernel holds the services of one daemon.
type Kernel struct {
	mu         sync.RWMutex
	added      []service.Service
	byName     map[service.Name]service.Service
	duplicates []service.Name
	running    []service.Service
	cancel     context.CancelFunc
}

// Add registers a service. It must not be called after Start. A name that is already
// in use is reported by Start.
func (k *Kernel) Add(s service.Service) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.byName == nil {
		k.byName = map[service.Name]service.Service{}
	}
	if _, ok := k.byName[s.Name()]; ok {
		k.duplicates = append(k.duplicates, s.Name())
		return
	}
	k.byName[s.Name()] = s
	k.added = append(k.added, s)
}

// Lookup implements service.Finder.
func (k *Kernel) Lookup(name service.Name) (service.Service, error) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	s, ok := k.byName[name]
	if !ok {
		return nil, errorx.IllegalArgument.New("kernel has no service %q", name)
	}
	return s, nil
}

// Find returns the service with the given name as a T. It returns an error when there
// is no such service or it is not a T.
func Find[T any](f service.Finder, name service.Name) (T, error) {
	var zero T
	s, err := f.Lookup(name)
	if err != nil {
		return zero, err
	}
	t, ok := s.(T)
	if !ok {
		return zero, errorx.IllegalArgument.New("service %q is a %T, not a %T", name, s, &zero)
	}
	return t, nil
}

// Bind stores the service with the given name in into. It returns the errors of Find
// and then leaves into unchanged.
func Bind[T any](f service.Finder, name service.Name, into *T) error {
	found, err := Find[T](f, name)
	if err != nil {
		return err
	}
	*into = found
	return nil
}

// Start starts each service after the services that it needs. When one fails to
// start, those already running are stopped.
func (k *Kernel) Start(ctx context.Context) error {
	order, err := k.order()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	k.cancel = cancel
	for _, s := range order {
		if err := s.Start(ctx, k); err != nil {
			stopErr := k.Stop(startFailureStopTimeout)
			return errors.Join(errorx.Decorate(err, "start service %q", s.Name()), stopErr)
		}
		k.running = append(k.running, s)
	}
	return nil
}

const startFailureStopTimeout = 2 * time.Second

// Stop stops the running services in reverse order and waits at most timeout for
// each. It returns the errors of all services that failed to stop.
func (k *Kernel) Stop(timeout time.Duration) error {
	var errs []error
	for i := len(k.running) - 1; i >= 0; i-- {
		s := k.running[i]
		if err := stopOne(s, timeout); err != nil {
			errs = append(errs, errorx.Decorate(err, "stop service %q", s.Name()))
		}
	}
	k.running = nil
	if k.cancel != nil {
		k.cancel()
	}
	return errors.Join(errs...)
}

func stopOne(s service.Service, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- s.Stop(ctx) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// order returns the services sorted so that each comes after its dependencies.
func (k *Kernel) order() ([]service.Service, error) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	if len(k.duplicates) > 0 {
		return nil, errorx.IllegalState.New("service name %q is used twice", k.duplicates[0])
	}
	var order []service.Service
	placed := map[service.Name]bool{}
	for len(order) < len(k.added) {
		before := len(order)
		for _, s := range k.added {
			if placed[s.Name()] || !k.ready(s, placed) {
				continue
			}
			placed[s.Name()] = true
			order = append(order, s)
		}
		if len(order) == before {
			return nil, k.blockedError(placed)
		}
	}
	return order, nil
}

func (k *Kernel) ready(s service.Service, placed map[service.Name]bool) bool {
	for _, n := range s.Needs() {
		if !placed[n] {
			return false
		}
	}
	return true
}

// blockedError returns the reason why the services that are not placed can't start.
func (k *Kernel) blockedError(placed map[service.Name]bool) error {
	var cycle []string
	for _, s := range k.added {
		if placed[s.Name()] {
			continue
		}
		for _, n := range s.Needs() {
			if _, ok := k.byName[n]; !ok {
				return errorx.IllegalState.New("service %q needs %q, which the kernel does not have", s.Name(), n)
			}
		}
		cycle = append(cycle, string(s.Name()))
	}
	sort.Strings(cycle)
	return errorx.IllegalState.New("services need each other in a cycle: %s", strings.Join(cycle, ", "))
}
