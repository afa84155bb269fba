package processes_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// testTimeout limits the duration of a test and all its waits.
const testTimeout = 90 * time.Second

// build builds all commands and returns the directory of the binaries.
func build(ctx context.Context, t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	out, err := exec.CommandContext(ctx, "go", "build", "-o", dir+"/", "balsamwharf.example/balsamwharf/cmd/...").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	return dir
}

// process is a running command whose combined output is collected line by line.
type process struct {
	t    *testing.T
	cmd  *exec.Cmd
	done chan struct{}
	err  error

	mu    sync.Mutex
	lines []string
	// appended is closed and replaced with every new line.
	appended chan struct{}
}

// start starts a command, which is killed when the test ends.
func start(ctx context.Context, t *testing.T, name string, args ...string) *process {
	t.Helper()
	p := &process{t: t, cmd: exec.CommandContext(ctx, name, args...), done: make(chan struct{}), appended: make(chan struct{})}
	reader, writer, err := os.Pipe()
	must.NoError(t, err)
	p.cmd.Stdout, p.cmd.Stderr = writer, writer
	must.NoError(t, p.cmd.Start())
	must.NoError(t, writer.Close())
	go p.read(reader)
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.done
		if t.Failed() {
			t.Logf("%s %v printed:\n%s", filepath.Base(name), args, p.output())
		}
	})
	return p
}

func (p *process) read(r io.ReadCloser) {
	defer r.Close()
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		p.mu.Lock()
		p.lines = append(p.lines, scanner.Text())
		close(p.appended)
		p.appended = make(chan struct{})
		p.mu.Unlock()
	}
	p.err = p.cmd.Wait()
	close(p.done)
}

func (p *process) output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	text := ""
	for _, line := range p.lines {
		text += line + "\n"
	}
	return text
}

// waitLine waits for the first line that matches and returns it. The test fails if the
// process exits before.
func (p *process) waitLine(ctx context.Context, match func(string) bool) string {
	p.t.Helper()
	for next := 0; ; {
		p.mu.Lock()
		lines, appended := p.lines, p.appended
		p.mu.Unlock()
		for ; next < len(lines); next++ {
			if match(lines[next]) {
				return lines[next]
			}
		}
		select {
		case <-appended:
		case <-p.done:
			p.t.Fatalf("%s exited before it printed the line: %v\n%s", p.cmd.Path, p.err, p.output())
		case <-ctx.Done():
			p.t.Fatalf("%s did not print the line before the test timeout", p.cmd.Path)
		}
	}
}

// waitFirstLine waits for the first line of the output and returns it.
func (p *process) waitFirstLine(ctx context.Context) string {
	p.t.Helper()
	return p.waitLine(ctx, func(string) bool { return true })
}

// logLine holds the fields that the tests read of a line of a daemon's log.
type logLine struct {
	Event     int    `json:"event"`
	Callers   string `json:"callers"`
	Peers     string `json:"peers"`
	Operators string `json:"operators"`
	Announce  string `json:"announce"`
}

// waitEvent waits for the first log line with the event number and returns it.
func (p *process) waitEvent(ctx context.Context, number int) logLine {
	p.t.Helper()
	var found logLine
	p.waitLine(ctx, func(line string) bool {
		var l logLine
		if json.Unmarshal([]byte(line), &l) != nil || l.Event != number {
			return false
		}
		found = l
		return true
	})
	return found
}

// waitExit waits until the process has exited and returns its exit code.
func (p *process) waitExit(ctx context.Context) int {
	p.t.Helper()
	select {
	case <-p.done:
	case <-ctx.Done():
		p.t.Fatalf("%s did not exit before the test timeout", p.cmd.Path)
	}
	return p.cmd.ProcessState.ExitCode()
}
