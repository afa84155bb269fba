// Package serving runs the HTTP server of a stand-in command until the process is
// told to stop.
//
// # Usage
//
//	s, err := serving.Open("127.0.0.1:0", handler)
//	fmt.Println(s.URL())
//	err = s.Run(ctx)
package serving

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
)

const (
	readHeaderTimeout = 5 * time.Second
	// stopTimeout is the time for the requests in flight after the context ends.
	stopTimeout = 10 * time.Second
)

// Serving is an HTTP server with its open listener.
type Serving struct {
	listener net.Listener
	server   *http.Server
}

// Open listens at the address; port 0 takes a free one.
func Open(address string, handler http.Handler) (*Serving, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errorx.Decorate(err, "listen at %s", address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	return &Serving{listener: listener, server: server}, nil
}

// Address returns the address that the server listens at.
func (s *Serving) Address() string { return s.listener.Addr().String() }

// URL returns the base URL of the server.
func (s *Serving) URL() string { return "http://" + s.Address() }

// Run serves until ctx ends and then finishes the requests in flight.
func (s *Serving) Run(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() { failed <- s.server.Serve(s.listener) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	limit, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	if err := s.server.Shutdown(limit); err != nil {
		return errors.Join(err, s.server.Close())
	}
	return nil
}
