package dial

import (
	"context"
	"errors"
	"sync"

	"github.com/joomcode/errorx"
	"github.com/quic-go/quic-go"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/message"
	"balsamwharf.example/balsamwharf/internal/timer"
	"balsamwharf.example/balsamwharf/internal/units"
	"balsamwharf.example/balsamwharf/internal/wire"
)

// exchange is one stream to another daemon, which carries a message and its reply.
// Both directions are aborted when the context ends.
type exchange struct {
	*quic.Stream
	link      *link
	clock     *timer.Timer
	startedAt units.Instant
	stopAbort func() bool
	once      sync.Once
}

// open begins an exchange with the daemon. The caller must call end.
func (d *Dialer) open(ctx context.Context, to ids.Daemon) (*exchange, error) {
	l, err := d.connect(ctx, to)
	if err != nil {
		return nil, err
	}
	x := &exchange{link: l, clock: d.Common.Clock, startedAt: d.Common.Clock.Now()}
	if x.Stream, err = l.conn.OpenStreamSync(ctx); err != nil {
		l.end(x.clock.Now())
		return nil, errorx.Decorate(err, "open stream to %s", to)
	}
	x.stopAbort = context.AfterFunc(ctx, func() { abort(x.Stream) })
	return x, nil
}

// abort resets both directions of a stream.
func abort(s *quic.Stream) {
	s.CancelRead(0)
	s.CancelWrite(0)
}

// readReply reads the reply. If the daemon does not answer before the deadline, its
// connection is retired, so that the next exchange dials a new one.
func (x *exchange) readReply(ctx context.Context) (message.Message, error) {
	m, err := wire.Read(x.Stream)
	if err == nil {
		x.link.recordAnswer(x.clock.Now())
		return m, nil
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		x.link.retireIfUnanswered(x.startedAt)
	}
	return nil, err
}

// end aborts the stream and counts the exchange as finished. Later calls do nothing.
func (x *exchange) end() {
	x.once.Do(func() {
		x.stopAbort()
		abort(x.Stream)
		x.link.end(x.clock.Now())
	})
}
