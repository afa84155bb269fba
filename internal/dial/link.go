package dial

import (
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/units"
)

// idleLimit is how long a connection without exchanges is kept.
const idleLimit = 30 * time.Second

// link is one connection to one incarnation of a daemon. A retired link takes no
// more exchanges and closes after its last one.
type link struct {
	conn        *quic.Conn
	incarnation ids.Incarnation

	mu         sync.Mutex
	active     int
	usedAt     units.Instant
	answeredAt units.Instant
	retired    bool
}

// begin notes an exchange; it is false when the link takes none.
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

// end notes the end of an exchange.
func (l *link) end(now units.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active--
	l.usedAt = now
	l.closeIfDone()
}

// answered notes that the other daemon sent something.
func (l *link) recordAnswer(now units.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answeredAt = now
}

// silent retires the link when nothing was heard since an exchange began that got
// no answer in time. QUIC itself would notice a lost daemon only after the idle
// timeout.
func (l *link) retireIfUnanswered(startedAt units.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.answeredAt <= startedAt {
		l.retired = true
	}
}

// retire ends the link after its last exchange.
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

// closeIfDone closes a retired link without exchanges. The lock is held.
func (l *link) closeIfDone() {
	if l.retired && l.active == 0 {
		_ = l.conn.CloseWithError(0, "")
	}
}
