// Package reset tells the reader of a TCP connection that the peer has reset it.
//
// # Usage
//
//	conn := &reset.Conn{Conn: tcpConn}
//	go conn.Write(request)
//	answer, err := io.ReadAll(conn) // err is not nil if the connection was reset
//
// The kernel reports a reset once, to the first call that asks. If that is a write, reads
// return io.EOF afterwards, as if the peer had closed the connection normally. A message
// that ends with its connection would then look complete.
package reset

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
)

// Conn is a connection whose reads return the error of a reset also after a write has
// returned it. Connections other than sockets report errors to both sides by themselves.
type Conn struct {
	net.Conn

	// writing is held during a write.
	writing sync.Mutex
	// failure is the failure of the socket that a write returned, guarded by writing.
	failure error
}

// Write implements io.Writer.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.failure == nil && isSocketFailure(err) {
		c.failure = err
	}
	return n, err
}

// isSocketFailure reports whether a write returned the failure of the socket. EPIPE doesn't
// count: a read has returned the failure before, or the reset came after the end of the
// peer's stream.
func isSocketFailure(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EPIPE
}

// Read implements io.Reader.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) || c.connected() {
		return n, err
	}
	// A write in progress on a socket that is not connected fails at once.
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.failure != nil {
		return n, c.failure
	}
	return n, err
}

// connected reports whether the socket is connected. It still is when the peer has ended
// its stream, but not after a reset.
func (c *Conn) connected() bool {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	var peerErr error
	err = raw.Control(func(fd uintptr) { _, peerErr = syscall.Getpeername(int(fd)) })
	return err == nil && peerErr == nil
}
