package loan_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"balsamwharf.example/balsamwharf/internal/batches"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/loan"
	"balsamwharf.example/balsamwharf/internal/units"
)

const (
	lifetime = 500 * time.Millisecond
	settle   = lifetime
)

// meter checks a stream of spent tokens against rate x time + burst over every
// interval, as a leaky bucket that must never overflow.
type meter struct {
	rate  units.Rate
	burst units.Tokens
	level float64
	last  units.Instant
}

func (m *meter) spend(now units.Instant, n units.Tokens) bool {
	drained := float64(m.rate) * now.Sub(m.last).Seconds() * float64(units.Token)
	m.level = max(0, m.level-drained) + float64(n)
	m.last = now
	return m.level <= float64(m.burst)+1
}

// flight is a request or an answer in transit.
type flight struct {
	request loan.Request
	sentAt  units.Instant
	amount  units.Tokens
}

// machine is one quota leader with two borrowers over a network that delays, loses and
// duplicates messages. A change of the leader replaces the bucket by an empty one.
type machine struct {
	now      units.Instant
	rate     units.Rate
	burst    units.Tokens
	bucket   *loan.Bucket
	meter    meter
	number   uint64
	borrowed map[ids.Daemon]*batches.Cache
	requests []flight
	answers  []flight
	received map[uint64]bool
}

func (m *machine) replaceBucket(start units.Instant) {
	m.bucket = &loan.Bucket{Lifetime: lifetime}
	m.bucket.Start(start, 0, m.rate, m.burst)
}

func (m *machine) Advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
}

func (m *machine) Quiet(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 10).Draw(t, "s")) * time.Second)
}

func (m *machine) Ask(t *rapid.T) {
	who := ids.Daemon(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "who"))
	m.number++
	r := loan.Request{
		Borrower: loan.Borrower{Daemon: who}, Number: m.number,
		Need:  units.Tokens(rapid.IntRange(0, 20).Draw(t, "need")) * units.Token,
		Extra: units.Tokens(rapid.IntRange(0, 9).Draw(t, "extra")) * units.Token,
	}
	for _, b := range m.borrowed[who].Settle("h", m.now.Add(lifetime/2)) {
		r.Settled = append(r.Settled, loan.Settlement{Number: b.Number, Unused: b.Left})
	}
	m.requests = append(m.requests, flight{request: r, sentAt: m.now})
}

// Deliver passes a request to the leader, and sometimes leaves it in transit so that it
// arrives again.
func (m *machine) Deliver(t *rapid.T) {
	if len(m.requests) == 0 {
		t.Skip("no request")
	}
	i := rapid.IntRange(0, len(m.requests)-1).Draw(t, "question")
	f := m.requests[i]
	if !rapid.Bool().Draw(t, "again") {
		m.requests = append(m.requests[:i:i], m.requests[i+1:]...)
	}
	f.amount = m.bucket.Lend(m.now, f.request)
	if !m.bucket.Bounded() {
		t.Fatalf("the leader lent more than its share")
	}
	if rapid.IntRange(0, 3).Draw(t, "lost") > 0 {
		m.answers = append(m.answers, f)
	}
}

// Exchange sends a request and receives the answer at once.
func (m *machine) Exchange(t *rapid.T) {
	m.Ask(t)
	f := m.requests[len(m.requests)-1]
	m.requests = m.requests[:len(m.requests)-1]
	f.amount = m.bucket.Lend(m.now, f.request)
	m.receive(f)
}

// Receive passes an answer to its borrower, which accepts one for each request.
func (m *machine) Receive(t *rapid.T) {
	if len(m.answers) == 0 {
		t.Skip("no answer")
	}
	i := rapid.IntRange(0, len(m.answers)-1).Draw(t, "answer")
	f := m.answers[i]
	m.answers = append(m.answers[:i:i], m.answers[i+1:]...)
	m.receive(f)
}

func (m *machine) receive(f flight) {
	if m.received[f.request.Number] {
		return
	}
	m.received[f.request.Number] = true
	b := batches.Batch{Leader: "h", Number: f.request.Number, Left: f.amount, ExpiresAt: f.sentAt.Add(lifetime)}
	m.borrowed[f.request.Borrower.Daemon].Add(b)
}

func (m *machine) Spend(t *rapid.T) {
	who := ids.Daemon(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "who"))
	for range rapid.IntRange(1, 20).Draw(t, "n") {
		if _, ok := m.borrowed[who].Consume(m.now, units.Token); ok && !m.meter.spend(m.now, units.Token) {
			t.Fatalf("more was spent than rate x time + burst")
		}
	}
}

func (m *machine) Change(*rapid.T) { m.replaceBucket(m.now.Add(settle)) }

func (m *machine) Check(*rapid.T) {}

func TestSpentStaysWithinRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{
			rate:     units.Rate(rapid.IntRange(1, 100).Draw(t, "rate")),
			burst:    units.Tokens(rapid.IntRange(1, 20).Draw(t, "burst")) * units.Token,
			borrowed: map[ids.Daemon]*batches.Cache{"a": {}, "b": {}},
			received: map[uint64]bool{},
		}
		m.meter = meter{rate: m.rate, burst: m.burst}
		m.replaceBucket(0)
		t.Repeat(rapid.StateMachineActions(m))
	})
}

func TestLend(t *testing.T) {
	request := func(n uint64, need units.Tokens, settled ...loan.Settlement) loan.Request {
		return loan.Request{Borrower: loan.Borrower{Daemon: "a"}, Number: n, Need: need * units.Token, Settled: settled}
	}
	second := units.Instant(time.Second)
	cases := []struct {
		name string
		at   units.Instant
		q    loan.Request
		want units.Tokens
	}{
		{name: "empty at the start", at: 0, q: request(1, 3), want: 0},
		{name: "what there is", at: second, q: request(2, 30), want: 10},
		{name: "the same again", at: second, q: request(2, 30), want: 10},
		{name: "nothing while the burst is out", at: second + second/4, q: request(3, 1), want: 0},
		{name: "returned tokens", at: second + second/4, q: request(4, 30, loan.Settlement{Number: 2, Unused: 4 * units.Token}), want: 4},
		{name: "a late question that was given up", at: second + second/4, q: request(1, 3), want: 0},
		{name: "never more than the burst", at: 100 * second, q: request(5, 30), want: 10},
	}
	b := loan.Bucket{Lifetime: lifetime}
	b.Start(0, 0, 10, 10*units.Token)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			must.EqOp(t, c.want*units.Token, b.Lend(c.at, c.q))
			must.True(t, b.Bounded())
		})
	}
}
