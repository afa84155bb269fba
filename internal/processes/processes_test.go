// Package processes_test runs a fleet as separate processes, as in an installation.
package processes_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/bearer"
	"balsamwharf.example/balsamwharf/internal/event"
	"balsamwharf.example/balsamwharf/internal/fleet"
)

// otherDir is the directory with the binaries of another build. In TestProcesses the second
// daemon and the operators' client run from it, in TestRollOver the client and at first all
// daemons.
var otherDir = flag.String("other", "", "absolute path of a directory with another build's programs")

const (
	root       = "root-credential"
	credential = "andrade-credential"
	// inFlight is the number of requests in flight at each of two daemons while one stops.
	inFlight = 8
)

// installation is a fleet of daemons, backend servers and a log service, each a process.
type installation struct {
	t        *testing.T
	ctx      context.Context
	bin      string
	otherBin string
	dir      string
	log      *process
	logURL   string
	daemons  []*daemon
	servers  []*process
}

// daemon is a balsamd process with the addresses that it logged at its start.
type daemon struct {
	*process
	name   string
	centre string
	logLine
}

// install starts a log service, three daemons and two backend servers. otherBuild reports
// whether the daemon with index n runs the other build.
func install(t *testing.T, otherBuild func(n int) bool) *installation {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	i := &installation{t: t, ctx: ctx, bin: build(ctx, t), dir: t.TempDir()}
	i.otherBin = i.bin
	if *otherDir != "" {
		i.otherBin = *otherDir
	}
	i.balsam("cert", "authority", "--dir", i.dir)
	i.log = start(ctx, t, i.command("balsamlog"))
	i.logURL = i.log.waitFirstLine(ctx)
	for n, centre := range []string{"north", "south", "west"} {
		bin := i.bin
		if otherBuild(n) {
			bin = i.otherBin
		}
		i.addDaemon(fmt.Sprintf("vm%d", n+1), centre, bin)
	}
	for n, d := range i.daemons[:2] {
		i.servers = append(i.servers, start(ctx, t, i.command("balsamstandin"),
			"--announce", "http://"+d.Announce, "--name", fmt.Sprintf("payments-%d", n+1),
			"--service", "andrade/payments", "--slots", "16"))
	}
	return i
}

func (i *installation) command(name string) string { return filepath.Join(i.bin, name) }

// anyPort lets the daemon listen on free ports, which it logs.
var anyPort = logLine{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Operators: "127.0.0.1:0", Announce: "127.0.0.1:0"}

// addDaemon issues a certificate for a new daemon and starts it from the binaries in bin.
// The first daemon is the seed of the others.
func (i *installation) addDaemon(name, centre, bin string) {
	i.t.Helper()
	i.balsam("cert", "issue", name, "--dir", i.dir)
	d := &daemon{name: name, centre: centre, logLine: anyPort}
	seeds := ""
	if len(i.daemons) > 0 {
		seeds = i.daemons[0].name + "@" + i.daemons[0].Peers
	}
	i.launch(d, bin, seeds)
	i.daemons = append(i.daemons, d)
}

// launch writes the daemon's INI file, starts its process and waits until it has started.
// It records the addresses that the daemon logs, so that a restart uses the same.
func (i *installation) launch(d *daemon, bin, seeds string) {
	i.t.Helper()
	ini := fmt.Sprintf(`[identity]
daemon = %[1]s
centre = %[2]s
[listen]
callers = %[6]s
peers = %[7]s
operators = %[8]s
announce = %[9]s
[trust]
authority = %[3]s/authority.crt
cert = %[3]s/%[1]s.crt
key = %[3]s/%[1]s.key
[platform]
log = %[4]s
[peers]
seeds = %[5]s
`, d.name, d.centre, i.dir, i.logURL, seeds, d.Callers, d.Peers, d.Operators, d.Announce)
	file := filepath.Join(i.dir, d.name+".ini")
	must.NoError(i.t, os.WriteFile(file, []byte(ini), 0o600))
	d.process = start(i.ctx, i.t, filepath.Join(bin, "balsamd"), "-c", file)
	d.logLine = d.waitEvent(i.ctx, int(event.DaemonStarted))
}

