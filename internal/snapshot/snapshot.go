// Package snapshot writes all settings to the log again before their records
// expire.
//
// # Usage
//
//	k.Add(&snapshot.Writer{Common: c, Log: log})
//
// All daemons see from the log when a snapshot is due. Rendezvous hashing ranks a
// few of them; each waits longer than the one before, and the daemons without a
// rank wait longest. Two snapshots at once are harmless, and so is an incomplete
// one, left by a daemon that stopped while it wrote: it is never loaded.
package snapshot

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/directory"
	"balsamwharf.example/balsamwharf/internal/event"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/platformlog"
	"balsamwharf.example/balsamwharf/internal/record"
	"balsamwharf.example/balsamwharf/internal/rendezvous"
	"balsamwharf.example/balsamwharf/internal/replay"
	"balsamwharf.example/balsamwharf/internal/tail"
	"balsamwharf.example/balsamwharf/internal/units"
	"balsamwharf.example/balsamwharf/pkg/kernel"
	"balsamwharf.example/balsamwharf/pkg/service"
)

const (
	// checkPeriod is the time between two checks whether a snapshot is due.
	checkPeriod = 10 * time.Second
	// rankedDaemons is how many daemons have a rank.
	rankedDaemons = 8
	// rankDelay is the time between the turns of two ranks; a snapshot is written
	// within it.
	rankDelay = 30 * time.Second
	// unrankedDelay is the range of the random delay of daemons without a rank, after
	// the last rank.
	unrankedDelay = 10 * time.Minute
	// maxStaleness is how long ago a daemon must have been caught up to write its
	// state.
	maxStaleness = 2 * time.Second
	// partPause limits a snapshot to 20 appends a second.
	partPause = 50 * time.Millisecond
	// appendTimeout bounds the append of one part.
	appendTimeout = 2 * time.Second
	// defaultRetention applies when the settings name no retention.
	defaultRetention = 24 * time.Hour
)

// Writer writes snapshots when it is this daemon's turn.
type Writer struct {
	Common *common.Common
	Log    platformlog.Log

	tail      *tail.Tail
	directory *directory.Directory
	force     inForceReader
	turn      turn
}

// turn is when this daemon may write the snapshot that is due.
type turn struct {
	after    ids.Offset
	startsAt units.Instant
	set      bool
}

// inForceReader returns the newest offset known to be in force.
type inForceReader interface{ Newest() ids.Offset }

// Name implements service.Service.
func (s *Writer) Name() service.Name { return "snapshot" }

// Needs implements service.Service.
func (s *Writer) Needs() []service.Name {
	return []service.Name{"timer", "tail", "directory", "force"}
}

// Start implements service.Service.
func (s *Writer) Start(ctx context.Context, f service.Finder) error {
	if err := errors.Join(
		kernel.Bind(f, "tail", &s.tail),
		kernel.Bind(f, "directory", &s.directory),
		kernel.Bind(f, "force", &s.force),
	); err != nil {
		return err
	}
	go s.run(ctx)
	return nil
}

// Stop implements service.Service. The task ends with the kernel's context; a
// snapshot that it was writing stays incomplete.
func (s *Writer) Stop(context.Context) error { return nil }

func (s *Writer) run(ctx context.Context) {
	sub := s.Common.Clock.Every(checkPeriod)
	defer sub.Stop()
	for {
		select {
		case now := <-sub.C:
			s.check(ctx, now)
		case <-ctx.Done():
			return
		}
	}
}

// check writes a snapshot when one is due and this daemon's turn has come.
func (s *Writer) check(ctx context.Context, now units.Instant) {
	latest, isDue := s.checkDue()
	// The delay starts once this daemon is caught up. Otherwise the turns of all
	// daemons would have come at the end of an outage of the log.
	if !isDue || !s.caughtUp(now) {
		s.turn = turn{}
		return
	}
	if !s.turn.set || s.turn.after != latest.Offset {
		s.turn = turn{after: latest.Offset, startsAt: now.Add(s.turnDelay(latest.Offset)), set: true}
	}
	if now.Before(s.turn.startsAt) {
		return
	}
	s.turn.startsAt = now.Add(unrankedDelay/2 + rand.N(unrankedDelay))
	if err := s.write(ctx); err != nil {
		s.Common.Warn(event.SnapshotFailed, zap.Error(err))
	}
}

// checkDue returns the newest snapshot and whether the next one is due.
func (s *Writer) checkDue() (replay.SnapshotInfo, bool) {
	retention := s.Common.Settings.Platform.Retention
	if retention <= 0 {
		retention = defaultRetention
	}
	var latest replay.SnapshotInfo
	var isDue bool
	s.tail.View(func(state *replay.State) {
		latest = state.LatestSnapshot()
		isDue = due(state.Offset(), latest, s.Common.Clock.Wall(), retention)
	})
	return latest, isDue
}

// turnDelay returns how long this daemon waits for others to write the snapshot.
func (s *Writer) turnDelay(after ids.Offset) time.Duration {
	var all []ids.Daemon
	for _, m := range s.directory.Reachable() {
		if m.Incarnation != 0 && !m.Leaving && !m.Gone {
			all = append(all, m.Daemon)
		}
	}
	top := rendezvous.Top("snapshot after "+strconv.FormatUint(uint64(after), 10), all, rankedDaemons)
	if i := slices.Index(top, s.Common.Settings.Identity.Daemon); i >= 0 {
		return time.Duration(i) * rankDelay
	}
	return rankedDaemons*rankDelay + rand.N(unrankedDelay)
}

// caughtUp reports whether the state held all records of the log less than
// maxStaleness ago.
func (s *Writer) caughtUp(now units.Instant) bool {
	caughtUpAt, known := s.tail.LastCaughtUp()
	return known && now.Sub(caughtUpAt) < maxStaleness
}

// write appends all parts of the current state in order, so that the last part
// completes the snapshot.
func (s *Writer) write(ctx context.Context) error {
	frozen := s.tail.Freeze()
	writtenAt := s.Common.Clock.Wall().UTC().Truncate(time.Second)
	for i := range frozen.Parts() {
		part, _ := frozen.Part(i)
		part.Maker = s.Common.Settings.Identity.Daemon
		part.Logged, part.Made = frozen.Offset(), writtenAt
		part.Settled = min(s.force.Newest(), frozen.Offset())
		if err := s.append(ctx, part); err != nil {
			return err
		}
		if err := s.Common.Clock.Sleep(ctx, partPause); err != nil {
			return err
		}
	}
	s.Common.Info(event.SnapshotMade, zap.Uint64("offset", uint64(frozen.Offset())), zap.Int("parts", frozen.Parts()))
	return nil
}

// append appends one part. When the reply is lost the part may be on the log; the
// snapshot is abandoned all the same, because an incomplete one is harmless.
func (s *Writer) append(ctx context.Context, part record.Snapshot) error {
	data, err := record.Encode(part)
	if err != nil {
		return err
	}
	ctx, cancel := s.Common.Clock.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err = s.Log.Append(ctx, platformlog.Settings, data)
	return err
}
