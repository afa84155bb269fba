// Package metricsserver serves the daemon's metrics over HTTP.
//
// # Usage
//
//	k.Add(&metricsserver.Server{Common: c}) // at the settings' metrics address
package metricsserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/event"
	"balsamwharf.example/balsamwharf/internal/exposition"
	"balsamwharf.example/balsamwharf/internal/metric"
	"balsamwharf.example/balsamwharf/pkg/service"
)

// readTimeout bounds reading a scraper's request.
const readTimeout = 5 * time.Second

// Server is the HTTP server for metrics.
type Server struct {
	Common *common.Common

	server *http.Server
}

// Name implements service.Service.
func (s *Server) Name() service.Name { return "metricsserver" }

// Needs implements service.Service.
func (s *Server) Needs() []service.Name { return nil }

// Start implements service.Service.
func (s *Server) Start(context.Context, service.Finder) error {
	at := s.Common.Mesh.Sockets.Metrics
	if at == "" {
		return nil
	}
	listener, err := net.Listen("tcp", string(at))
	if err != nil {
		return errorx.Decorate(err, "listen for metrics scrapers")
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", s.metrics)
	s.server = &http.Server{Handler: mux, ReadTimeout: readTimeout, ErrorLog: zap.NewStdLog(zap.NewNop())}
	go func() {
		if err := s.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			s.Common.Warn(event.ListenFailed, common.Cause(err))
		}
	}()
	return nil
}

// Stop implements service.Service.
func (s *Server) Stop(context.Context) error {
	if s.server == nil {
		return nil
	}
	return s.server.Close()
}

func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	metric.InvariantFailures.Gauge(s.Common.Metrics).Update(s.Common.Invariant.Broken())
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	exposition.Write(w, s.Common.Metrics)
}
