// Package idempotency keeps the notes of idempotency keys.
//
// # Usage
//
//	b := mark.Book{Window: 10 * time.Minute, Limit: 50000}
//	switch o := b.Begin(now, key, mark.Note{Digest: digest, Attempt: attempt}).(type) {
//	case mark.Fresh:
//	case mark.Known:
//	}
//
// A note is forgotten only when its window is over, or when the attempt that made
// it did not run. A full book takes no new notes.
package idempotency

import (
	"container/list"
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/units"
)

// Key names a caller's idempotency key within its client account.
type Key struct {
	Account ids.Account
	Key     string
}

// Attempt names one try of a request. An entry daemon never uses a number twice.
type Attempt struct {
	Daemon      ids.Daemon
	Incarnation ids.Incarnation
	Number      uint64
}

// Answer is a whole answer that a backend server gave.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// Record is what is known of one key.
type Record struct {
	Digest  ids.Hash
	Attempt Attempt
	// Answer is nil until the attempt has ended with one that was kept.
	Answer *Answer
	// Version and Number say under which roster the guard made the note, and which
	// of its notes it is.
	Version ids.Offset
	Number  uint64
	// Age is the time since the note was made.
	Age time.Duration
}

// Outcome says what a caller's attempt may do. It is sealed.
type Outcome interface{ isOutcome() }

type (
	// Granted lets the attempt run; it must be ended by Finish.
	Granted struct{}
	// Completed repeats the first answer.
	Completed struct{ Answer Answer }
	// Running means that an attempt may have run or may be running.
	Running struct{}
	// Mismatch means that the key came with another request before.
	Mismatch struct{}
	// Refused means that the attempt must not run, because it can't be known
	// whether the key was used.
	Refused struct{ Reason string }
)

func (Granted) isOutcome()   {}
func (Completed) isOutcome() {}
func (Running) isOutcome()   {}
func (Mismatch) isOutcome()  {}
func (Refused) isOutcome()   {}

// Store holds notes. It is not safe for concurrent use.
type Store struct {
	// Window is how long a note is kept.
	Window time.Duration
	// Limit is the largest number of notes.
	Limit int
	// AnswerLimit is the largest size of all answers that are kept.
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

// Begin looks a key up and notes it when it is new.
func (s *Store) Begin(now units.Instant, key Key, r Record) Outcome {
	if existing, ok := s.Find(now, key); ok {
		return existing.Outcome(r.Digest)
	}
	if !s.Put(now, key, r) {
		return Refused{Reason: "too many idempotency keys are in use"}
	}
	return Granted{}
}

// Outcome returns what the note means for a repeat with the digest.
func (r Record) Outcome(digest ids.Hash) Outcome {
	if r.Digest != digest {
		return Mismatch{}
	}
	if r.Answer != nil {
		return Completed{Answer: *r.Answer}
	}
	return Running{}
}

// Find returns the note of a key.
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

// PutCopy stores a guard's note at the second daemon. It gives way only to a newer
// note of the same guard; otherwise it returns the note that is here.
func (s *Store) PutCopy(now units.Instant, key Key, r Record) (Record, bool) {
	existing, ok := s.Find(now, key)
	if ok && existing.Attempt != r.Attempt && (existing.Version != r.Version || existing.Number > r.Number || existing.Answer != nil) {
		return existing, false
	}
	return Record{}, s.Put(now, key, r)
}

// Put stores a note and replaces an earlier one of the key. It is false when the
// book is full.
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

// insert keeps the order of age; notes from other daemons may be older.
func (s *Store) insert(e *entry) *list.Element {
	for at := s.order.Back(); at != nil; at = at.Prev() {
		if !e.createdAt.Before(at.Value.(*entry).createdAt) {
			return s.order.InsertAfter(e, at)
		}
	}
	return s.order.PushFront(e)
}

// storeAnswer stores the answer if there is space; a note without it means Running.
func (s *Store) storeAnswer(e *entry, a *Answer) {
	if a == nil || s.answerBytes+size(a) > s.AnswerLimit {
		return
	}
	e.record.Answer = a
	s.answerBytes += size(a)
}

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

// Finish stores the answer of an attempt.
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

// Cancel removes the note of an attempt that did not run.
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

// Consistent reports whether there is exactly one note for each key.
func (s *Store) Consistent() bool { return len(s.records) == s.order.Len() && s.answerBytes >= 0 }

// Len returns the number of notes.
func (s *Store) Len() int { return s.order.Len() }
