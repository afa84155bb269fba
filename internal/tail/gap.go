package tail

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"balsamwharf.example/balsamwharf/internal/event"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/message"
	"balsamwharf.example/balsamwharf/internal/record"
	"balsamwharf.example/balsamwharf/internal/replay"
)

const (
	// fetchTimeout bounds the request for one part of a peer's state.
	fetchTimeout = 2 * time.Second
	// fetchPeers is how many peers are queried before the log is scanned.
	fetchPeers = 3
)

// recoverFromGap loads a snapshot that reaches first, the oldest record that the
// log still holds. Peers are queried before the log is scanned, so that many
// daemons that start at once don't load the log service.
func (t *Tail) recoverFromGap(ctx context.Context, first ids.Offset) error {
	t.Common.Warn(event.LogGap, zap.Uint64("offset", uint64(t.Offset())), zap.Uint64("first", uint64(first)))
	peerErr := t.loadFromPeers(ctx, first-1)
	if peerErr == nil {
		return nil
	}
	if err := t.loadFromLog(ctx, first); err != nil {
		return errorx.DecorateMany("recover from expired log records", err, peerErr)
	}
	return nil
}

// loadFromLog scans the log for a complete snapshot. Records between the offset of
// the snapshot and its place on the log are read again afterwards.
func (t *Tail) loadFromLog(ctx context.Context, first ids.Offset) error {
	var loader replay.Loader
	for at := first; ; {
		p, err := t.readLog(ctx, at, 0)
		if err != nil {
			return err
		}
		for _, item := range p.items {
			at = item.At + 1
			s, err := t.addSnapshotPart(&loader, item)
			if err != nil {
				t.Common.Warn(event.RecordInvalid, zap.Uint64("offset", uint64(item.At)), zap.Error(err))
			}
			if s != nil && s.Offset()+1 >= p.first {
				return t.replaceState(s)
			}
		}
		if at > p.last || len(p.items) == 0 {
			return errorx.IllegalState.New("log holds no complete snapshot that reaches offset %d", p.first)
		}
	}
}

// addSnapshotPart adds the item to the loader if it is a part of a snapshot. It
// returns the state once all parts are loaded, and nil before.
func (t *Tail) addSnapshotPart(l *replay.Loader, item message.Item) (*replay.State, error) {
	rec, err := record.Decode(item.Data)
	if err != nil {
		return nil, err
	}
	snap, ok := rec.(record.Snapshot)
	if !ok {
		return nil, nil
	}
	return l.Add(snap)
}

// loadFromPeers replaces the state by that of the first peer whose state is newer
// and has reached the offset.
func (t *Tail) loadFromPeers(ctx context.Context, atLeast ids.Offset) error {
	var errs []error
	for _, id := range t.fetchCandidates() {
		s, err := t.fetchState(ctx, id)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		if s.Offset() >= max(atLeast, t.Offset()+1) {
			return t.replaceState(s)
		}
		errs = append(errs, errorx.IllegalState.New("state of %s only reaches offset %d", id, s.Offset()))
	}
	return errorx.DecorateMany("load the state from peers", append(errs, errorx.IllegalState.New("%d peers queried", len(errs)))...)
}

// loadFromPeer replaces the state by that of one peer.
func (t *Tail) loadFromPeer(ctx context.Context, id ids.Daemon) error {
	s, err := t.fetchState(ctx, id)
	if err != nil {
		return err
	}
	return t.replaceState(s)
}

// fetchCandidates returns up to fetchPeers peers in random order, those of this
// data centre first.
func (t *Tail) fetchCandidates() []ids.Daemon {
	own := t.Common.Settings.Identity
	var near, far []ids.Daemon
	members := t.directory.Reachable()
	for _, i := range rand.Perm(len(members)) {
		m := members[i]
		switch {
		case m.Daemon == own.Daemon || m.Gone:
		case m.Centre == own.Centre:
			near = append(near, m.Daemon)
		default:
			far = append(far, m.Daemon)
		}
	}
	// Leave one place for a peer of another data centre.
	if n := fetchPeers - 1; len(near) > n && len(far) > 0 {
		near = near[:n]
	}
	all := append(near, far...)
	return all[:min(fetchPeers, len(all))]
}

// fetchState fetches all parts of one peer's state.
func (t *Tail) fetchState(ctx context.Context, id ids.Daemon) (*replay.State, error) {
	var loader replay.Loader
	req := message.Fetch{}
	for {
		part, err := t.fetchPart(ctx, id, req)
		if err != nil {
			return nil, err
		}
		s, err := loader.Add(part)
		if s != nil || err != nil {
			return s, err
		}
		if part.Part != req.Part || part.Part+1 >= part.Parts || (req.Part > 0 && part.As != req.As) {
			return nil, errorx.IllegalFormat.New("%s sent part %d of %d in reply to a fetch of part %d", id, part.Part, part.Parts, req.Part)
		}
		req = message.Fetch{As: part.As, Part: req.Part + 1}
	}
}

func (t *Tail) fetchPart(ctx context.Context, id ids.Daemon, req message.Fetch) (record.Snapshot, error) {
	ctx, cancel := t.Common.Clock.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	reply, err := t.peers.Call(ctx, id, req)
	if err != nil {
		return record.Snapshot{}, err
	}
	piece, ok := reply.(message.SnapshotPart)
	if !ok {
		return record.Snapshot{}, errorx.IllegalFormat.New("%s replied to a fetch with %T", id, reply)
	}
	return piece.Snapshot, nil
}

// replaceState replaces the state by a newer one, drops the history and wakes the
// waiters.
func (t *Tail) replaceState(s *replay.State) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.Offset() <= t.state.Offset() {
		return errorx.IllegalState.New("snapshot at offset %d is not newer than the current state", s.Offset())
	}
	t.Common.Invariant.Check(s.Supersedes(t.state), "settings reverted")
	t.state = s
	t.history.reset(s.Offset() + 1)
	t.wakeWaiters()
	t.Common.Info(event.StateLoaded, zap.Uint64("offset", uint64(s.Offset())))
	return nil
}
