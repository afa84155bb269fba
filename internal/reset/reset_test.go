package reset_test

import (
	"bytes"
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/reset"
)

// longBytes is more than the kernel buffers for a connection, so that a write of it blocks.
const longBytes = 16 << 20

// pair returns both ends of a TCP connection.
func pair(t *testing.T) (*reset.Conn, *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer listener.Close()
	near, err := net.Dial("tcp", listener.Addr().String())
	must.NoError(t, err)
	far, err := listener.Accept()
	must.NoError(t, err)
	t.Cleanup(func() {
		_ = near.Close()
		_ = far.Close()
	})
	return &reset.Conn{Conn: near}, far.(*net.TCPConn)
}

// startWrite begins a write that blocks until the peer reads, and returns its result.
func startWrite(c *reset.Conn) <-chan error {
	written := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, longBytes))
		written <- err
	}()
	return written
}

// send writes a message to the connection and waits until it has arrived.
func send(t *testing.T, far *net.TCPConn, c *reset.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(far, text)
	must.NoError(t, err)
	got := make([]byte, len(text))
	_, err = io.ReadFull(c, got)
	must.NoError(t, err)
	must.EqOp(t, text, string(got))
}

func abort(t *testing.T, c *net.TCPConn) {
	t.Helper()
	must.NoError(t, c.SetLinger(0))
	must.NoError(t, c.Close())
}

// A read after a write that failed with a reset fails as well.
func TestResetSeenByWrite(t *testing.T) {
	near, far := pair(t)
	written := startWrite(near)
	send(t, far, near, "part")
	abort(t, far)
	must.ErrorIs(t, <-written, syscall.ECONNRESET)
	for range 2 {
		n, err := near.Read(make([]byte, 1))
		must.EqOp(t, 0, n)
		must.ErrorIs(t, err, syscall.ECONNRESET)
	}
}

// A read that is in progress when the connection is reset fails, whichever call is told
// first.
func TestResetDuringRead(t *testing.T) {
	for range 50 {
		near, far := pair(t)
		written := startWrite(near)
		_, err := io.WriteString(far, "part")
		must.NoError(t, err)
		abort(t, far)
		got, err := io.ReadAll(near)
		must.ErrorIs(t, err, syscall.ECONNRESET, must.Sprintf("after %q", got))
		must.Error(t, <-written)
	}
}

// The end of the peer's stream is io.EOF, whether or not a write is in progress.
func TestEndOfStream(t *testing.T) {
	near, far := pair(t)
	written := startWrite(near)
	_, err := io.WriteString(far, "whole")
	must.NoError(t, err)
	must.NoError(t, far.CloseWrite())
	got, err := io.ReadAll(near)
	must.NoError(t, err)
	must.EqOp(t, "whole", string(got))
	must.EqOp(t, 0, len(written))
	_, err = io.Copy(io.Discard, io.LimitReader(far, longBytes))
	must.NoError(t, err)
	must.NoError(t, <-written)
}

// A peer that resets the connection after the end of its stream has sent all of it.
func TestResetAfterEndOfStream(t *testing.T) {
	near, far := pair(t)
	written := startWrite(near)
	_, err := io.WriteString(far, "whole")
	must.NoError(t, err)
	must.NoError(t, far.CloseWrite())
	abort(t, far)
	must.ErrorIs(t, <-written, syscall.EPIPE)
	got, err := io.ReadAll(near)
	must.NoError(t, err)
	must.EqOp(t, "whole", string(got))
}

// A connection that is closed here ends reads with its own error.
func TestClosed(t *testing.T) {
	near, _ := pair(t)
	written := startWrite(near)
	must.NoError(t, near.Close())
	_, err := near.Read(make([]byte, 1))
	must.ErrorIs(t, err, net.ErrClosed)
	must.ErrorIs(t, <-written, net.ErrClosed)
}

// A connection that is no socket is used as it is.
func TestPipe(t *testing.T) {
	inner, far := net.Pipe()
	near := &reset.Conn{Conn: inner}
	go func() {
		_, _ = io.WriteString(far, "whole")
		_ = far.Close()
	}()
	var got bytes.Buffer
	_, err := got.ReadFrom(near)
	must.NoError(t, err)
	must.EqOp(t, "whole", got.String())
}
