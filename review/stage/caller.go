package stage

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"
)

// Caller is a client that keeps its connection for many requests.
type Caller struct {
	vm   *VM
	conn net.Conn
	in   *bufio.Reader
}

// Caller returns a client at this VM.
func (vm *VM) Caller() *Caller { return &Caller{vm: vm} }

// Close closes the connection.
func (c *Caller) Close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// Send sends one request on the kept connection, or on a new one if there is none. Kept reports
// whether the connection had carried a request before.
func (c *Caller) Send(call Call) (a Answer, kept bool) {
	record := c.vm.stage.Record
	a = Answer{SentAt: record.Now()}
	kept = c.conn != nil
	defer func() {
		record.Line("caller at %s: %s %s %s, sent at %.3f: %d %s", c.vm.Name, call.ID, call.Method, call.Target, a.SentAt.Seconds(), a.Status, a.Signature)
	}()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.vm.outbound, time.Second)
		if err != nil {
			return a, kept
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(3 * time.Second))
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nTimeout-Ms: 2500\r\nCredential: %s\r\n\r\n", call.Method, call.Target, Host, call.ID, call.Key)
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.Close()
		return a, kept
	}
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		a.GaveUp = errors.Is(err, os.ErrDeadlineExceeded)
		c.Close()
		return a, kept
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		a.GaveUp = errors.Is(err, os.ErrDeadlineExceeded)
		c.Close()
		return a, kept
	}
	a.Status, a.Signature, a.Body = resp.StatusCode, resp.Header.Get("Response-Signature"), string(body)
	if resp.Close {
		c.Close()
	}
	return a, kept
}
