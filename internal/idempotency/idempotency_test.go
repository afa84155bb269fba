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

func newRecord(n uint64) idempotency.Record {
	return idempotency.Record{Digest: "a", Attempt: idempotency.Attempt{Daemon: "vm1", Number: n}, Version: 7, Number: n}
}

func newStore() *idempotency.Store {
	return &idempotency.Store{Window: time.Minute, Limit: 3, AnswerLimit: 10}
}

// A full store refuses new keys and removes none before its window is over.
func TestFullBook(t *testing.T) {
	s := newStore()
	for i := range 3 {
		must.Eq[idempotency.Outcome](t, idempotency.Granted{}, s.Begin(units.Instant(i), key(fmt.Sprint(i)), newRecord(1)))
	}
	must.Eq[idempotency.Outcome](t, idempotency.Refused{Reason: "too many idempotency keys are in use"}, s.Begin(3, key("x"), newRecord(2)))
	must.Eq[idempotency.Outcome](t, idempotency.Running{}, s.Begin(3, key("0"), newRecord(3)))
	must.Eq[idempotency.Outcome](t, idempotency.Granted{}, s.Begin(units.Instant(time.Minute), key("x"), newRecord(2)))
	must.EqOp(t, 3, s.Len())
	must.True(t, s.Consistent())
}

// An answer that would exceed AnswerLimit is not stored, but the record of its key is
// retained.
func TestAnswerSpace(t *testing.T) {
	s := newStore()
	for i := range 2 {
		s.Begin(0, key(fmt.Sprint(i)), newRecord(1))
		s.Finish(0, key(fmt.Sprint(i)), newRecord(1).Attempt, &idempotency.Answer{Body: make([]byte, 6)})
	}
	_, completed := s.Begin(0, key("0"), newRecord(2)).(idempotency.Completed)
	must.True(t, completed)
	must.Eq[idempotency.Outcome](t, idempotency.Running{}, s.Begin(0, key("1"), newRecord(2)))
}

// Only the attempt that made a record can finish or cancel it.
func TestOtherAttempts(t *testing.T) {
	s := newStore()
	s.Begin(0, key("k"), newRecord(2))
	s.Cancel(key("k"), newRecord(1).Attempt)
	s.Finish(0, key("k"), newRecord(1).Attempt, &idempotency.Answer{})
	must.Eq[idempotency.Outcome](t, idempotency.Running{}, s.Begin(0, key("k"), newRecord(3)))
	s.Cancel(key("k"), newRecord(2).Attempt)
	must.Eq[idempotency.Outcome](t, idempotency.Granted{}, s.Begin(0, key("k"), newRecord(3)))
}

func TestCopy(t *testing.T) {
	newerVersion := newRecord(3)
	newerVersion.Version = 8
	cases := []struct {
		name   string
		old    idempotency.Record
		new    idempotency.Record
		stored bool
	}{
		{name: "the same again", old: newRecord(1), new: newRecord(1), stored: true},
		{name: "a newer one of the same guard", old: newRecord(1), new: newRecord(2), stored: true},
		{name: "a late older one", old: newRecord(2), new: newRecord(1)},
		{name: "another guard's", old: newRecord(2), new: newerVersion},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newStore()
			must.True(t, s.Put(0, key("k"), c.old))
			found, stored := s.PutCopy(0, key("k"), c.new)
			must.EqOp(t, c.stored, stored)
			if !stored {
				must.Eq(t, c.old, found)
			}
		})
	}
}

// The window of a record from another daemon begins when that daemon made it.
func TestAge(t *testing.T) {
	s := newStore()
	old := newRecord(1)
	old.Age = 50 * time.Second
	must.True(t, s.Put(0, key("young"), newRecord(2)))
	must.True(t, s.Put(0, key("old"), old))
	_, ok := s.Find(units.Instant(10*time.Second), key("old"))
	must.False(t, ok)
	_, ok = s.Find(units.Instant(10*time.Second), key("young"))
	must.True(t, ok)
}
