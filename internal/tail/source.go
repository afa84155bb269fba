package tail

import (
	"errors"
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/units"
)

const (
	firstBackoff = 200 * time.Millisecond
	// staleBackoff bounds how long a reader without recent evidence is left alone.
	staleBackoff = time.Second
	// noAnswerFirst and lostBackoff are the first and the longest pause after a reader
	// that did not answer; they leave most of the time to the log.
	noAnswerFirst   = 3 * time.Second
	noAnswerBackoff = 15 * time.Second
	// readerBackoff bounds the pauses of a reader while the log is away.
	readerBackoff = time.Second
	// followerBackoff bounds those of all others, of which there are many.
	followerBackoff = 30 * time.Second
	// staleAfter is the age of evidence at which a follower looks elsewhere; it
	// leaves time for another question before a confirmation ends.
	staleAfter = 1400 * time.Millisecond
)

// maxSourceWait bounds the sleep between looks at the members.
const maxSourceWait = time.Second

// source is where the next records are asked for. The interface is sealed.
type source interface{ isSource() }

// logSource reads the platform's log.
type logSource struct{}

// peerSource asks a reader.
type peerSource struct{ id ids.Daemon }

func (logSource) isSource()  {}
func (peerSource) isSource() {}

// backoff is the pause after failures of one source.
type backoff struct {
	retryAt units.Instant
	pause   time.Duration
}

// sources decides whom to ask next. It is used by one task only.
type sources struct {
	self     ids.Daemon
	backoffs map[source]backoff
	// readsLog is set while this daemon reads the log for others.
	readsLog bool
}

// next returns the first source that is not paused, or how long to wait for one.
func (s *sources) next(now units.Instant, readers []ids.Daemon) (source, time.Duration) {
	order := s.order(readers)
	wait := maxSourceWait
	for _, from := range order {
		left := s.backoffs[from].retryAt.Sub(now)
		if left <= 0 {
			return from, 0
		}
		wait = min(wait, left)
	}
	return nil, wait
}

// order puts the log first for a reader and last for all others.
func (s *sources) order(readers []ids.Daemon) []source {
	var order []source
	reads := len(readers) == 0
	for _, id := range readers {
		if id == s.self {
			reads = true
			continue
		}
		order = append(order, peerSource{id: id})
	}
	s.readsLog = reads
	if reads {
		return append([]source{logSource{}}, order...)
	}
	return append(order, logSource{})
}

// recordResult notes how a question ended; random in [0, 1) spreads the pauses.
func (s *sources) recordResult(now units.Instant, from source, err error, random float64) {
	if s.backoffs == nil {
		s.backoffs = map[source]backoff{}
	}
	if err == nil {
		delete(s.backoffs, from)
		return
	}
	first, longest := s.backoffLimits(from, err)
	b := s.backoffs[from]
	b.pause = min(max(2*b.pause, first), longest)
	b.retryAt = now.Add(b.pause/2 + time.Duration(random*float64(b.pause/2)))
	s.backoffs[from] = b
}

// backoffLimits returns the first and the longest pause after a failure. The pause for
// the log grows past readerBackoff only where readers are asked as well.
func (s *sources) backoffLimits(from source, err error) (first, longest time.Duration) {
	switch from.(type) {
	case peerSource:
		if errors.Is(err, errPeerStale) {
			return firstBackoff, staleBackoff
		}
		return noAnswerFirst, noAnswerBackoff
	default:
		if s.readsLog {
			return firstBackoff, readerBackoff
		}
		return firstBackoff, followerBackoff
	}
}
