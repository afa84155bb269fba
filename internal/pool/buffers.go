package pool

import "sync"

// Buffers is a pool of byte slices of one size. Its methods may be called concurrently.
type Buffers struct {
	// Size is the length of each buffer in bytes.
	Size int

	free sync.Pool
}

// Get returns a buffer with undefined content.
func (b *Buffers) Get() *[]byte {
	if p, ok := b.free.Get().(*[]byte); ok {
		return p
	}
	p := make([]byte, b.Size)
	return &p
}

// Put returns a buffer to the pool. The caller must not use it afterwards.
func (b *Buffers) Put(p *[]byte) { b.free.Put(p) }
