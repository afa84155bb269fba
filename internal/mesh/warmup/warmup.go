// Package warmup limits the requests to a backend server that is cold, or may be without this daemon
// knowing it yet.
//
// # Usage
//
//	l := warmup.Limiter{KnownSince: startedAt}
//	l.SetRate(15, now)             // from the configuration
//	l.Learn(3*time.Second, now)    // from an announcement
//	if l.Admit(now) {              // the request may wait for a slot
//		if l.Send(now) { ... } // right before it is sent
//	}
//	if l.ProbeDue(now) { ... }     // ask the backend server, then call Prove
//
// A cold backend server bears a number of requests a second and crashes well above it. It may turn
// cold at any moment, and its announcements come a second or more later. So the number applies to
// every backend server, in any second, except for a moment after it has answered that it is warm.
package warmup

import (
	"time"

	"balsamwharf.example/balsamwharf/internal/units"
)

const (
	// window is the sliding second, with room for the time from a decision until the request
	// arrives.
	window = 1050 * time.Millisecond
	// proofTTL is for how long an answer that the backend server is warm counts, from the question
	// on. At 50 requests a second, 25 get to one that turns cold at once, and none more in that
	// second; one that bears 15 stands 30.
	proofTTL = 500 * time.Millisecond
	// proofRefresh is how old an answer may be while requests come faster than a cold backend server
	// bears.
	proofRefresh = 250 * time.Millisecond
	// unknownDivisor leaves a part of the rate to the first second of a process: together with the
	// whole rate, which the one before may have sent, that is below the 1.5 times the rate that the
	// platform tolerates.
	unknownDivisor = 3
	// maxRemembered bounds the memory for requests, and with it the rates that are limited.
	maxRemembered = 4096
)

// Limiter counts the requests to one backend server. The zero value limits nothing. The caller holds
// a lock around every call.
type Limiter struct {
	// KnownSince is from when on all requests to the backend server are known. An earlier process of
	// the daemon may have sent as many as are allowed right before.
	KnownSince units.Instant

	rate units.Rate
	// sent holds the times of the last requests, as many as are allowed in a window. The oldest is at
	// next.
	sent []units.Instant
	next int
	// admitted counts the requests that were admitted and not sent yet.
	admitted  int
	coldUntil units.Instant
	// warmAt is when the backend server was last asked and said that it is warm.
	warmAt units.Instant
	proven bool
}

// SetRate sets how many requests a second a cold backend server bears; zero means that there is no
// limit.
func (l *Limiter) SetRate(r units.Rate, now units.Instant) {
	if r == l.rate {
		return
	}
	if l.rate > 0 || r <= 0 {
		// What was sent at another rate is not counted any more.
		l.KnownSince = max(l.KnownSince, now)
	}
	l.rate, l.sent, l.next = r, nil, 0
	if r > 0 {
		l.sent = make([]units.Instant, 0, min(max(int(r), 1), maxRemembered))
	}
}

// Learn records what an announcement says: how much longer the backend server stays cold. One that is
// not cold any more may have turned cold again since, so that is no proof.
func (l *Limiter) Learn(cold time.Duration, now units.Instant) {
	l.coldUntil = now.Add(cold)
	if cold > 0 {
		l.proven = false
	}
}

// Prove records the backend server's answer to a question that was sent at asked.
func (l *Limiter) Prove(cold time.Duration, asked, now units.Instant) {
	l.coldUntil = now.Add(cold)
	l.warmAt, l.proven = asked, cold <= 0
}

// Doubt makes the limit apply until the backend server has been asked again.
func (l *Limiter) Doubt() { l.proven = false }

// Cold returns how much longer the backend server is known to stay cold.
func (l *Limiter) Cold(now units.Instant) time.Duration {
	if l.rate <= 0 {
		return 0
	}
	return max(l.coldUntil.Sub(now), 0)
}

// Admit reports whether one more request may go to the backend server, and counts it. The caller must
// call Send or Cancel for it.
func (l *Limiter) Admit(now units.Instant) bool {
	if l.rate > 0 && !l.warm(now) && l.Room(now) <= 0 {
		return false
	}
	l.admitted++
	return true
}

// Cancel ends an admitted request that is not sent.
func (l *Limiter) Cancel() { l.admitted = max(l.admitted-1, 0) }

// Send reports whether an admitted request may be sent now, and counts it if so.
func (l *Limiter) Send(now units.Instant) bool {
	l.Cancel()
	if l.rate <= 0 {
		return true
	}
	if !l.warm(now) && l.free(now) <= 0 {
		return false
	}
	if len(l.sent) < cap(l.sent) {
		l.sent = append(l.sent, now)
		return true
	}
	l.sent[l.next] = now
	l.next = (l.next + 1) % len(l.sent)
	return true
}

// Room returns how many more requests may be admitted now, as far as the backend server may be cold.
func (l *Limiter) Room(now units.Instant) int { return l.free(now) - l.admitted }

// free returns how many requests may be sent now.
func (l *Limiter) free(now units.Instant) int {
	n := cap(l.sent)
	if now.Sub(l.KnownSince) < window {
		n /= unknownDivisor
	}
	for _, at := range l.sent {
		if now.Sub(at) < window {
			n--
		}
	}
	return n
}

// warm reports whether the backend server has just said that it is warm.
func (l *Limiter) warm(now units.Instant) bool {
	return l.proven && now.Sub(l.warmAt) < proofTTL && !now.Before(l.coldUntil)
}

// ProbeDue reports whether the backend server should be asked whether it is warm: more requests come
// than a cold one bears, or a new process doesn't know how many came, and the last answer is not fresh.
func (l *Limiter) ProbeDue(now units.Instant) bool {
	if l.rate <= 0 || l.Cold(now) > 0 {
		return false
	}
	return l.Room(now) <= cap(l.sent)/4 && (!l.proven || now.Sub(l.warmAt) >= proofRefresh)
}
