package soak

import (
	"fmt"
	"sync"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/replay"
)

// accepted is an edit that an operator was told is accepted.
type accepted struct {
	version ids.Offset
	remove  bool
}

// edits remembers the accepted edits of every section.
type edits struct {
	mu sync.Mutex
	// byPath holds the edits of each section in order of their versions.
	byPath map[ids.Path][]accepted
	// removing holds the sections of which a removal may be on the log unknown.
	removing map[ids.Path]bool
	number   int
}

// next numbers the edits.
func (e *edits) next() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.number++
	return e.number
}

func (e *edits) try(path ids.Path, remove bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.removing == nil {
		e.removing = map[ids.Path]bool{}
	}
	e.removing[path] = e.removing[path] || remove
}

func (e *edits) accept(path ids.Path, a accepted) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.byPath == nil {
		e.byPath = map[ids.Path][]accepted{}
	}
	list := append(e.byPath[path], a)
	for i := len(list) - 1; i > 0 && list[i].version < list[i-1].version; i-- {
		list[i], list[i-1] = list[i-1], list[i]
	}
	e.byPath[path] = list
}

// reverted returns what of the accepted edits a state lacks, or "".
func (e *edits) reverted(s *replay.State) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	for path, list := range e.byPath {
		last := newest(list, s.Offset())
		if last.version == 0 {
			continue
		}
		entry, ok := s.Get(path)
		if ok && entry.Version < last.version {
			return fmt.Sprintf("%s has version %d at offset %d, but version %d was accepted", path, entry.Version, s.Offset(), last.version)
		}
		if !ok && !last.remove && !e.removing[path] {
			return fmt.Sprintf("%s is missing at offset %d, but version %d was accepted", path, s.Offset(), last.version)
		}
	}
	return ""
}

// newest returns the last edit up to the offset.
func newest(list []accepted, upTo ids.Offset) accepted {
	var last accepted
	for _, a := range list {
		if a.version <= upTo {
			last = a
		}
	}
	return last
}

// digests remembers the digest of the settings at each offset.
type digests struct {
	mu sync.Mutex
	at map[ids.Offset]replay.Digest
}

// same reports whether the digest is that of every other daemon at the offset.
func (d *digests) same(at ids.Offset, is replay.Digest) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.at == nil {
		d.at = map[ids.Offset]replay.Digest{}
	}
	first, ok := d.at[at]
	if !ok {
		d.at[at] = is
	}
	return !ok || first == is
}
