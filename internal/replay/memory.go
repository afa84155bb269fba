package replay

import (
	"github.com/cespare/xxhash/v2"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/record"
)

// recentEdits is how many edits are kept to recognise repeats.
const recentEdits = 4096

// memory keeps the outcomes of the latest edits. It is bounded by the order of
// the records, so that all daemons forget the same ones.
type memory struct {
	byID map[ids.Edit]record.Remembered
	ring []ids.Edit
	next int
	// gone counts the remembered removals of each path.
	gone   map[ids.Path]int
	digest Digest
}

func (m *memory) find(id ids.Edit) (Outcome, bool) {
	r, ok := m.byID[id]
	if !ok {
		return nil, false
	}
	return outcomeOf(r), true
}

func (m *memory) add(e record.Edit, out Outcome) {
	r, ok := rememberedOf(e, out)
	if ok {
		m.keep(r)
	}
}

// removed reports whether a section at the path was removed lately.
func (m *memory) removed(path ids.Path) bool { return m.gone[path] > 0 }

// count notes that a removal is remembered, or no longer.
func (m *memory) count(path ids.Path, by int) {
	if path == "" {
		return
	}
	if m.gone == nil {
		m.gone = map[ids.Path]int{}
	}
	m.gone[path] += by
	if m.gone[path] == 0 {
		delete(m.gone, path)
	}
}

// keep stores r and forgets the oldest edit when the memory is full.
func (m *memory) keep(r record.Remembered) {
	if m.byID == nil {
		m.byID = map[ids.Edit]record.Remembered{}
	}
	if len(m.ring) < recentEdits {
		m.ring = append(m.ring, r.ID)
	} else {
		oldest := m.byID[m.ring[m.next]]
		m.digest -= digestOfEdit(oldest)
		m.count(oldest.Removed, -1)
		delete(m.byID, oldest.ID)
		m.ring[m.next] = r.ID
		m.next = (m.next + 1) % recentEdits
	}
	m.byID[r.ID] = r
	m.count(r.Removed, 1)
	m.digest += digestOfEdit(r)
}

// list returns the edits, oldest first.
func (m *memory) list() []record.Remembered {
	all := make([]record.Remembered, 0, len(m.ring))
	for i := range m.ring {
		all = append(all, m.byID[m.ring[(m.next+i)%len(m.ring)]])
	}
	return all
}

func digestOfEdit(r record.Remembered) Digest {
	var h xxhash.Digest
	h.Reset()
	write(&h, string(r.ID), string(r.Result), r.Reason, string(r.Removed))
	writeOffset(&h, r.At)
	return Digest(h.Sum64())
}

// rememberedOf is false for outcomes that are not an edit's own.
func rememberedOf(e record.Edit, out Outcome) (record.Remembered, bool) {
	r := record.Remembered{ID: e.ID}
	switch o := out.(type) {
	case Accepted:
		r.Result, r.At = record.Accepted, o.Version
		if e.Remove {
			r.Removed = e.Path
		}
	case Conflict:
		r.Result, r.At = record.Conflict, o.Current
	case Denied:
		r.Result, r.Reason = record.Denied, o.Reason
	case Invalid:
		r.Result, r.Reason = record.Invalid, o.Reason
	default:
		return r, false
	}
	return r, true
}

func outcomeOf(r record.Remembered) Outcome {
	switch r.Result {
	case record.Accepted:
		return Accepted{Version: r.At}
	case record.Conflict:
		return Conflict{Current: r.At}
	case record.Denied:
		return Denied{Reason: r.Reason}
	default:
		return Invalid{Reason: r.Reason}
	}
}
