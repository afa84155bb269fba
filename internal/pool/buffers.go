package pool

import "sync"

// Buffers lends byte slices of one size.
type Buffers struct {
	Size int

	free sync.Pool
}

// Get returns a buffer whose content is undefined.
func (b *Buffers) Get() *[]byte {
	if p, ok := b.free.Get().(*[]byte); ok {
		return p
	}
	p := make([]byte, b.Size)
	return &p
}

// Put takes a buffer back.
func (b *Buffers) Put(p *[]byte) { b.free.Put(p) }
