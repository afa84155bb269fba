// Package announce is the HTTP server at which the backend servers of this VM announce
// themselves.
//
// # Usage
//
//	PUT    /targets/NAME  {"service": "andrade/payments", "address": "127.0.0.1:9001", "slots": 3}
//	DELETE /targets/NAME
//
// A backend server renews its announcement by repeating the PUT three times within its
// ttl, which is 30s by default, and sends the DELETE to drain. A target whose ttl
// expires gets no new requests.
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
	maxBodyBytes      = 16 << 10
	maxSlots          = 65536
	readHeaderTimeout = 5 * time.Second
)

// Server is the HTTP server for announcements. Start begins to listen and Stop shuts
// it down.
type Server struct {
	Common *common.Common
	// Listener, if set, is used in place of one at the address in the settings.
	Listener net.Listener

	gatekeeper *gatekeeper.Gatekeeper
	server     *http.Server
}

// form is the JSON body of a PUT. The errors of encoding/json, which are sent to the
// backend server, contain the name of this type.
type form struct {
	Service ids.Service `json:"service"`
	Address ids.Address `json:"address"`
	Slots   int         `json:"slots"`
	// WarmUp is how long the backend server is slow after its start, such as "30s".
	// Backend servers call it "cold".
	WarmUp string `json:"cold"`
	// TTL is how long the announcement is valid without a renewal, such as "30s".
	TTL string `json:"ttl"`
}

// Name implements service.Service.
func (s *Server) Name() service.Name { return "announce" }

// Needs implements service.Service.
func (s *Server) Needs() []service.Name { return []service.Name{"gatekeeper"} }

// Start implements service.Service.
func (s *Server) Start(_ context.Context, f service.Finder) error {
	var err error
	if s.gatekeeper, err = kernel.Find[*gatekeeper.Gatekeeper](f, "gatekeeper"); err != nil {
		return err
	}
	if s.Listener == nil {
		if s.Listener, err = net.Listen("tcp", string(s.Common.Settings.Listen.Announce)); err != nil {
			return errorx.Decorate(err, "listen for backend servers")
		}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /targets/{name}", s.handlePut)
	mux.HandleFunc("DELETE /targets/{name}", s.handleDelete)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	go s.serve()
	return nil
}

func (s *Server) serve() {
	if err := s.server.Serve(s.Listener); !errors.Is(err, http.ErrServerClosed) {
		s.Common.Warn(event.ListenFailed, zap.Error(err))
	}
}

// Stop implements service.Service.
func (s *Server) Stop(ctx context.Context) error { return s.server.Shutdown(ctx) }

// handlePut adds or renews a target. It answers 400 to an invalid announcement.
func (s *Server) handlePut(w http.ResponseWriter, r *http.Request) {
	announcement, err := decode(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.gatekeeper.Announce(announcement)
	w.WriteHeader(http.StatusNoContent)
}

// decode reads and checks an announcement. The errors are sent to the backend server.
func decode(r *http.Request) (gatekeeper.Announcement, error) {
	var none gatekeeper.Announcement
	var body form
	decoder := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		return none, errorx.Decorate(err, "announcement is not the expected JSON")
	}
	if ids.TeamOf(body.Service) == ids.Team(body.Service) {
		return none, errorx.IllegalArgument.New("service %q must have the form TEAM/NAME", body.Service)
	}
	host, _, err := net.SplitHostPort(string(body.Address))
	if err != nil || net.ParseIP(host) == nil {
		return none, errorx.IllegalArgument.New("address %q must be an IP number with a port", body.Address)
	}
	if body.Slots < 1 || body.Slots > maxSlots {
		return none, errorx.IllegalArgument.New("slots is %d, but must lie between 1 and %d", body.Slots, maxSlots)
	}
	warmUp, err := parseDuration("cold", body.WarmUp)
	if err != nil {
		return none, err
	}
	ttl, err := parseDuration("ttl", body.TTL)
	if err != nil {
		return none, err
	}
	id := ids.Target(r.PathValue("name"))
	return gatekeeper.Announcement{ID: id, Service: body.Service, Address: body.Address, Slots: body.Slots, WarmUp: warmUp, TTL: ttl}, nil
}

// parseDuration parses an optional duration; an empty text is zero. The field is named
// in the error.
func parseDuration(field, text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		return 0, errorx.IllegalArgument.New("%s is %q, but must be a duration such as 30s", field, text)
	}
	return d, nil
}

// handleDelete drains a target. It answers 404 if no such target is announced.
func (s *Server) handleDelete(w http.ResponseWriter, r *http.Request) {
	if !s.gatekeeper.DrainTarget(ids.Target(r.PathValue("name"))) {
		http.Error(w, "no such target", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
