package stage

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"time"
)

// Upload sends one request with a body of the given length from this VM.
func (vm *VM) Upload(c Call, length int) Answer {
	a := Answer{SentAt: vm.stage.Record.Now()}
	defer func() {
		vm.stage.Record.Line("caller at %s: %s %s %s with %d bytes, sent at %.3f: %d %s", vm.Name, c.ID, c.Method, c.Target, length, a.SentAt.Seconds(), a.Status, a.Signature)
	}()
	conn, err := net.DialTimeout("tcp", vm.outbound, time.Second)
	if err != nil {
		return a
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nTimeout-Ms: 10000\r\nCredential: %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n", c.Method, c.Target, Host, c.ID, c.Key, length)
	if _, err := io.WriteString(conn, head); err != nil {
		return a
	}
	chunk := bytes.Repeat([]byte("0123456789abcdef"), 4<<10)
	for rest := length; rest > 0; rest -= len(chunk) {
		if _, err := conn.Write(chunk[:min(rest, len(chunk))]); err != nil {
			break
		}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return a
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return a
	}
	a.Status, a.Signature, a.Body = resp.StatusCode, resp.Header.Get("Response-Signature"), string(body)
	return a
}

// memory returns the bytes of private memory that the daemon has in use, or 0 if it does not run.
func (vm *VM) memory() int {
	vm.mu.Lock()
	cmd := vm.process
	vm.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(text) {
		fields := bytes.Fields(line)
		if len(fields) > 1 && string(fields[0]) == "RssAnon:" {
			kb, _ := strconv.Atoi(string(fields[1]))
			return kb << 10
		}
	}
	return 0
}

// LimitMemory kills the daemon when it uses more than the limit, as the platform does, and starts
// it again. It returns a function that ends this and reports how often that happened and the most
// that was in use.
func (vm *VM) LimitMemory(limit int) func() (int, int) {
	stop, done := make(chan struct{}), make(chan struct{})
	kills, most := 0, 0
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			case <-time.After(2 * time.Millisecond):
			}
			used := vm.memory()
			most = max(most, used)
			if used <= limit {
				continue
			}
			kills++
			vm.stage.Record.Line("%s: the daemon uses %d bytes, more than the limit of %d", vm.Name, used, limit)
			vm.Signal(syscall.SIGKILL)
			time.Sleep(300 * time.Millisecond)
			vm.Boot()
		}
	}()
	return func() (int, int) {
		close(stop)
		<-done
		return kills, most
	}
}
