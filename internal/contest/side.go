package contest

import (
	"fmt"
	"time"

	"balsamwharf.example/balsamwharf/internal/bucket"
	"balsamwharf.example/balsamwharf/internal/fairqueue"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/settings"
	"balsamwharf.example/balsamwharf/internal/units"
)

// queueLimit is the most requests that wait at one target.
const queueLimit = 64

// Side is how requests are limited, spread and queued. The interface is sealed.
type Side interface{ isSide() }

// Fair has one limit for the fleet, waits for tokens, chooses the better of two
// targets and queues by account.
type Fair struct{}

// Plain has a part of the limit on each daemon, refuses at once, goes round robin
// and queues in order of arrival.
type Plain struct{}

func (Fair) isSide()  {}
func (Plain) isSide() {}

// policy limits and chooses.
type policy interface {
	admit(now units.Instant, q *request) (time.Duration, bool)
	choose(r *run) int
}

func policyOf(s Side, p Plan) policy {
	switch s.(type) {
	case Plain:
		return newPlain(p)
	default:
		return newFair(p)
	}
}

// fair is the policy of Fair.
type fair struct {
	plan    Plan
	buckets []bucket.Bucket
	// waiting counts the requests of each account that wait for a token.
	waiting []int
}

func newFair(p Plan) *fair {
	f := &fair{plan: p, waiting: make([]int, len(p.Rates))}
	for _, rate := range p.Rates {
		f.buckets = append(f.buckets, full(rate))
	}
	return f
}

func (f *fair) admit(now units.Instant, q *request) (time.Duration, bool) {
	b := &f.buckets[q.account]
	if now != q.arrived {
		f.waiting[q.account]--
	}
	if b.Consume(now, units.Token) {
		return 0, true
	}
	turn := time.Duration(float64(f.waiting[q.account]+1) / float64(b.Rate) * float64(time.Second))
	if now.Add(turn).Sub(q.arrived) < f.plan.Deadline {
		f.waiting[q.account]++
	}
	return turn, false
}

func (f *fair) choose(r *run) int {
	i, j := r.rng.IntN(len(r.targets)), r.rng.IntN(len(r.targets))
	if r.targets[j].load() < r.targets[i].load() {
		return j
	}
	return i
}

// plain is the policy of Plain; its callers pick daemons at random.
type plain struct {
	plan    Plan
	buckets map[place]*bucket.Bucket
	callers callers
	next    int
}

// place is one account at one daemon.
type place struct{ account, daemon int }

// callers spreads requests over the daemons.
type callers uint64

func (c *callers) pick(n int) int {
	*c = *c*6364136223846793005 + 1442695040888963407
	return int(uint64(*c>>33) % uint64(n))
}

func newPlain(p Plan) *plain {
	return &plain{plan: p, buckets: map[place]*bucket.Bucket{}, callers: callers(p.Seed)}
}

func (l *plain) admit(now units.Instant, q *request) (time.Duration, bool) {
	at := place{account: q.account, daemon: l.callers.pick(l.plan.Daemons)}
	b, ok := l.buckets[at]
	if !ok {
		part := full(l.plan.Rates[q.account] / units.Rate(l.plan.Daemons))
		b = &part
		l.buckets[at] = b
	}
	return 0, b.Consume(now, units.Token)
}

func (l *plain) choose(r *run) int {
	l.next = (l.next + 1) % len(r.targets)
	return l.next
}

// target is one backend server with its queue.
type target struct {
	busy units.Slots
	line line
}

func (t *target) load() int { return int(t.busy) + t.line.len() }

func newTarget(s Side) *target {
	switch s.(type) {
	case Plain:
		return &target{line: &arrivalOrder{}}
	default:
		return &target{line: &byAccount{fairqueue.Queue[*request]{Limit: queueLimit}}}
	}
}

// line is what waits at a target.
type line interface {
	push(q *request) *request
	pop() *request
	begin(q *request)
	done(q *request)
	len() int
}

// arrivalOrder drops the newest when it is full.
type arrivalOrder struct{ waiting []*request }

func (a *arrivalOrder) push(q *request) *request {
	if len(a.waiting) >= queueLimit {
		return q
	}
	a.waiting = append(a.waiting, q)
	return nil
}

func (a *arrivalOrder) pop() *request {
	if len(a.waiting) == 0 {
		return nil
	}
	q := a.waiting[0]
	a.waiting = a.waiting[1:]
	return q
}

func (a *arrivalOrder) begin(*request) {}
func (a *arrivalOrder) done(*request)  {}
func (a *arrivalOrder) len() int       { return len(a.waiting) }

// byAccount is the gatekeeper's queue.
type byAccount struct {
	queue fairqueue.Queue[*request]
}

func nameOf(q *request) ids.Account { return ids.Account(fmt.Sprint("team/account", q.account)) }

func (b *byAccount) push(q *request) *request {
	if shed, ok := b.queue.Push(q, nameOf(q), 1, settings.PatienceNormal); ok {
		return shed
	}
	return nil
}

func (b *byAccount) pop() *request {
	q, ok := b.queue.Pop()
	if !ok {
		return nil
	}
	b.queue.Done(nameOf(q)) // begin counts it again
	return q
}

func (b *byAccount) begin(q *request) { b.queue.Begin(nameOf(q), 1) }
func (b *byAccount) done(q *request)  { b.queue.Done(nameOf(q)) }
func (b *byAccount) len() int         { return b.queue.Len() }
