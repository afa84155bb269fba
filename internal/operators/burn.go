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
	burnQueryTimeout   = 8 * time.Second
	maxParallelQueries = 32
)

// burnReport is the JSON body of GET /v1/burn. Daemons counts the reachable daemons,
// Answered those whose counts are in the report.
type burnReport struct {
	Daemons  int                  `json:"daemons"`
	Answered int                  `json:"answered"`
	Services []burn.ServiceReport `json:"services"`
}

// reportBurn serves GET /v1/burn: it queries the request counts of every reachable
// daemon and adds them up. Daemons that do not answer in time are left out.
func (o *Server) reportBurn(r *http.Request) (any, error) {
	ctx, cancel := o.Common.Clock.WithTimeout(r.Context(), burnQueryTimeout)
	defer cancel()
	members := o.directory.Reachable()
	tallies := []burn.Tally{o.burn.Tally()}
	var mu sync.Mutex
	var wg sync.WaitGroup
	sem := make(chan struct{}, maxParallelQueries)
	for _, m := range members {
		if m.Daemon == o.Common.Settings.Identity.Daemon {
			continue
		}
		wg.Go(func() {
			sem <- struct{}{}
			defer func() { <-sem }()
			if t, ok := o.queryTally(ctx, m.Daemon); ok {
				mu.Lock()
				tallies = append(tallies, t)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	services := burn.Report(tallies, o.objectives())
	return burnReport{Daemons: len(members), Answered: len(tallies), Services: services}, nil
}

// queryTally queries the request counts of one daemon.
func (o *Server) queryTally(ctx context.Context, id ids.Daemon) (burn.Tally, bool) {
	reply, err := o.peers.Call(ctx, id, message.TallyQuery{})
	if err != nil {
		return burn.Tally{}, false
	}
	tally, ok := reply.(message.TallyReply)
	return tally.Tally, ok
}

// objectives returns the service level objective of each service.
func (o *Server) objectives() map[ids.Service]burn.Objective {
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
