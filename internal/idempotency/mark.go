// Package mark keeps the notes of idempotency keys.
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

	notes map[Key]*list.Element
	order list.List
	used  units.Bytes
}

type entry struct {
	key  Key
	made units.Instant
	note Record
}

// Begin looks a key up and notes it when it is new.
func (b *Store) Begin(now units.Instant, key Key, fresh Record) Outcome {
	if n, ok := b.Find(now, key); ok {
		return n.Outcome(fresh.Digest)
	}
	if !b.Put(now, key, fresh) {
		return Refused{Reason: "too many idempotency keys are in use"}
	}
	return Granted{}
}

// Outcome returns what the note means for a repeat with the digest.
func (n Record) Outcome(digest ids.Hash) Outcome {
	if n.Digest != digest {
		return Mismatch{}
	}
	if n.Answer != nil {
		return Completed{Answer: *n.Answer}
	}
	return Running{}
}

// Find returns the note of a key.
func (b *Store) Find(now units.Instant, key Key) (Record, bool) {
	b.expire(now)
	e, ok := b.notes[key]
	if !ok {
		return Record{}, false
	}
	n := e.Value.(*entry).note
	n.Age = now.Sub(e.Value.(*entry).made)
	return n, true
}

// PutCopy stores a guard's note at the second daemon. It gives way only to a newer
// note of the same guard; otherwise it returns the note that is here.
func (b *Store) PutCopy(now units.Instant, key Key, n Record) (Record, bool) {
	old, ok := b.Find(now, key)
	if ok && old.Attempt != n.Attempt && (old.Version != n.Version || old.Number > n.Number || old.Answer != nil) {
		return old, false
	}
	return Record{}, b.Put(now, key, n)
}

// Put stores a note and replaces an earlier one of the key. It is false when the
// book is full.
func (b *Store) Put(now units.Instant, key Key, n Record) bool {
	b.expire(now)
	if b.notes == nil {
		b.notes = map[Key]*list.Element{}
	}
	if old, ok := b.notes[key]; ok {
		b.remove(old)
	}
	if len(b.notes) >= b.Limit {
		return false
	}
	answer := n.Answer
	n.Answer = nil
	e := &entry{key: key, made: now.Add(-n.Age), note: n}
	b.notes[key] = b.insert(e)
	b.keep(e, answer)
	return true
}

// insert keeps the order of age; notes from other daemons may be older.
func (b *Store) insert(e *entry) *list.Element {
	for at := b.order.Back(); at != nil; at = at.Prev() {
		if !e.made.Before(at.Value.(*entry).made) {
			return b.order.InsertAfter(e, at)
		}
	}
	return b.order.PushFront(e)
}

// keep stores the answer if there is space; a note without it means Running.
func (b *Store) keep(e *entry, a *Answer) {
	if a == nil || b.used+size(a) > b.AnswerLimit {
		return
	}
	e.note.Answer = a
	b.used += size(a)
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
func (b *Store) Finish(now units.Instant, key Key, attempt Attempt, a *Answer) {
	b.expire(now)
	e, ok := b.notes[key]
	if !ok {
		return
	}
	n := e.Value.(*entry)
	if n.note.Attempt == attempt && n.note.Answer == nil {
		b.keep(n, a)
	}
}

// Cancel removes the note of an attempt that did not run.
func (b *Store) Cancel(key Key, attempt Attempt) {
	e, ok := b.notes[key]
	if ok && e.Value.(*entry).note.Attempt == attempt && e.Value.(*entry).note.Answer == nil {
		b.remove(e)
	}
}

func (b *Store) expire(now units.Instant) {
	for e := b.order.Front(); e != nil && now.Sub(e.Value.(*entry).made) >= b.Window; e = b.order.Front() {
		b.remove(e)
	}
}

func (b *Store) remove(e *list.Element) {
	n := b.order.Remove(e).(*entry)
	delete(b.notes, n.key)
	if n.note.Answer != nil {
		b.used -= size(n.note.Answer)
	}
}

// Consistent reports whether there is exactly one note for each key.
func (b *Store) Consistent() bool { return len(b.notes) == b.order.Len() && b.used >= 0 }

// Len returns the number of notes.
func (b *Store) Len() int { return b.order.Len() }
