package replay

import (
	"time"

	"github.com/joomcode/errorx"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/record"
	"balsamwharf.example/balsamwharf/internal/settings"
)

// maxParts bounds the number of parts that a snapshot may declare.
const maxParts = 1 << 16

// Loader builds a State from the parts of a snapshot, which may be added in any
// order and mixed with those of other snapshots. The zero Loader is empty.
type Loader struct {
	partial map[snapshotKey]*partialSnapshot
}

// snapshotKey identifies one snapshot: two daemons may write one of the same
// offset.
type snapshotKey struct {
	as     ids.Offset
	maker  ids.Daemon
	made   time.Time
	digest uint64
	parts  int
}

// partialSnapshot is a snapshot of which some parts are loaded.
type partialSnapshot struct {
	state State
	seen  map[int]bool
}

// Add adds one part. It returns the State once all parts of its snapshot are
// loaded, and nil before. The next record to apply to that State is the one after
// part.As, even when the snapshot itself is later on the log. It returns an error
// if the part is malformed or the content does not match the digest.
func (l *Loader) Add(part record.Snapshot) (*State, error) {
	if part.Parts < 1 || part.Parts > maxParts || part.Part < 0 || part.Part >= part.Parts {
		return nil, errorx.IllegalFormat.New("snapshot at offset %d can't have part %d of %d", part.As, part.Part, part.Parts)
	}
	key := snapshotKey{as: part.As, maker: part.Maker, made: part.Made.UTC(), digest: part.Digest, parts: part.Parts}
	if l.partial == nil {
		l.partial = map[snapshotKey]*partialSnapshot{}
	}
	p := l.partial[key]
	if p == nil {
		p = &partialSnapshot{seen: map[int]bool{}}
		p.state.init()
		l.partial[key] = p
	}
	if err := p.add(part); err != nil {
		return nil, errorx.Decorate(err, "load part %d of the snapshot at offset %d", part.Part, part.As)
	}
	if len(p.seen) < part.Parts {
		return nil, nil
	}
	delete(l.partial, key)
	return p.finish(part)
}

// add loads the sections of one part; a part that was loaded before is ignored.
func (p *partialSnapshot) add(part record.Snapshot) error {
	if p.seen[part.Part] {
		return nil
	}
	for _, sec := range part.Sections {
		section, err := settings.Parse(sec.Path, sec.Values)
		if err != nil {
			return err
		}
		p.state.put(sec.Path, Entry{Section: section, Version: sec.Version, Created: sec.Created, SplitSince: sec.Split})
	}
	for _, r := range part.Recent {
		p.state.dedup.store(r)
	}
	if part.Part == 0 {
		p.state.rosters.load(part)
	}
	p.seen[part.Part] = true
	return nil
}

// finish compares the digest of the content with the one in the snapshot.
func (p *partialSnapshot) finish(part record.Snapshot) (*State, error) {
	s := &p.state
	if s.Digest() != Digest(part.Digest) {
		return nil, errorx.IllegalFormat.New("snapshot at offset %d declares digest %x, but its content has %x", part.As, part.Digest, uint64(s.Digest()))
	}
	s.offset = part.As
	s.snapshot = SnapshotInfo{Offset: part.Logged, WrittenAt: part.Made}
	return s, nil
}
