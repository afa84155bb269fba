package tail

import (
	"errors"
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/units"
)

const (
	firstBackoff = 200 * time.Millisecond
	// staleBackoff is the longest pause after a reader replied that was not caught up
	// recently.
	staleBackoff = time.Second
	// noAnswerFirst and noAnswerBackoff are the first and the longest pause after a
	// reader that did not answer; they leave most of the time to reads of the log.
	noAnswerFirst   = 3 * time.Second
	noAnswerBackoff = 15 * time.Second
	// readerBackoff is the longest pause between reads of a reader while the log is
	// unavailable.
	readerBackoff = time.Second
	// followerBackoff is the longest pause between reads of the log by the other
	// daemons, of which there are many.
	followerBackoff = 30 * time.Second
	// staleAfter is the age of the caught-up time at which a follower queries another
	// source. It leaves time for one more query before the read lease expires.
	staleAfter = 1400 * time.Millisecond
)

// maxSourceWait bounds the wait for a source, after which the list of readers is
// looked up again.
const maxSourceWait = time.Second

// source is where records are read from. The interface is sealed.
type source interface{ isSource() }

// logSource is the platform's log.
type logSource struct{}

// peerSource is a daemon that reads the log.
type peerSource struct{ id ids.Daemon }

func (logSource) isSource()  {}
func (peerSource) isSource() {}

// backoff is the pause after failures of one source.
type backoff struct {
	retryAt units.Instant
	pause   time.Duration
}

// sources selects the source of the next query. It is not safe for concurrent use.
type sources struct {
	self     ids.Daemon
	backoffs map[source]backoff
	// readsLog is set while this daemon is one of the readers of its data centre.
	readsLog bool
}

// next returns the first source that is not paused. If all are, it returns nil and
// how long to wait.
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

// order returns the sources in the order of preference: the log is first for a
// reader and last for all others.
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

// recordResult records how a query ended; random in [0, 1) spreads the pauses.
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

// backoffLimits returns the first and the longest pause after a failure. The pause
// for the log grows beyond readerBackoff only for daemons that can query readers
// instead.
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
