package kernel_test

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/pkg/kernel"
	"balsamwharf.example/balsamwharf/pkg/service"
)

// eventLog records the starts and stops of services. It locks, since a service whose
// Stop hangs may write to it while others run.
type eventLog struct {
	mu    sync.Mutex
	lines []string
}

func (l *eventLog) add(line string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, line)
}

func (l *eventLog) read() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.lines)
}

// fakeService records its start and stop in an eventLog.
type fakeService struct {
	name  service.Name
	needs []service.Name
	log   *eventLog
	fails bool
	hangs chan struct{}
}

func (s *fakeService) Name() service.Name    { return s.name }
func (s *fakeService) Needs() []service.Name { return s.needs }

func (s *fakeService) Start(context.Context, service.Finder) error {
	if s.fails {
		return errors.New("start failed")
	}
	s.log.add("start " + string(s.name))
	return nil
}

func (s *fakeService) Stop(ctx context.Context) error {
	s.log.add("stop " + string(s.name))
	if s.hangs != nil {
		<-s.hangs
	}
	return ctx.Err()
}

func TestOrder(t *testing.T) {
	var log eventLog
	var k kernel.Kernel
	k.Add(&fakeService{name: "c", needs: []service.Name{"a", "b"}, log: &log})
	k.Add(&fakeService{name: "b", needs: []service.Name{"a"}, log: &log})
	k.Add(&fakeService{name: "a", log: &log})
	must.NoError(t, k.Start(t.Context()))
	must.NoError(t, k.Stop(time.Second))
	must.Eq(t, []string{"start a", "start b", "start c", "stop c", "stop b", "stop a"}, log.read())
}

func TestStartErrors(t *testing.T) {
	cases := []struct {
		name     string
		services []*fakeService
		want     string
		events   []string
	}{
		{"a missing dependency", []*fakeService{{name: "a", needs: []service.Name{"x"}}}, `needs "x"`, nil},
		{"a cycle", []*fakeService{{name: "a", needs: []service.Name{"b"}}, {name: "b", needs: []service.Name{"a"}}}, "cycle: a, b", nil},
		{"a name used twice", []*fakeService{{name: "a"}, {name: "a"}}, "used twice", nil},
		{"a service that fails", []*fakeService{{name: "a"}, {name: "b", needs: []service.Name{"a"}, fails: true}}, "start failed", []string{"start a", "stop a"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var log eventLog
			var k kernel.Kernel
			for _, s := range c.services {
				s.log = &log
				k.Add(s)
			}
			must.ErrorContains(t, k.Start(t.Context()), c.want)
			must.Eq(t, c.events, log.read())
		})
	}
}

// A service whose Stop hangs doesn't keep the others from being stopped.
func TestStopIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log eventLog
		hangs := make(chan struct{})
		defer close(hangs)
		var k kernel.Kernel
		k.Add(&fakeService{name: "a", log: &log})
		k.Add(&fakeService{name: "b", needs: []service.Name{"a"}, log: &log, hangs: hangs})
		must.NoError(t, k.Start(t.Context()))
		must.ErrorContains(t, k.Stop(time.Second), `"b"`)
		must.SliceContains(t, log.read(), "stop a")
	})
}

func TestFind(t *testing.T) {
	var log eventLog
	var k kernel.Kernel
	k.Add(&fakeService{name: "a", log: &log})
	found, err := kernel.Find[*fakeService](&k, "a")
	must.NoError(t, err)
	must.EqOp(t, service.Name("a"), found.name)
	var into service.Service
	must.NoError(t, kernel.Bind(&k, "a", &into))
	_, err = kernel.Find[*fakeService](&k, "b")
	must.ErrorContains(t, err, `no service "b"`)
	_, err = kernel.Find[interface{ Fly() }](&k, "a")
	must.ErrorContains(t, err, "is a *kernel_test.fakeService")
}
