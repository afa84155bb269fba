package soak

import (
	"sync"
	"time"

	"balsamwharf.example/balsamwharf/internal/bearer"
	"balsamwharf.example/balsamwharf/internal/ids"
)

// key is one key of a client account.
type key struct {
	path    ids.Path
	secret  string
	account ids.Account
	// present is set once the grant was accepted.
	present bool
	// withdrawing is set from before the withdrawal is sent.
	withdrawing bool
	// removed is where the withdrawal stands on the log.
	removed ids.Offset
	// dead is when the withdrawal was first known to be in force by any daemon.
	dead    time.Duration
	settled bool
}

// keys holds all keys that were ever granted.
type keys struct {
	mu  sync.Mutex
	all []*key
}

func newKey(path ids.Path, account ids.Account) *key {
	return &key{path: path, secret: "secret of " + string(path), account: account}
}

func (k *key) hash() ids.Hash { return bearer.HashOf(k.secret) }

func (k *keys) add(one *key) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.all = append(k.all, one)
}

// change changes a key under the lock.
func (k *keys) change(f func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	f()
}

// pick returns one of the keys that were granted, withdrawn ones included.
func (k *keys) pick(n int) *key {
	k.mu.Lock()
	defer k.mu.Unlock()
	var granted []*key
	for _, one := range k.all {
		if one.present {
			granted = append(granted, one)
		}
	}
	return granted[n%len(granted)]
}

// extra returns a key that may be withdrawn: none of the first ones. It is nil when
// there is none.
func (k *keys) extra(n int) *key {
	k.mu.Lock()
	defer k.mu.Unlock()
	var free []*key
	for _, one := range k.all {
		if one.present && !one.withdrawing && one.path != firstKey(one.account) {
			free = append(free, one)
		}
	}
	if len(free) == 0 {
		return nil
	}
	chosen := free[n%len(free)]
	chosen.withdrawing = true
	return chosen
}

// note marks the withdrawals in force at the offset as in force since now.
func (k *keys) note(inForce ids.Offset, now time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, one := range k.all {
		if one.removed != 0 && !one.settled && one.removed <= inForce {
			one.settled, one.dead = true, now
		}
	}
}

// deadSince reports whether the key's withdrawal was in force at the time.
func (k *keys) deadSince(one *key, at time.Duration) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return one.settled && one.dead <= at
}

// list returns the keys of which the fate is known: valid ones and withdrawn ones.
func (k *keys) list() (valid, withdrawn []*key) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, one := range k.all {
		switch {
		case one.removed != 0:
			withdrawn = append(withdrawn, one)
		case one.present && !one.withdrawing:
			valid = append(valid, one)
		}
	}
	return valid, withdrawn
}