// balsam runs the operators' client, which must succeed, and returns its output.
func (i *installation) balsam(args ...string) string {
	i.t.Helper()
	out, err := i.tryBalsam(args...)
	must.NoError(i.t, err, must.Sprint(args, out))
	return out
}

// tryBalsam runs the operators' client and returns its output. The error contains what it
// printed to standard error.
func (i *installation) tryBalsam(args ...string) (string, error) {
	cmd := exec.CommandContext(i.ctx, filepath.Join(i.otherBin, "balsam"), args...)
	cmd.Env = append(os.Environ(), "BALSAM_TEAM=andrade", "BALSAM_CREDENTIAL="+credential)
	for _, d := range i.daemons {
		cmd.Env = append(cmd.Env, "BALSAM_DAEMONS=http://"+d.Operators)
	}
	out, err := cmd.Output()
	if err != nil {
		return string(out), fmt.Errorf("%w: %s", err, stderrOf(err))
	}
	return string(out), nil
}

func stderrOf(err error) []byte {
	if e, ok := err.(*exec.ExitError); ok {
		return e.Stderr
	}
	return nil
}

// setUp publishes the settings of a team, a service, a route and a client account, and
// returns a key of the account.
func (i *installation) setUp() string {
	i.t.Helper()
	must.NoError(i.t, fleet.WaitFor(i.ctx, func() bool {
		_, err := i.tryBalsam("--credential", root, "set", "teams/root", "credential="+string(bearer.HashOf(root)))
		return err == nil
	}))
	i.balsam("--credential", root, "set", "teams/andrade", "credential="+string(bearer.HashOf(credential)))
	i.balsam("set", "services/payments", "deadline=60s")
	i.balsam("set", "routes/deposits", "prefix=/deposits", "service=payments")
	i.balsam("set", "accounts/school", "rate=1000", "burst=1000")
	out := i.balsam("key", "grant", "school", "one", "--wait")
	key, _, _ := strings.Cut(out, "\n")
	return key
}

