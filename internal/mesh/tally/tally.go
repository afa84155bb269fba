// Package tally counts the calls to the platform's store by kind and result.
//
// # Usage
//
//	store := tally.Store{Next: client, Metrics: common.Metrics}
package tally

import (
	"context"
	"errors"
	"time"

	"github.com/rcrowley/go-metrics"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/mesh/keyed"
	"balsamwharf.example/balsamwharf/internal/metric"
)

// Store forwards calls to another store and counts them. It implements keyed.Store.
type Store struct {
	Next    keyed.Store
	Metrics metrics.Registry
}

// Newest implements keyed.Store.
func (s Store) Newest(ctx context.Context, t keyed.Topic) (keyed.Page, error) {
	page, err := s.Next.Newest(ctx, t)
	s.count("newest", err)
	return page, err
}

// Read implements keyed.Store.
func (s Store) Read(ctx context.Context, t keyed.Topic, from ids.Offset, wait time.Duration) (keyed.Page, error) {
	page, err := s.Next.Read(ctx, t, from, wait)
	s.count("read", err)
	return page, err
}

// Put implements keyed.Store.
func (s Store) Put(ctx context.Context, t keyed.Topic, r keyed.Record) error {
	err := s.Next.Put(ctx, t, r)
	s.count("put", err)
	return err
}

func (s Store) count(kind string, err error) {
	result := "ok"
	switch {
	case errors.Is(err, keyed.ErrExpired):
		result = "expired"
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		result = "unanswered"
	case err != nil:
		result = "failed"
	}
	metric.StoreCalls.With("call", kind, "result", result).Counter(s.Metrics).Inc(1)
}
