package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// lostMachines is how many daemons there are, each with one caller.
	lostMachines = 6
	// reportBytes is the length of a long answer, and readBytes what a slow caller reads of it in
	// readPause: 400 KB a second, without a longer pause.
	reportBytes = 7 << 20
	readBytes   = 20 << 10
	readPause   = 50 * time.Millisecond
	// receiveBuffer is the receive buffer of a slow caller's connection.
	receiveBuffer = 64 << 10
	// patience is how long callers wait, almost twice as long as a slow one needs for a whole answer.
	patience = 35 * time.Second
	// tolerated is how many requests may be lost before the rule is broken.
	tolerated = 3
)

// errFailed is the error of a request that was answered, but with a failure.
var errFailed = errors.New("the answer is a failure")

// playLost lets callers read long answers slowly, and checks that they get the whole of them.
func playLost(s *stage, trouble bool) (bool, error) {
	reports := route{prefix: "/reports/", kind: "unsafe", service: "reports", timeout: patience, aim: 20 * time.Second}
	if err := s.configure([]route{reports}); err != nil {
		return false, err
	}
	for range lostMachines {
		if _, err := s.add(reports.service); err != nil {
			return false, err
		}
	}
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var callers sync.WaitGroup
	lost := 0
	for _, m := range s.machines {
		callers.Go(func() {
			id, err := m.readReport(reports.prefix, trouble)
			runs := s.timesRun(id)
			if err == nil {
				return
			}
			s.record.note("caller at %s: %s ended without a whole answer: %v; it ran %d times", m.name, id, err, runs)
			if runs > 0 && !errors.Is(err, errFailed) {
				mu.Lock()
				lost++
				mu.Unlock()
			}
		})
	}
	callers.Wait()
	s.record.note("LOST: %d of %d requests were passed on and their connections closed before the whole answer", lost, lostMachines)
	return lost > tolerated, nil
}

// timesRun returns how often the request with the id began to run.
func (s *stage) timesRun(id string) int {
	runs := 0
	for _, m := range s.machines {
		runs += m.server.timesRun(id)
	}
	return runs
}

// readReport sends a short request and then one with a long answer on the same connection, and reads
// the answers, the long one slowly if slow is set. It returns the id of the second request.
func (m *machine) readReport(prefix string, slow bool) (string, error) {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
	}}
	conn, err := dialer.Dial("tcp", m.callers)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(patience)); err != nil {
		return "", err
	}
	// The reader buffers little, so that the caller reads no faster than it says.
	reader := bufio.NewReaderSize(conn, 4<<10)
	if _, _, err := m.exchange(conn, reader, prefix+"short", false); err != nil {
		return "", err
	}
	id, n, err := m.exchange(conn, reader, fmt.Sprintf("%slong?%d", prefix, reportBytes), slow)
	m.stage.record.note("caller at %s: read %d of %d bytes of the answer to %s", m.name, n, reportBytes, id)
	if err == nil && n != reportBytes {
		err = io.ErrUnexpectedEOF
	}
	return id, err
}

// exchange sends one request and returns its id and how many bytes of its answer were read.
func (m *machine) exchange(conn net.Conn, reader *bufio.Reader, target string, slow bool) (string, int64, error) {
	id := fmt.Sprintf("%016x", lastID.Add(1))
	m.stage.record.note("caller at %s: sends %s POST %s", m.name, id, target)
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nTimeout-Ms: %d\r\nCredential: %s\r\nContent-Length: 0\r\n\r\n",
		target, host, id, patience.Milliseconds(), key); err != nil {
		return id, 0, err
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return id, 0, err
	}
	defer resp.Body.Close()
	m.stage.record.note("caller at %s: %s is answered %d, %d bytes", m.name, id, resp.StatusCode, resp.ContentLength)
	if resp.StatusCode != http.StatusOK {
		return id, 0, errFailed
	}
	if !slow {
		n, err := io.Copy(io.Discard, resp.Body)
		return id, n, err
	}
	total := int64(0)
	for {
		n, err := io.CopyN(io.Discard, resp.Body, readBytes)
		total += n
		if err == io.EOF {
			return id, total, nil
		}
		if err != nil {
			return id, total, err
		}
		time.Sleep(readPause)
	}
}
