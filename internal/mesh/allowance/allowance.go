// Package allowance bounds how many bytes are held in memory at once for a purpose.
//
// # Usage
//
//	var a allowance.Allowance
//	if !a.Take(n, limit) { ... } // there is no room
//	defer a.Return(n)
package allowance

import (
	"sync"

	"balsamwharf.example/balsamwharf/internal/units"
)

// Allowance counts bytes. Its methods may be called from several goroutines.
type Allowance struct {
	mu          sync.Mutex
	taken, most units.Bytes
}

// Take takes n bytes. It returns false and takes none when more than limit would be taken.
func (a *Allowance) Take(n, limit units.Bytes) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if n > limit-a.taken {
		return false
	}
	a.taken += n
	a.most = max(a.most, a.taken)
	return true
}

// Return gives back n bytes that were taken.
func (a *Allowance) Return(n units.Bytes) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.taken -= n
}

// Taken returns how many bytes are taken.
func (a *Allowance) Taken() units.Bytes {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.taken
}

// Most returns the most bytes that were taken at once.
func (a *Allowance) Most() units.Bytes {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.most
}
