package dial

import (
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/units"
)

// idleLimit is how long a connection without exchanges is kept open.
const idleLimit = 30 * time.Second

// link is one connection to one incarnation of a daemon. A retired link accepts no
// new exchanges and is closed when its last one ends.
type link struct {
	conn        *quic.Conn
	incarnation ids.Incarnation

	mu         sync.Mutex
	active     int           // exchanges in progress
	usedAt     units.Instant // when the last exchange began or ended
	answeredAt units.Instant // when the last reply was read
	retired    bool
}

// begin counts a new exchange. It returns false if the link is retired or its
// connection is closed.
func (l *link) begin(now units.Instant) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.retired || l.conn.Context().Err() != nil {
		return false
	}
	l.active++
	l.usedAt = now
	return true
}

// end counts an exchange as finished.
func (l *link) end(now units.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active--
	l.usedAt = now
	l.closeIfDone()
}

// recordAnswer records that the other daemon sent a reply.
func (l *link) recordAnswer(now units.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answeredAt = now
}

// retireIfUnanswered is called after an exchange timed out. It retires the link if no
// reply at all was received since that exchange started: QUIC itself would notice a
// lost daemon only after the idle timeout.
func (l *link) retireIfUnanswered(startedAt units.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.answeredAt <= startedAt {
		l.retired = true
	}
}

// retire stops new exchanges and closes the link after its last one.
func (l *link) retire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retired = true
	l.closeIfDone()
}

// idle reports whether the link has had no exchange for idleLimit.
func (l *link) idle(now units.Instant) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.active == 0 && now.Sub(l.usedAt) >= idleLimit
}

// closeIfDone closes a retired link that has no exchanges. The caller holds mu.
func (l *link) closeIfDone() {
	if l.retired && l.active == 0 {
		_ = l.conn.CloseWithError(0, "")
	}
}
