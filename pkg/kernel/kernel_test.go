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

// diary is what parts write down. A part that hangs writes while others go on.
type diary struct {
	mu    sync.Mutex
	lines []string
}

func (d *diary) add(line string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lines = append(d.lines, line)
}

func (d *diary) read() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.lines)
}

// part is a service that writes down when it starts and stops.
type part struct {
	name  service.Name
	needs []service.Name
	diary *diary
	fails bool
	hangs chan struct{}
}

func (p *part) Name() service.Name    { return p.name }
func (p *part) Needs() []service.Name { return p.needs }

func (p *part) Start(context.Context, service.Finder) error {
	if p.fails {
		return errors.New("no luck")
	}
	p.diary.add("start " + string(p.name))
	return nil
}

func (p *part) Stop(ctx context.Context) error {
	p.diary.add("stop " + string(p.name))
	if p.hangs != nil {
		<-p.hangs
	}
	return ctx.Err()
}

func TestOrder(t *testing.T) {
	var d diary
	var k kernel.Kernel
	k.Add(&part{name: "c", needs: []service.Name{"a", "b"}, diary: &d})
	k.Add(&part{name: "b", needs: []service.Name{"a"}, diary: &d})
	k.Add(&part{name: "a", diary: &d})
	must.NoError(t, k.Start(t.Context()))
	must.NoError(t, k.Stop(time.Second))
	must.Eq(t, []string{"start a", "start b", "start c", "stop c", "stop b", "stop a"}, d.read())
}

func TestStartErrors(t *testing.T) {
	cases := []struct {
		name  string
		parts []*part
		says  string
		diary []string
	}{
		{"a missing need", []*part{{name: "a", needs: []service.Name{"x"}}}, `needs "x"`, nil},
		{"a cycle", []*part{{name: "a", needs: []service.Name{"b"}}, {name: "b", needs: []service.Name{"a"}}}, "cycle: a, b", nil},
		{"a name used twice", []*part{{name: "a"}, {name: "a"}}, "used twice", nil},
		{"a service that fails", []*part{{name: "a"}, {name: "b", needs: []service.Name{"a"}, fails: true}}, "no luck", []string{"start a", "stop a"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var d diary
			var k kernel.Kernel
			for _, p := range c.parts {
				p.diary = &d
				k.Add(p)
			}
			must.ErrorContains(t, k.Start(t.Context()), c.says)
			must.Eq(t, c.diary, d.read())
		})
	}
}

// A service that hangs while it stops does not keep the others from stopping.
func TestStopIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var d diary
		hangs := make(chan struct{})
		defer close(hangs)
		var k kernel.Kernel
		k.Add(&part{name: "a", diary: &d})
		k.Add(&part{name: "b", needs: []service.Name{"a"}, diary: &d, hangs: hangs})
		must.NoError(t, k.Start(t.Context()))
		must.ErrorContains(t, k.Stop(time.Second), `"b"`)
		must.SliceContains(t, d.read(), "stop a")
	})
}

func TestFind(t *testing.T) {
	var d diary
	var k kernel.Kernel
	k.Add(&part{name: "a", diary: &d})
	found, err := kernel.Find[*part](&k, "a")
	must.NoError(t, err)
	must.EqOp(t, service.Name("a"), found.name)
	var into service.Service
	must.NoError(t, kernel.Bind(&k, "a", &into))
	_, err = kernel.Find[*part](&k, "b")
	must.ErrorContains(t, err, `no service "b"`)
	_, err = kernel.Find[interface{ Fly() }](&k, "a")
	must.ErrorContains(t, err, "is a *kernel_test.part")
}
