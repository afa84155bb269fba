package operators

import (
	"context"
	"net/http"
	"sync"
	"time"

	"balsamwharf.example/balsamwharf/internal/burn"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/message"
	"balsamwharf.example/balsamwharf/internal/replay"
	"balsamwharf.example/balsamwharf/internal/settings"
)

const (
	gatherTimeout  = 8 * time.Second
	gatherParallel = 32
)

// burnReport is the report with how much of the fleet it covers.
type burnReport struct {
	Daemons  int                  `json:"daemons"`
	Answered int                  `json:"answered"`
	Services []burn.ServiceReport `json:"services"`
}

// report asks every daemon in reach for its counts and adds them up.
func (o *Operators) report(r *http.Request) (any, error) {
	ctx, cancel := o.Common.Clock.Within(r.Context(), gatherTimeout)
	defer cancel()
	members := o.directory.Reachable()
	tallies := []burn.Tally{o.burn.Tally()}
	var mu sync.Mutex
	var wg sync.WaitGroup
	places := make(chan struct{}, gatherParallel)
	for _, m := range members {
		if m.Daemon == o.Common.Settings.Identity.Daemon {
			continue
		}
		wg.Go(func() {
			places <- struct{}{}
			defer func() { <-places }()
			if t, ok := o.ask(ctx, m.Daemon); ok {
				mu.Lock()
				tallies = append(tallies, t)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	lines := burn.Report(tallies, o.objectives())
	return burnReport{Daemons: len(members), Answered: len(tallies), Services: lines}, nil
}

func (o *Operators) ask(ctx context.Context, id ids.Daemon) (burn.Tally, bool) {
	reply, err := o.peers.Call(ctx, id, message.TallyQuery{})
	if err != nil {
		return burn.Tally{}, false
	}
	counted, ok := reply.(message.TallyReply)
	return counted.Tally, ok
}

// objectives returns what each service promises.
func (o *Operators) objectives() map[ids.Service]burn.Objective {
	list := map[ids.Service]burn.Objective{}
	o.tail.View(func(s *replay.State) {
		for _, path := range s.Paths() {
			e, _ := s.Get(path)
			if v, ok := e.Section.(settings.Service); ok {
				id := ids.ServiceOf(settings.TeamOf(path), settings.NameOf(path))
				list[id] = burn.Objective{Share: v.Objective, Latency: v.Latency}
			}
		}
	})
	return list
}
