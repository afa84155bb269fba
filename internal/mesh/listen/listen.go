// Package listen accepts connections until their listener is closed.
//
// # Usage
//
//	go listen.Loop(ctx, c, listener, func(conn net.Conn) { go serve(conn) })
package listen

import (
	"context"
	"errors"
	"net"
	"time"

	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/event"
)

// acceptPause is the pause after a failed accept, for example when file descriptors run out.
const acceptPause = 50 * time.Millisecond

// Loop calls serve with every accepted connection. serve must not block until the connection
// ends. Loop returns when the listener is closed or, after a failed accept, the context ends.
func Loop(ctx context.Context, c *common.Common, l net.Listener, serve func(net.Conn)) {
	for {
		conn, err := l.Accept()
		switch {
		case err == nil:
			serve(conn)
		case errors.Is(err, net.ErrClosed):
			return
		default:
			c.Warn(event.ListenFailed, common.Cause(err))
			if c.Clock.Sleep(ctx, acceptPause) != nil {
				return
			}
		}
	}
}
