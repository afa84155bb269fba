// Package idempotency stores the records of idempotency keys.
//
// # Usage
//
//	s := idempotency.Store{Window: 10 * time.Minute, Limit: 50000, AnswerLimit: 16 << 20}
//	r := idempotency.Record{Digest: digest, Attempt: attempt}
//	switch o := s.Begin(now, key, r).(type) {
//	case idempotency.Granted:
//	case idempotency.Completed:
//	}
//
// A record is removed only when its window is over, or when the attempt that made it
// did not run. A full store accepts no new keys, since evicting a record early would
// let its request run twice.
package idempotency

import (
	"container/list"
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/units"
)

// Key is a caller's idempotency key within its client account.
type Key struct {
	Account ids.Account
	Key     string
}

// Attempt identifies one attempt of a request. An incarnation of an entry daemon never
// uses a number twice.
type Attempt struct {
	Daemon      ids.Daemon
	Incarnation ids.Incarnation
	Number      uint64
}

// Answer is a complete answer of a backend server.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// Record is the state of one key.
type Record struct {
	Digest  ids.Hash
	Attempt Attempt
	// Answer is nil until the attempt has ended with an answer that was stored.
	Answer *Answer
	// Version is that of the roster under which the guard made the record, and Number
	// counts the records that the guard has made.
	Version ids.Offset
	Number  uint64
	// Age is the time since the record was made.
	Age time.Duration
}

// Outcome is the decision on a caller's attempt. It is sealed.
type Outcome interface{ isOutcome() }

type (
	// Granted lets the attempt run. Its end must be reported by Finish, or by Cancel
	// if it did not run.
	Granted struct{}
	// Completed holds the answer of the first attempt.
	Completed struct{ Answer Answer }
	// Running means that an earlier attempt is running or may have run.
	Running struct{}
	// Mismatch means that the key was used for another request before.
	Mismatch struct{}
	// Refused means that the attempt must not run, because it can't be known
	// whether the key was used, or because the attempt can't be recorded.
	Refused struct{ Reason string }
)

func (Granted) isOutcome()   {}
func (Completed) isOutcome() {}
func (Running) isOutcome()   {}
func (Mismatch) isOutcome()  {}
func (Refused) isOutcome()   {}

// Store holds the records of a daemon. It is not safe for concurrent use.
type Store struct {
	// Window is how long a record is retained.
	Window time.Duration
	// Limit is the largest number of records.
	Limit int
	// AnswerLimit is the largest total size of the stored answers.
	AnswerLimit units.Bytes

	records     map[Key]*list.Element
	order       list.List
	answerBytes units.Bytes
}

type entry struct {
	key       Key
	createdAt units.Instant
	record    Record
}

// Begin returns the outcome for an attempt, and stores its record if the key is new.
func (s *Store) Begin(now units.Instant, key Key, r Record) Outcome {
	if existing, ok := s.Find(now, key); ok {
		return existing.Outcome(r.Digest)
	}
	if !s.Put(now, key, r) {
		return Refused{Reason: "too many idempotency keys are in use"}
	}
	return Granted{}
}

// Outcome returns the outcome for a repeated request with the digest.
func (r Record) Outcome(digest ids.Hash) Outcome {
	if r.Digest != digest {
		return Mismatch{}
	}
	if r.Answer != nil {
		return Completed{Answer: *r.Answer}
	}
	return Running{}
}

// Find returns the record of a key with its present age.
func (s *Store) Find(now units.Instant, key Key) (Record, bool) {
	s.expire(now)
	e, ok := s.records[key]
	if !ok {
		return Record{}, false
	}
	r := e.Value.(*entry).record
	r.Age = now.Sub(e.Value.(*entry).createdAt)
	return r, true
}

// PutCopy stores a guard's record at the second daemon. An existing record is replaced
// by one of the same attempt, and, if it has no answer, by a newer one under the same
// roster, which is by the same guard. Otherwise it is returned, and PutCopy reports
// false. It also reports false, with no record, when the store is full.
func (s *Store) PutCopy(now units.Instant, key Key, r Record) (Record, bool) {
	existing, ok := s.Find(now, key)
	if ok && existing.Attempt != r.Attempt && (existing.Version != r.Version || existing.Number > r.Number || existing.Answer != nil) {
		return existing, false
	}
	return Record{}, s.Put(now, key, r)
}

// Put stores a record and replaces an earlier one of the key. It returns false when
// the store is full.
func (s *Store) Put(now units.Instant, key Key, r Record) bool {
	s.expire(now)
	if s.records == nil {
		s.records = map[Key]*list.Element{}
	}
	if old, ok := s.records[key]; ok {
		s.remove(old)
	}
	if len(s.records) >= s.Limit {
		return false
	}
	answer := r.Answer
	r.Answer = nil
	e := &entry{key: key, createdAt: now.Add(-r.Age), record: r}
	s.records[key] = s.insert(e)
	s.storeAnswer(e, answer)
	return true
}

// insert adds the entry in order of creation. It need not be the newest, since records
// from other daemons may be older.
func (s *Store) insert(e *entry) *list.Element {
	for at := s.order.Back(); at != nil; at = at.Prev() {
		if !e.createdAt.Before(at.Value.(*entry).createdAt) {
			return s.order.InsertAfter(e, at)
		}
	}
	return s.order.PushFront(e)
}

// storeAnswer stores the answer unless AnswerLimit would be exceeded. The outcome of a
// record without an answer is Running.
func (s *Store) storeAnswer(e *entry, a *Answer) {
	if a == nil || s.answerBytes+size(a) > s.AnswerLimit {
		return
	}
	e.record.Answer = a
	s.answerBytes += size(a)
}

// size returns the length of the body, the header names and the header values.
func size(a *Answer) units.Bytes {
	n := len(a.Body)
	for name, values := range a.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return units.Bytes(n)
}

// Finish stores the answer of an attempt, if the key's record is of that attempt and
// has none yet.
func (s *Store) Finish(now units.Instant, key Key, attempt Attempt, a *Answer) {
	s.expire(now)
	e, ok := s.records[key]
	if !ok {
		return
	}
	stored := e.Value.(*entry)
	if stored.record.Attempt == attempt && stored.record.Answer == nil {
		s.storeAnswer(stored, a)
	}
}

// Cancel removes the record of an attempt that did not run. It leaves a record that is
// of another attempt or has an answer.
func (s *Store) Cancel(key Key, attempt Attempt) {
	e, ok := s.records[key]
	if ok && e.Value.(*entry).record.Attempt == attempt && e.Value.(*entry).record.Answer == nil {
		s.remove(e)
	}
}

func (s *Store) expire(now units.Instant) {
	for e := s.order.Front(); e != nil && now.Sub(e.Value.(*entry).createdAt) >= s.Window; e = s.order.Front() {
		s.remove(e)
	}
}

func (s *Store) remove(e *list.Element) {
	removed := s.order.Remove(e).(*entry)
	delete(s.records, removed.key)
	if removed.record.Answer != nil {
		s.answerBytes -= size(removed.record.Answer)
	}
}

// Consistent reports whether there is exactly one record for each key and the total
// size of the answers isn't negative.
func (s *Store) Consistent() bool { return len(s.records) == s.order.Len() && s.answerBytes >= 0 }

// Len returns the number of records, including those whose window has ended since the
// last call that removes them.
func (s *Store) Len() int { return s.order.Len() }
