// Package contest runs client accounts against each other over made-up arrivals,
// on plain values and without a clock, to measure how fairly they are served.
//
// # Usage
//
//	p := contest.Plan{Seed: 1, Targets: 12, Slots: 3, Work: 25 * time.Millisecond, Daemons: 27, Rates: rates, Surging: 1, Surge: 10}
//	fair := contest.Run(p, contest.Fair{})
//	plain := contest.Run(p, contest.Plain{})
//
// Arrivals are random with the accounts' rates, service times are exponential.
// The model leaves out the network, the messages and losses of borrowing, failing
// targets, retries, and load reports that are late.
package contest

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"balsamwharf.example/balsamwharf/internal/bucket"
	"balsamwharf.example/balsamwharf/internal/units"
)

// Plan describes one run.
type Plan struct {
	Seed    uint64
	Targets int
	Slots   units.Slots
	// Work is the mean service time.
	Work    time.Duration
	Daemons int
	// Rates are the accounts' rates; Usual is the share of it that they send.
	Rates []units.Rate
	Usual float64
	// Surging is the account that sends Surge times its rate in the middle third.
	Surging int
	Surge   float64
	// Deadline is the time that a caller waits.
	Deadline time.Duration
	Until    time.Duration
}

// Result counts the requests of the accounts that keep to their rate.
type Result struct {
	// Worst is the share of requests within its rate that the worst-served of
	// these accounts had answered in time.
	Worst float64
	// Within counts the requests within the rate, Refused those of them that were
	// refused, and Late those answered too late or not at all.
	Within, Refused, Late int
}

// request is one request of an account.
type request struct {
	account int
	arrived units.Instant
	within  bool
	target  int
}

// event is something that happens to a request at an instant.
type event struct {
	at   units.Instant
	what step
	req  *request
}

// step is what happens. The interface is sealed.
type step interface{ isStep() }

// tries asks for a token, ends gives the slot back.
type (
	tries struct{}
	ends  struct{}
)

func (tries) isStep() {}
func (ends) isStep()  {}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) {
	if v, ok := x.(event); ok {
		*e = append(*e, v)
	}
}

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// run is the state of one run.
type run struct {
	plan    Plan
	rng     *rand.Rand
	policy  policy
	targets []*target
	pending events
	// reference says which requests are within their account's rate.
	reference []bucket.Bucket
	within    []int
	served    []int
	result    Result
}

// Run carries out a plan.
func Run(p Plan, s Side) Result {
	r := &run{plan: p, rng: rand.New(rand.NewPCG(p.Seed, 11))}
	r.within, r.served = make([]int, len(p.Rates)), make([]int, len(p.Rates))
	for range p.Targets {
		r.targets = append(r.targets, newTarget(s))
	}
	r.policy = policyOf(s, p)
	for i, rate := range p.Rates {
		r.reference = append(r.reference, full(rate))
		r.arrivals(i)
	}
	for len(r.pending) > 0 {
		e, ok := heap.Pop(&r.pending).(event)
		if !ok {
			break
		}
		r.take(e)
	}
	return r.sum()
}

// full is a bucket with a second's burst.
func full(rate units.Rate) bucket.Bucket {
	b := bucket.Bucket{Rate: rate, Burst: max(units.Token, rate.Over(time.Second))}
	b.SetBalance(0, b.Burst)
	return b
}

// arrivals draws all requests of an account.
func (r *run) arrivals(account int) {
	third := units.Instant(r.plan.Until / 3)
	for now := units.Instant(0); now < units.Instant(r.plan.Until); {
		rate := float64(r.plan.Rates[account]) * r.plan.Usual
		if account == r.plan.Surging && now >= third && now < 2*third {
			rate = float64(r.plan.Rates[account]) * r.plan.Surge
		}
		now = now.Add(time.Duration(r.rng.ExpFloat64() / rate * float64(time.Second)))
		heap.Push(&r.pending, event{at: now, what: tries{}, req: &request{account: account, arrived: now, target: -1}})
	}
}

func (r *run) take(e event) {
	switch e.what.(type) {
	case tries:
		r.try(e.at, e.req)
	case ends:
		r.end(e.at, e.req)
	}
}

// try admits a request, lets it wait for a token or refuses it.
func (r *run) try(now units.Instant, q *request) {
	if now == q.arrived {
		q.within = r.reference[q.account].Consume(now, units.Token)
		if q.within {
			r.within[q.account]++
		}
	}
	wait, ok := r.policy.admit(now, q)
	switch {
	case ok:
		r.send(now, q)
	case wait > 0 && now.Add(wait).Sub(q.arrived) < r.plan.Deadline:
		heap.Push(&r.pending, event{at: now.Add(wait), what: tries{}, req: q})
	default:
		r.refuse(q)
	}
}

func (r *run) refuse(q *request) {
	if q.within && q.account != r.plan.Surging {
		r.result.Refused++
	}
}

// send gives a request to a target.
func (r *run) send(now units.Instant, q *request) {
	q.target = r.policy.choose(r)
	t := r.targets[q.target]
	if t.busy < r.plan.Slots {
		r.begin(now, q)
		return
	}
	if shed := t.line.push(q); shed != nil {
		r.refuse(shed)
	}
}

func (r *run) begin(now units.Instant, q *request) {
	t := r.targets[q.target]
	t.busy++
	t.line.begin(q)
	took := time.Duration(r.rng.ExpFloat64() * float64(r.plan.Work))
	heap.Push(&r.pending, event{at: now.Add(took), what: ends{}, req: q})
}

// end answers a request and starts the next one that is not too late.
func (r *run) end(now units.Instant, q *request) {
	if q.within && now.Sub(q.arrived) <= r.plan.Deadline {
		r.served[q.account]++
	}
	t := r.targets[q.target]
	t.busy--
	t.line.done(q)
	for t.busy < r.plan.Slots {
		next := t.line.pop()
		if next == nil {
			return
		}
		if now.Sub(next.arrived) < r.plan.Deadline {
			r.begin(now, next)
		}
	}
}

func (r *run) sum() Result {
	r.result.Worst = 1
	for i, n := range r.within {
		if i == r.plan.Surging || n == 0 {
			continue
		}
		r.result.Within += n
		r.result.Late += n - r.served[i]
		r.result.Worst = min(r.result.Worst, float64(r.served[i])/float64(n))
	}
	r.result.Late -= r.result.Refused
	return r.result
}
