// Package transfer keeps balances that holders handed over, until a roster names who
// takes them.
//
// # Usage
//
//	t := transfer.Transfer{Limit: 4096, Keep: 2 * time.Minute}
//	t.Put(now, note)
//	note, ok := t.Take(now, note.Name())
package transfer

import (
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/roster"
	"balsamwharf.example/balsamwharf/internal/units"
)

// Transfer is a bounded set of notes.
type Transfer struct {
	Limit int
	// Keep is how long a note is kept.
	Keep  time.Duration
	notes map[ids.Account][]kept
	count int
}

// ReleasedShare is a share that a holder let go.
type ReleasedShare struct {
	Account ids.Account
	Giver   roster.Process
	// Version is the newest roster that the giver had read and that named it.
	Version ids.Offset
	// Split is the offset since which the account has had this number of holders.
	Split ids.Offset
	// Balance is what was left, and Out what borrowers may still spend.
	Balance units.Tokens
	Out     units.Tokens
	// Age is how long ago the share was let go, at least.
	Age time.Duration
	// Final says that the giver's run has ended. Whoever keeps the note may lend
	// of it while the rosters still name the giver.
	Final bool
}

// Name tells notes apart.
type Name struct {
	Account ids.Account
	Giver   roster.Process
}

type kept struct {
	note ReleasedShare
	at   units.Instant
}

// Name returns the note's name.
func (n ReleasedShare) Name() Name { return Name{Account: n.Account, Giver: n.Giver} }

// Put keeps a note; a repeated one takes the place of the first. It is false when
// there is no room, and the tokens are lost.
func (t *Transfer) Put(now units.Instant, n ReleasedShare) bool {
	if n.Balance < 0 || n.Out < 0 || n.Age < 0 {
		return false
	}
	t.Take(now, n.Name())
	if t.count >= t.Limit {
		return false
	}
	if t.notes == nil {
		t.notes = map[ids.Account][]kept{}
	}
	t.notes[n.Account] = append(t.notes[n.Account], kept{note: n, at: now})
	t.count++
	return true
}

// Take removes a note and returns it with its age as of now.
func (t *Transfer) Take(now units.Instant, name Name) (ReleasedShare, bool) {
	list := t.notes[name.Account]
	for i, k := range list {
		if k.note.Giver != name.Giver {
			continue
		}
		t.remove(name.Account, i)
		k.note.Age += now.Sub(k.at)
		return k.note, true
	}
	return ReleasedShare{}, false
}

func (t *Transfer) remove(id ids.Account, i int) {
	list := t.notes[id]
	t.notes[id] = append(list[:i:i], list[i+1:]...)
	if len(t.notes[id]) == 0 {
		delete(t.notes, id)
	}
	t.count--
}

// Of returns the notes of an account.
func (t *Transfer) Of(id ids.Account) []ReleasedShare {
	var list []ReleasedShare
	for _, k := range t.notes[id] {
		list = append(list, k.note)
	}
	return list
}

// All forgets the notes that are too old and returns the others.
func (t *Transfer) All(now units.Instant) []ReleasedShare {
	var list []ReleasedShare
	for id := range t.notes {
		for i := len(t.notes[id]) - 1; i >= 0; i-- {
			k := t.notes[id][i]
			if now.Sub(k.at) > t.Keep {
				t.remove(id, i)
				continue
			}
			list = append(list, k.note)
		}
	}
	return list
}
