// Package hold counts the memory that one request takes of what all requests may take together.
//
// # Usage
//
//	h := hold.Hold{Of: &allowance, Total: 72 << 20, Long: 66 << 20}
//	defer h.Release()
//	if !h.Take(n) { ... } // there is no room
//
// Long bodies leave a part of the memory to short ones, so that a few large uploads don't keep out
// the small requests of others.
package hold

import (
	"sync"

	"balsamwharf.example/balsamwharf/internal/mesh/allowance"
	"balsamwharf.example/balsamwharf/internal/units"
)

// short is how much a hold may take of the part that is left to short bodies.
const short units.Bytes = 64 << 10

// Hold counts what one request takes. A nil Hold and the zero value have no bound. Its methods may
// be called from several goroutines.
type Hold struct {
	// Of is shared by all holds.
	Of *allowance.Allowance
	// Total is the most that all holds may take, and Long the most beyond which only short bodies
	// may.
	Total, Long units.Bytes

	mu    sync.Mutex
	taken units.Bytes
}

// Take takes n bytes, or returns false and takes none if there is no room.
func (h *Hold) Take(n units.Bytes) bool {
	if h == nil || h.Of == nil {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.Of.Take(n, h.limit(h.taken+n)) {
		return false
	}
	h.taken += n
	return true
}

// Fits reports whether a body of the length would fit as things are.
func (h *Hold) Fits(n units.Bytes) bool {
	if h == nil || h.Of == nil {
		return true
	}
	return n <= h.limit(n)-h.Of.Taken()
}

func (h *Hold) limit(n units.Bytes) units.Bytes {
	if n <= short {
		return h.Total
	}
	return h.Long
}

// Release gives back what was taken. It may be called more than once.
func (h *Hold) Release() {
	if h == nil || h.Of == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Of.Return(h.taken)
	h.taken = 0
}
