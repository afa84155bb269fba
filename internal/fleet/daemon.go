package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/units"
)

// Announce announces the daemon's backend server to it.
func (d *Daemon) Announce() error {
	return d.AnnounceAt(d.backend.Listener.Addr().String(), d.slots)
}

// AnnounceAt announces another backend server in place of the daemon's own.
func (d *Daemon) AnnounceAt(address string, slots units.Slots) error {
	body, err := json.Marshal(map[string]any{
		"service": d.Service,
		"address": address,
		"slots":   slots,
	})
	if err != nil {
		return err
	}
	return d.tell(http.MethodPut, body)
}

// renew repeats the announcement until the daemon stops or its target leaves.
func (d *Daemon) renew(ctx context.Context) {
	ticker := time.NewTicker(renewPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			_ = d.Announce()
		case <-ctx.Done():
			return
		}
	}
}

// Follow reports the connections that open and close at the backend server.
func (d *Daemon) Follow(note func(net.Conn, http.ConnState)) { d.follower.Store(&note) }

func (d *Daemon) follow(c net.Conn, s http.ConnState) {
	if note := d.follower.Load(); note != nil {
		(*note)(c, s)
	}
}

// Backend returns the base URL of the daemon's backend server.
func (d *Daemon) Backend() string { return d.backend.URL }

// Leave drains the daemon's backend server.
func (d *Daemon) Leave() error {
	d.renewing()
	return d.tell(http.MethodDelete, nil)
}

func (d *Daemon) tell(method string, body []byte) error {
	req, err := http.NewRequest(method, d.announce+"/targets/"+string(d.Standin.ID), bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errorx.Decorate(err, "announce %s", d.Standin.ID)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return errorx.ExternalError.New("announcement of %s got status %d", d.Standin.ID, resp.StatusCode)
	}
	return nil
}

// Stop stops the daemon gracefully.
func (d *Daemon) Stop() error {
	d.renewing()
	d.stopped = true
	return d.App.Stop()
}

// Restart stops a daemon gracefully and starts it again at the same addresses, as
// a new incarnation. Callers must turn to other daemons meanwhile.
func (f *Fleet) Restart(d *Daemon) error {
	if err := d.Stop(); err != nil {
		return err
	}
	if err := d.listen(); err != nil {
		return err
	}
	return f.run(d)
}

// ready waits until every daemon knows every target and a roster of all daemons
// is in force.
func (f *Fleet) ready() error {
	deadline := time.Now().Add(readyTimeout)
	for {
		missing := f.missing()
		if missing == "" {
			return nil
		}
		if !time.Now().Before(deadline) {
			return errorx.TimeoutElapsed.New("not every daemon knows every target after %s: %s", readyTimeout, missing)
		}
		time.Sleep(readyPause)
	}
}

// missing tells what the first daemon lacks that does not know the whole fleet, or nothing.
func (f *Fleet) missing() string {
	want := map[ids.Service]int{}
	for _, d := range f.Daemons {
		want[d.Service]++
	}
	for _, d := range f.Daemons {
		if n := len(d.App.Roster().Entries); n != len(f.Daemons) {
			return fmt.Sprintf("%s has a roster of %d daemons instead of %d", d.ID, n, len(f.Daemons))
		}
		for id, n := range want {
			if known := d.App.TargetCount(id); known != n {
				return fmt.Sprintf("%s knows %d targets of %s instead of %d", d.ID, known, id, n)
			}
		}
	}
	return ""
}

// WaitFor waits until a condition holds; it is for conditions that have no event
// to wait for.
func WaitFor(ctx context.Context, holds func() bool) error {
	for !holds() {
		select {
		case <-time.After(readyPause):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
