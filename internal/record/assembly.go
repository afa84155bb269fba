package record

import (
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
)

// maxParts bounds the parts that one snapshot may claim to have.
const maxParts = 1 << 16

// Assembly collects the parts of snapshots until one is complete. The zero value
// is empty.
type Assembly struct {
	open map[assemblyKey]map[int]Snapshot
}

// assemblyKey tells the snapshots of two makers apart.
type assemblyKey struct {
	as    ids.Offset
	maker ids.Daemon
	made  time.Time
}

// Add takes one part and returns the whole snapshot once all parts are there.
func (a *Assembly) Add(part Snapshot) (Snapshot, bool) {
	if part.Parts < 1 || part.Parts > maxParts || part.Part < 0 || part.Part >= part.Parts {
		return Snapshot{}, false
	}
	key := assemblyKey{as: part.As, maker: part.Maker, made: part.Made.UTC()}
	if a.open == nil {
		a.open = map[assemblyKey]map[int]Snapshot{}
	}
	parts := a.open[key]
	if parts == nil {
		parts = map[int]Snapshot{}
		a.open[key] = parts
	}
	parts[part.Part] = part
	if len(parts) < part.Parts {
		return Snapshot{}, false
	}
	delete(a.open, key)
	return join(parts, part.Parts)
}

// join puts the parts together; it fails when they disagree on their number.
func join(parts map[int]Snapshot, count int) (Snapshot, bool) {
	whole := parts[0]
	whole.Parts, whole.Sections = 1, nil
	for i := range count {
		p, ok := parts[i]
		if !ok || p.Parts != count || p.Digest != whole.Digest {
			return Snapshot{}, false
		}
		whole.Sections = append(whole.Sections, p.Sections...)
	}
	return whole, true
}