// get sends one request through a daemon and returns the status, or 0 without a response.
func (i *installation) get(d *daemon, key string) int {
	req, err := http.NewRequestWithContext(i.ctx, "GET", "http://"+d.Callers+"/deposits/1", nil)
	must.NoError(i.t, err)
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// waitStatus sends requests through the daemon until one gets the status.
func (i *installation) waitStatus(d *daemon, key string, status int) {
	i.t.Helper()
	last := 0
	err := fleet.WaitFor(i.ctx, func() bool {
		last = i.get(d, key)
		return last == status
	})
	must.NoError(i.t, err, must.Sprintf("last status through %s: %d", d.name, last))
}

// upload is a request in flight: its response has begun, its body has not ended.
type upload struct {
	body *io.PipeWriter
	resp *http.Response
}

const secondHalf = "second half"

// firstHalf is longer than the buffers on its path, so that the response begins before the
// body has ended.
var firstHalf = strings.Repeat("first half, ", 8000)

// beginUpload sends the first half of a body and reads the first byte of the response.
func (i *installation) beginUpload(d *daemon, key string) upload {
	i.t.Helper()
	reader, writer := io.Pipe()
	go func() { _, _ = io.WriteString(writer, firstHalf) }()
	req, err := http.NewRequestWithContext(i.ctx, "POST", "http://"+d.Callers+"/deposits/2", reader)
	must.NoError(i.t, err)
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	must.NoError(i.t, err)
	must.EqOp(i.t, http.StatusOK, resp.StatusCode)
	start := make([]byte, 1)
	_, err = io.ReadFull(resp.Body, start)
	must.NoError(i.t, err)
	must.EqOp(i.t, firstHalf[:1], string(start))
	return upload{body: writer, resp: resp}
}

// finish sends the second half and checks that the response is complete.
func (u upload) finish(t *testing.T) {
	t.Helper()
	_, err := io.WriteString(u.body, secondHalf)
	must.NoError(t, err)
	must.NoError(t, u.body.Close())
	rest, err := io.ReadAll(u.resp.Body)
	must.NoError(t, err)
	must.EqOp(t, firstHalf[1:]+secondHalf, string(rest))
	must.NoError(t, u.resp.Body.Close())
}

// TestProcesses checks that a fleet serves requests, refuses a withdrawn key at every
// daemon, continues after a daemon is killed, and completes the requests in flight when a
// daemon is stopped.
func TestProcesses(t *testing.T) {
	i := install(t, func(n int) bool { return n == 1 })
	key := i.setUp()
	first, second, third := i.daemons[0], i.daemons[1], i.daemons[2]
	for _, d := range i.daemons {
		i.waitStatus(d, key, http.StatusOK)
	}

	secondKey, _, _ := strings.Cut(i.balsam("key", "grant", "school", "two", "--wait"), "\n")
	i.waitStatus(first, secondKey, http.StatusOK)
	i.balsam("key", "withdraw", "two", "--wait")
	for _, d := range i.daemons {
		must.EqOp(t, http.StatusUnauthorized, i.get(d, secondKey))
		must.EqOp(t, http.StatusOK, i.get(d, key))
	}

	var uploads []upload
	for range inFlight {
		uploads = append(uploads, i.beginUpload(first, key), i.beginUpload(second, key))
	}
	must.NoError(t, third.cmd.Process.Signal(syscall.SIGKILL))
	third.waitExit(i.ctx)
	i.waitStatus(first, key, http.StatusOK)
	i.waitStatus(second, key, http.StatusOK)

	must.NoError(t, second.cmd.Process.Signal(syscall.SIGTERM))
	second.waitEvent(i.ctx, int(event.DaemonStopping))
	for _, u := range uploads {
		u.finish(t)
	}
	must.Zero(t, second.waitExit(i.ctx))
	i.waitStatus(first, key, http.StatusOK)

	for _, p := range []*process{i.servers[0], first.process, i.log} {
		must.NoError(t, p.cmd.Process.Signal(syscall.SIGTERM))
		must.Zero(t, p.waitExit(i.ctx))
	}
	// The daemon of this backend server has stopped, so the server can't drain there and its
	// exit code is not checked.
	must.NoError(t, i.servers[1].cmd.Process.Signal(syscall.SIGTERM))
	i.servers[1].waitExit(i.ctx)
}

// TestRollOver checks a rolling upgrade: daemons of this build replace those of another
// build one by one and serve with the settings that the others wrote to the log. Without
// -other both builds are this one.
func TestRollOver(t *testing.T) {
	i := install(t, func(int) bool { return true })
	key := i.setUp()
	for _, d := range i.daemons {
		i.waitStatus(d, key, http.StatusOK)
	}
	withdrawn, _, _ := strings.Cut(i.balsam("key", "grant", "school", "two", "--wait"), "\n")
	i.balsam("key", "withdraw", "two", "--wait")
	for n, d := range i.daemons {
		must.NoError(t, d.cmd.Process.Signal(syscall.SIGTERM))
		must.Zero(t, d.waitExit(i.ctx))
		seed := i.daemons[(n+1)%len(i.daemons)]
		i.launch(d, i.bin, seed.name+"@"+seed.Peers)
		for _, each := range i.daemons {
			i.waitStatus(each, key, http.StatusOK)
			must.EqOp(t, http.StatusUnauthorized, i.get(each, withdrawn))
		}
	}
	thirdKey, _, _ := strings.Cut(i.balsam("key", "grant", "school", "three", "--wait"), "\n")
	for _, d := range i.daemons {
		i.waitStatus(d, thirdKey, http.StatusOK)
	}
}
