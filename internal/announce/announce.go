// Package announce receives what the backend servers of this VM say of
// themselves.
//
// # Usage
//
//	PUT    /targets/NAME  {"service": "andrade/payments", "address": "127.0.0.1:9001", "slots": 3}
//	DELETE /targets/NAME
//
// A backend server repeats the PUT to renew, three times within its ttl (30s
// where it names none), and sends the DELETE to drain. A target whose ttl ends
// gets no new requests.
package announce

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/event"
	"balsamwharf.example/balsamwharf/internal/gatekeeper"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/pkg/kernel"
	"balsamwharf.example/balsamwharf/pkg/service"
)

const (
	maxBody           = 16 << 10
	maxSlots          = 65536
	readHeaderTimeout = 5 * time.Second
)

// Server is the HTTP server for the backend servers of this VM.
type Server struct {
	Common *common.Common
	// Listener is used instead of opening one at the settings' address.
	Listener net.Listener

	gatekeeper *gatekeeper.Gatekeeper
	server     *http.Server
}

// form is the body of an announcement.
type form struct {
	Service ids.Service `json:"service"`
	Address ids.Address `json:"address"`
	Slots   int         `json:"slots"`
	// Cold is the time that the backend server needs to warm up, as "30s".
	Cold string `json:"cold"`
	// TTL is how long the announcement holds without a renewal, as "30s".
	TTL string `json:"ttl"`
}

// Name implements service.Service.
func (a *Server) Name() service.Name { return "announce" }

// Needs implements service.Service.
func (a *Server) Needs() []service.Name { return []service.Name{"gatekeeper"} }

// Start implements service.Service.
func (a *Server) Start(_ context.Context, f service.Finder) error {
	var err error
	if a.gatekeeper, err = kernel.Find[*gatekeeper.Gatekeeper](f, "gatekeeper"); err != nil {
		return err
	}
	if a.Listener == nil {
		if a.Listener, err = net.Listen("tcp", string(a.Common.Settings.Listen.Announce)); err != nil {
			return errorx.Decorate(err, "listen for backend servers")
		}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /targets/{name}", a.put)
	mux.HandleFunc("DELETE /targets/{name}", a.remove)
	a.server = &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	go a.serve()
	return nil
}

func (a *Server) serve() {
	if err := a.server.Serve(a.Listener); !errors.Is(err, http.ErrServerClosed) {
		a.Common.Warn(event.ListenFailed, zap.Error(err))
	}
}

// Stop implements service.Service.
func (a *Server) Stop(ctx context.Context) error { return a.server.Shutdown(ctx) }

func (a *Server) put(w http.ResponseWriter, r *http.Request) {
	announcement, err := read(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	a.gatekeeper.Announce(announcement)
	w.WriteHeader(http.StatusNoContent)
}

// read checks an announcement.
func read(r *http.Request) (gatekeeper.Announcement, error) {
	var none gatekeeper.Announcement
	var f form
	decoder := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxBody))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		return none, errorx.Decorate(err, "announcement is not the expected JSON")
	}
	if ids.TeamOf(f.Service) == ids.Team(f.Service) {
		return none, errorx.IllegalArgument.New("service %q must have the form TEAM/NAME", f.Service)
	}
	host, _, err := net.SplitHostPort(string(f.Address))
	if err != nil || net.ParseIP(host) == nil {
		return none, errorx.IllegalArgument.New("address %q must be an IP number with a port", f.Address)
	}
	if f.Slots < 1 || f.Slots > maxSlots {
		return none, errorx.IllegalArgument.New("slots is %d, but must lie between 1 and %d", f.Slots, maxSlots)
	}
	cold, err := durationOf("cold", f.Cold)
	if err != nil {
		return none, err
	}
	ttl, err := durationOf("ttl", f.TTL)
	if err != nil {
		return none, err
	}
	id := ids.Target(r.PathValue("name"))
	return gatekeeper.Announcement{ID: id, Service: f.Service, Address: f.Address, Slots: f.Slots, WarmUp: cold, TTL: ttl}, nil
}

// durationOf reads an optional duration.
func durationOf(name, text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		return 0, errorx.IllegalArgument.New("%s is %q, but must be a duration such as 30s", name, text)
	}
	return d, nil
}

func (a *Server) remove(w http.ResponseWriter, r *http.Request) {
	if !a.gatekeeper.DrainTarget(ids.Target(r.PathValue("name"))) {
		http.Error(w, "no such target", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
