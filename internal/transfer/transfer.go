// Package transfer stores the shares that quota leaders have released, until a roster
// names their successors.
//
// # Usage
//
//	s := transfer.Store{Limit: 4096, Retention: 2 * time.Minute}
//	s.Put(now, share)
//	share, ok := s.Remove(now, share.Key())
package transfer

import (
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/roster"
	"balsamwharf.example/balsamwharf/internal/units"
)

// Store is a bounded set of released shares. It doesn't lock; its owner does.
type Store struct {
	Limit int
	// Retention is how long a share is kept.
	Retention time.Duration
	shares    map[ids.Account][]stored
	count     int
}

// ReleasedShare is a share that a quota leader has released. It is sent to the
// successor or to a standby.
type ReleasedShare struct {
	Account ids.Account
	Giver   roster.Process
	// Version is that of the newest roster that the giver had read and that names it.
	Version ids.Offset
	// Split is the offset since which the account has had this number of quota leaders.
	Split ids.Offset
	// Balance is the number of tokens left, Out that of the tokens that borrowers may
	// still spend.
	Balance units.Tokens
	Out     units.Tokens
	// Age is the least time that has passed since the share was released.
	Age time.Duration
	// Final is set when the giver's process has ended. The daemon that stores the share may
	// then lend of it as a standby while the rosters still name the giver.
	Final bool
}

// Key identifies a released share.
type Key struct {
	Account ids.Account
	Giver   roster.Process
}

type stored struct {
	share    ReleasedShare
	storedAt units.Instant
}

// Key returns the key of the share.
func (rs ReleasedShare) Key() Key { return Key{Account: rs.Account, Giver: rs.Giver} }

// Put stores a share in place of an earlier one with the same key. It returns false,
// and the tokens are lost, when the store is full or a value is negative.
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

// Remove removes a share and returns it with its age as of now.
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

// ForAccount returns the shares of an account, with their ages as of when they were
// stored.
func (s *Store) ForAccount(id ids.Account) []ReleasedShare {
	var list []ReleasedShare
	for _, k := range s.shares[id] {
		list = append(list, k.share)
	}
	return list
}

// Unexpired evicts the shares that have been stored for longer than Retention and
// returns the others, with their ages as of when they were stored.
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
