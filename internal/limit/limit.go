// Package limit holds every client account to its rate and burst.
//
// # Usage
//
//	err := l.Admit(ctx, account, settings) // a verdict error with status 429
package limit

import (
	"context"
	"net/http"
	"sync"

	"balsamwharf.example/balsamwharf/internal/bucket"
	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/settings"
	"balsamwharf.example/balsamwharf/internal/units"
	"balsamwharf.example/balsamwharf/pkg/service"
	"balsamwharf.example/balsamwharf/pkg/verdict"
)

// Limit keeps one bucket for each client account seen by this daemon.
type Limit struct {
	Common *common.Common

	mu      sync.Mutex
	buckets map[ids.Account]*bucket.Bucket
}

// Name implements service.Service.
func (l *Limit) Name() service.Name { return "limit" }

// Needs implements service.Service.
func (l *Limit) Needs() []service.Name { return []service.Name{"timer"} }

// Start implements service.Service.
func (l *Limit) Start(context.Context, service.Finder) error { return nil }

// Stop implements service.Service.
func (l *Limit) Stop(context.Context) error { return nil }

// Admit takes one token of the account or refuses the request.
func (l *Limit) Admit(_ context.Context, id ids.Account, a settings.Account) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Common.Clock.Now()
	b := l.bucketOf(now, id, a)
	if b.Take(now, units.Token) {
		return nil
	}
	refusal := verdict.New(verdict.Unrun, http.StatusTooManyRequests, "the client account is over its rate")
	return refusal.After(b.Wait(now, units.Token))
}

func (l *Limit) bucketOf(now units.Instant, id ids.Account, a settings.Account) *bucket.Bucket {
	if l.buckets == nil {
		l.buckets = map[ids.Account]*bucket.Bucket{}
	}
	b, ok := l.buckets[id]
	if !ok {
		b = &bucket.Bucket{Rate: a.Rate, Burst: units.Tokens(a.Burst) * units.Token}
		b.Prime(now, b.Burst)
		l.buckets[id] = b
	}
	b.Rate, b.Burst = a.Rate, units.Tokens(a.Burst)*units.Token
	return b
}
