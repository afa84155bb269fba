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
	// fetchTimeout bounds the question for one part of a peer's state.
	fetchTimeout = 2 * time.Second
	// fetchPeers is how many peers are asked before the log.
	fetchPeers = 3
)

// recoverFromGap loads a snapshot that reaches the log's first record. Peers are asked
// first, because they keep the load of many new daemons off the log.
func (t *Tail) recoverFromGap(ctx context.Context, first ids.Offset) error {
	t.Common.Warn(event.LogGap, zap.Uint64("offset", uint64(t.Offset())), zap.Uint64("first", uint64(first)))
	peerErr := t.loadFromPeers(ctx, first-1)
	if peerErr == nil {
		return nil
	}
	if err := t.loadFromLog(ctx, first); err != nil {
		return errorx.DecorateMany("bridge a gap of the log", err, peerErr)
	}
	return nil
}

// loadFromLog reads the log for a complete snapshot. Records between the snapshot's
// offset and the place where it stands are read again afterwards.
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
				t.Common.Warn(event.RecordBad, zap.Uint64("offset", uint64(item.At)), zap.Error(err))
			}
			if s != nil && s.Offset()+1 >= p.first {
				return t.replaceState(s)
			}
		}
		if at > p.last || len(p.items) == 0 {
			return errorx.IllegalState.New("the log holds no complete snapshot that reaches offset %d", p.first)
		}
	}
}

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

// loadFromPeers takes over the state of a peer that has reached the offset.
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
		errs = append(errs, errorx.IllegalState.New("%s is at offset %d only", id, s.Offset()))
	}
	return errorx.DecorateMany("no peer has the state", append(errs, errorx.IllegalState.New("%d peers asked", len(errs)))...)
}

// loadFromPeer takes over the state of one peer.
func (t *Tail) loadFromPeer(ctx context.Context, id ids.Daemon) error {
	s, err := t.fetchState(ctx, id)
	if err != nil {
		return err
	}
	return t.replaceState(s)
}

// fetchCandidates returns a few peers in random order, those of this data centre first.
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
	// One of another data centre is always among those asked.
	if n := fetchPeers - 1; len(near) > n && len(far) > 0 {
		near = near[:n]
	}
	all := append(near, far...)
	return all[:min(fetchPeers, len(all))]
}

// fetchState asks one peer for all parts of its state.
func (t *Tail) fetchState(ctx context.Context, id ids.Daemon) (*replay.State, error) {
	var loader replay.Loader
	ask := message.Fetch{}
	for {
		part, err := t.fetchPart(ctx, id, ask)
		if err != nil {
			return nil, err
		}
		s, err := loader.Add(part)
		if s != nil || err != nil {
			return s, err
		}
		if part.Part != ask.Part || part.Part+1 >= part.Parts || (ask.Part > 0 && part.As != ask.As) {
			return nil, errorx.IllegalFormat.New("%s sent part %d of %d for part %d", id, part.Part, part.Parts, ask.Part)
		}
		ask = message.Fetch{As: part.As, Part: ask.Part + 1}
	}
}

func (t *Tail) fetchPart(ctx context.Context, id ids.Daemon, ask message.Fetch) (record.Snapshot, error) {
	ctx, cancel := t.Common.Clock.Within(ctx, fetchTimeout)
	defer cancel()
	reply, err := t.peers.Call(ctx, id, ask)
	if err != nil {
		return record.Snapshot{}, err
	}
	piece, ok := reply.(message.Piece)
	if !ok {
		return record.Snapshot{}, errorx.IllegalFormat.New("%s answered a fetch with %T", id, reply)
	}
	return piece.Snapshot, nil
}

// replaceState puts a loaded state in place of the present one.
func (t *Tail) replaceState(s *replay.State) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.Offset() <= t.state.Offset() {
		return errorx.IllegalState.New("the snapshot as of %d is not newer than the state", s.Offset())
	}
	t.Common.Invariant.Check(s.Follows(t.state), "settings reverted")
	t.state = s
	t.history.reset(s.Offset() + 1)
	t.wakeWaiters()
	t.Common.Info(event.StateLoaded, zap.Uint64("offset", uint64(s.Offset())))
	return nil
}
