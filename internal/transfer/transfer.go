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

// Store is a bounded set of notes.
type Store struct {
	Limit int
	// Retention is how long a note is kept.
	Retention time.Duration
	shares    map[ids.Account][]stored
	count     int
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

// Key tells notes apart.
type Key struct {
	Account ids.Account
	Giver   roster.Process
}

type stored struct {
	share    ReleasedShare
	storedAt units.Instant
}

// Key returns the note's name.
func (rs ReleasedShare) Key() Key { return Key{Account: rs.Account, Giver: rs.Giver} }

// Put keeps a note; a repeated one takes the place of the first. It is false when
// there is no room, and the tokens are lost.
func (s *Store) Put(now units.Instant, rs ReleasedShare) bool {
	if rs.Balance < 0 || rs.Out < 0 || rs.Age < 0 {
		return false
	}
	s.Remove(now, rs.Key())
	if s.count >= s.Limit {
		return false
	}
	if s.shares == nil {
		s.shares = map[ids.Account][]stored{}
	}
	s.shares[rs.Account] = append(s.shares[rs.Account], stored{share: rs, storedAt: now})
	s.count++
	return true
}

// Remove removes a note and returns it with its age as of now.
func (s *Store) Remove(now units.Instant, key Key) (ReleasedShare, bool) {
	list := s.shares[key.Account]
	for i, k := range list {
		if k.share.Giver != key.Giver {
			continue
		}
		s.removeAt(key.Account, i)
		k.share.Age += now.Sub(k.storedAt)
		return k.share, true
	}
	return ReleasedShare{}, false
}

func (s *Store) removeAt(id ids.Account, i int) {
	list := s.shares[id]
	s.shares[id] = append(list[:i:i], list[i+1:]...)
	if len(s.shares[id]) == 0 {
		delete(s.shares, id)
	}
	s.count--
}

// ForAccount returns the notes of an account.
func (s *Store) ForAccount(id ids.Account) []ReleasedShare {
	var list []ReleasedShare
	for _, k := range s.shares[id] {
		list = append(list, k.share)
	}
	return list
}

// Unexpired forgets the notes that are too old and returns the others.
func (s *Store) Unexpired(now units.Instant) []ReleasedShare {
	var list []ReleasedShare
	for id := range s.shares {
		for i := len(s.shares[id]) - 1; i >= 0; i-- {
			k := s.shares[id][i]
			if now.Sub(k.storedAt) > s.Retention {
				s.removeAt(id, i)
				continue
			}
			list = append(list, k.share)
		}
	}
	return list
}
