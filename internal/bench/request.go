package bench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"balsamwharf.example/balsamwharf/internal/bearer"
	"balsamwharf.example/balsamwharf/internal/fleet"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/settings"
	"balsamwharf.example/balsamwharf/internal/slopes"
	"balsamwharf.example/balsamwharf/internal/usage"
)

const (
	warm    = 300
	edits   = 5
	key     = "bench-key"
	daemons = 4
)

// measureRequest measures requests and changes in a small fleet over loopback.
func measureRequest(ctx context.Context, e effort, s *slopes.Slopes) error {
	heap := usage.Heap()
	f, err := fleet.New(fleet.Plan{
		Centres:  []ids.Centre{"one", "two"},
		Services: []fleet.Service{{ID: "school/payments", Targets: daemons, Slots: 64}},
	})
	if err != nil {
		return err
	}
	defer f.Close()
	if err := publish(f); err != nil {
		return err
	}
	s.Memory.Base = (float64(usage.Heap()) - float64(heap)) / daemons
	if s.Work.Force, err = forceTime(ctx, f); err != nil {
		return err
	}
	d := f.Daemons[0]
	if s.Work.Request, err = requestCost(e.requests, d.Callers+"/deposits", http.StatusOK); err != nil {
		return err
	}
	s.Work.Direct, err = requestCost(e.requests, d.Backend()+"/deposits", http.StatusOK)
	return err
}

func publish(f *fleet.Fleet) error {
	for _, e := range []struct {
		path   ids.Path
		values map[string]string
	}{
		{"teams/root", map[string]string{"credential": string(bearer.HashOf(fleet.RootCredential))}},
		{settings.PathOf(team, settings.KindTeam, ""), map[string]string{"credential": string(bearer.HashOf(fleet.CredentialOf(team)))}},
		{settings.PathOf(team, settings.KindService, "payments"), map[string]string{"floor": "60"}},
		{settings.PathOf(team, settings.KindRoute, "deposits"), map[string]string{"prefix": "/deposits", "service": "payments"}},
		{settings.PathOf(team, settings.KindAccount, "one"), map[string]string{"rate": "100000", "burst": "100000"}},
		{settings.PathOf(team, settings.KindKey, "one"), map[string]string{"hash": string(bearer.HashOf(key)), "account": "one"}},
	} {
		if err := f.Edit(e.path, e.values); err != nil {
			return err
		}
	}
	return nil
}

// requestCost sends requests one after the other and returns the processor time
// of one in microseconds.
func requestCost(requests int, url string, want int) (float64, error) {
	var failed error
	send := func(int) {
		if err := sendOne(url, want); err != nil {
			failed = err
		}
	}
	patience := time.Now().Add(stopTimeout)
	for sendOne(url, want) != nil && time.Now().Before(patience) {
		time.Sleep(100 * time.Millisecond) // a new holder's share fills first
	}
	each(warm, send)
	if failed != nil {
		return 0, failed
	}
	return each(requests, send), failed
}

func sendOne(url string, want int) error {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != want {
		err = errorx.ExternalError.New("status %d: %s", resp.StatusCode, body)
	}
	return err
}

// forceTime returns the median time from an edit until every daemon knows that it
// is in force, in microseconds.
func forceTime(ctx context.Context, f *fleet.Fleet) (float64, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	var times []time.Duration
	for i := range edits {
		began := time.Now()
		if err := f.Edit(settings.PathOf(team, settings.KindAccount, fmt.Sprint("change", i)), map[string]string{"rate": "1", "burst": "1"}); err != nil {
			return 0, err
		}
		for _, d := range f.Daemons {
			if err := d.App.WaitInForce(ctx); err != nil {
				return 0, err
			}
		}
		times = append(times, time.Since(began))
	}
	slices.Sort(times)
	return micros(times[len(times)/2]), nil
}
