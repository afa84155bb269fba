package idempotency_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/idempotency"
	"balsamwharf.example/balsamwharf/internal/units"
)

func key(k string) idempotency.Key { return idempotency.Key{Account: "andrade/school", Key: k} }

func note(n uint64) idempotency.Record {
	return idempotency.Record{Digest: "a", Attempt: idempotency.Attempt{Daemon: "vm1", Number: n}, Version: 7, Number: n}
}

func book() *idempotency.Store {
	return &idempotency.Store{Window: time.Minute, Limit: 3, AnswerLimit: 10}
}

// A full book refuses new keys and forgets none before its window is over.
func TestFullBook(t *testing.T) {
	b := book()
	for i := range 3 {
		must.Eq[idempotency.Outcome](t, idempotency.Granted{}, b.Begin(units.Instant(i), key(fmt.Sprint(i)), note(1)))
	}
	must.Eq[idempotency.Outcome](t, idempotency.Refused{Reason: "too many idempotency keys are in use"}, b.Begin(3, key("x"), note(2)))
	must.Eq[idempotency.Outcome](t, idempotency.Running{}, b.Begin(3, key("0"), note(3)))
	must.Eq[idempotency.Outcome](t, idempotency.Granted{}, b.Begin(units.Instant(time.Minute), key("x"), note(2)))
	must.EqOp(t, 3, b.Len())
	must.True(t, b.Consistent())
}

// Answers that find no space are not kept, and their keys are not forgotten.
func TestAnswerSpace(t *testing.T) {
	b := book()
	for i := range 2 {
		b.Begin(0, key(fmt.Sprint(i)), note(1))
		b.Finish(0, key(fmt.Sprint(i)), note(1).Attempt, &idempotency.Answer{Body: make([]byte, 6)})
	}
	_, known := b.Begin(0, key("0"), note(2)).(idempotency.Completed)
	must.True(t, known)
	must.Eq[idempotency.Outcome](t, idempotency.Running{}, b.Begin(0, key("1"), note(2)))
}

// Only the attempt that made a note can end it.
func TestOtherAttempts(t *testing.T) {
	b := book()
	b.Begin(0, key("k"), note(2))
	b.Cancel(key("k"), note(1).Attempt)
	b.Finish(0, key("k"), note(1).Attempt, &idempotency.Answer{})
	must.Eq[idempotency.Outcome](t, idempotency.Running{}, b.Begin(0, key("k"), note(3)))
	b.Cancel(key("k"), note(2).Attempt)
	must.Eq[idempotency.Outcome](t, idempotency.Granted{}, b.Begin(0, key("k"), note(3)))
}

func TestCopy(t *testing.T) {
	later := note(3)
	later.Version = 8
	cases := []struct {
		name string
		old  idempotency.Record
		new  idempotency.Record
		kept bool
	}{
		{name: "the same again", old: note(1), new: note(1), kept: true},
		{name: "a newer one of the same guard", old: note(1), new: note(2), kept: true},
		{name: "a late older one", old: note(2), new: note(1)},
		{name: "another guard's", old: note(2), new: later},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := book()
			must.True(t, b.Put(0, key("k"), c.old))
			found, kept := b.PutCopy(0, key("k"), c.new)
			must.EqOp(t, c.kept, kept)
			if !kept {
				must.Eq(t, c.old, found)
			}
		})
	}
}

// A note that another daemon made earlier ends with its own window.
func TestAge(t *testing.T) {
	b := book()
	old := note(1)
	old.Age = 50 * time.Second
	must.True(t, b.Put(0, key("young"), note(2)))
	must.True(t, b.Put(0, key("old"), old))
	_, ok := b.Find(units.Instant(10*time.Second), key("old"))
	must.False(t, ok)
	_, ok = b.Find(units.Instant(10*time.Second), key("young"))
	must.True(t, ok)
}
