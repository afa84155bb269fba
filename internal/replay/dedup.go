package replay

import (
	"github.com/cespare/xxhash/v2"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/record"
)

// maxRecentEdits is how many edits are retained to recognise duplicates.
const maxRecentEdits = 4096

// dedupTable retains the outcomes of the latest edits. The order of the records
// decides which edits are evicted, so all daemons evict the same ones.
type dedupTable struct {
	byID map[ids.Edit]record.RecentEdit
	ring []ids.Edit
	next int
	// removals counts the retained removals of each path.
	removals map[ids.Path]int
	digest   Digest
}

func (t *dedupTable) find(id ids.Edit) (Outcome, bool) {
	r, ok := t.byID[id]
	if !ok {
		return nil, false
	}
	return outcomeOf(r), true
}

func (t *dedupTable) add(e record.Edit, out Outcome) {
	r, ok := recentEditOf(e, out)
	if ok {
		t.store(r)
	}
}

// removedRecently reports whether a retained edit removed the section at the path.
func (t *dedupTable) removedRecently(path ids.Path) bool { return t.removals[path] > 0 }

// countRemoval adds to the retained removals of a path; by is negative when one is
// evicted.
func (t *dedupTable) countRemoval(path ids.Path, by int) {
	if path == "" {
		return
	}
	if t.removals == nil {
		t.removals = map[ids.Path]int{}
	}
	t.removals[path] += by
	if t.removals[path] == 0 {
		delete(t.removals, path)
	}
}

// store retains r and evicts the oldest edit when the table is full.
func (t *dedupTable) store(r record.RecentEdit) {
	if t.byID == nil {
		t.byID = map[ids.Edit]record.RecentEdit{}
	}
	if len(t.ring) < maxRecentEdits {
		t.ring = append(t.ring, r.ID)
	} else {
		oldest := t.byID[t.ring[t.next]]
		t.digest -= digestOfEdit(oldest)
		t.countRemoval(oldest.Removed, -1)
		delete(t.byID, oldest.ID)
		t.ring[t.next] = r.ID
		t.next = (t.next + 1) % maxRecentEdits
	}
	t.byID[r.ID] = r
	t.countRemoval(r.Removed, 1)
	t.digest += digestOfEdit(r)
}

// list returns the retained edits, oldest first.
func (t *dedupTable) list() []record.RecentEdit {
	all := make([]record.RecentEdit, 0, len(t.ring))
	for i := range t.ring {
		all = append(all, t.byID[t.ring[(t.next+i)%len(t.ring)]])
	}
	return all
}

func digestOfEdit(r record.RecentEdit) Digest {
	var h xxhash.Digest
	h.Reset()
	writeStrings(&h, string(r.ID), string(r.Result), r.Reason, string(r.Removed))
	writeOffset(&h, r.At)
	return Digest(h.Sum64())
}

// recentEditOf returns the edit with its outcome. It returns false for outcomes
// that are not retained.
func recentEditOf(e record.Edit, out Outcome) (record.RecentEdit, bool) {
	r := record.RecentEdit{ID: e.ID}
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

func outcomeOf(r record.RecentEdit) Outcome {
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
