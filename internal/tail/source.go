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
	// lostFirst and lostBackoff are the first and the longest pause after a reader
	// that did not answer; they leave most of the time to the log.
	lostFirst   = 3 * time.Second
	lostBackoff = 15 * time.Second
	// readerBackoff bounds the pauses of a reader while the log is away.
	readerBackoff = time.Second
	// followerBackoff bounds those of all others, of which there are many.
	followerBackoff = 30 * time.Second
	// staleAfter is the age of evidence at which a follower looks elsewhere; it
	// leaves time for another question before a confirmation ends.
	staleAfter = 1400 * time.Millisecond
)

// maxSleep bounds the sleep between looks at the members.
const maxSleep = time.Second

// source is where the next records are asked for. The interface is sealed.
type source interface{ isSource() }

// fromLog reads the platform's log.
type fromLog struct{}

// fromPeer asks a reader.
type fromPeer struct{ id ids.Daemon }

func (fromLog) isSource()  {}
func (fromPeer) isSource() {}

// backoff is the pause after failures of one source.
type backoff struct {
	until units.Instant
	pause time.Duration
}

// sources decides whom to ask next. It is used by one task only.
type sources struct {
	self  ids.Daemon
	state map[source]backoff
	// reader is set while this daemon reads the log for others.
	reader bool
}

// next returns the first source that is not paused, or how long to wait for one.
func (s *sources) next(now units.Instant, readers []ids.Daemon) (source, time.Duration) {
	order := s.order(readers)
	wait := maxSleep
	for _, from := range order {
		left := s.state[from].until.Sub(now)
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
		order = append(order, fromPeer{id: id})
	}
	s.reader = reads
	if reads {
		return append([]source{fromLog{}}, order...)
	}
	return append(order, fromLog{})
}

// report notes how a question ended; random in [0, 1) spreads the pauses.
func (s *sources) report(now units.Instant, from source, err error, random float64) {
	if s.state == nil {
		s.state = map[source]backoff{}
	}
	if err == nil {
		delete(s.state, from)
		return
	}
	first, longest := s.limits(from, err)
	b := s.state[from]
	b.pause = min(max(2*b.pause, first), longest)
	b.until = now.Add(b.pause/2 + time.Duration(random*float64(b.pause/2)))
	s.state[from] = b
}

// limits returns the first and the longest pause after a failure. The pause for
// the log grows past readerBackoff only where readers are asked as well.
func (s *sources) limits(from source, err error) (first, longest time.Duration) {
	switch from.(type) {
	case fromPeer:
		if errors.Is(err, errStale) {
			return firstBackoff, staleBackoff
		}
		return lostFirst, lostBackoff
	default:
		if s.reader {
			return firstBackoff, readerBackoff
		}
		return firstBackoff, followerBackoff
	}
}
