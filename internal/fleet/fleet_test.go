package fleet_test

import (
	"bytes"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/bearer"
	"balsamwharf.example/balsamwharf/internal/fleet"
	"balsamwharf.example/balsamwharf/internal/ids"
)

const key = "school-key"

// shared is the fleet of the tests that change neither settings, nor faults, nor
// daemons; a fleet of its own costs each test some seconds.
var shared = sync.OnceValues(build)

func TestMain(m *testing.M) {
	code := m.Run()
	if started.Load() {
		if f, err := shared(); err == nil {
			f.Close()
		}
	}
	os.Exit(code)
}

// started is set when a test asked for the shared fleet.
var started atomic.Bool

// share returns the shared fleet.
func share(t *testing.T) *fleet.Fleet {
	t.Helper()
	started.Store(true)
	f, err := shared()
	must.NoError(t, err)
	return f
}

// start runs a fleet for one test.
func start(t *testing.T) *fleet.Fleet {
	t.Helper()
	f, err := build()
	must.NoError(t, err)
	t.Cleanup(f.Close)
	return f
}

// build runs two daemons in two data centres before one service.
func build() (*fleet.Fleet, error) {
	f, err := fleet.New(fleet.Plan{
		Centres:  []ids.Centre{"north", "south"},
		Services: []fleet.Service{{ID: "andrade/payments", Targets: 2, Slots: 4, Work: time.Millisecond}},
	})
	if err != nil {
		return nil, err
	}
	edits := []struct {
		path   ids.Path
		values map[string]string
	}{
		{path: "teams/root", values: map[string]string{"credential": string(bearer.HashOf(fleet.RootCredential))}},
		{path: "teams/andrade", values: map[string]string{"credential": string(bearer.HashOf(fleet.CredentialOf("andrade")))}},
		{path: "teams/andrade/services/payments", values: map[string]string{"deadline": "20s"}},
		{path: "teams/andrade/routes/deposits", values: map[string]string{"prefix": "/deposits", "service": "payments"}},
		{path: "teams/andrade/accounts/school", values: map[string]string{"rate": "1000", "burst": "1000"}},
		{path: "teams/andrade/keys/one", values: map[string]string{"hash": string(bearer.HashOf(key)), "account": "school"}},
	}
	for _, e := range edits {
		if err := f.Edit(e.path, e.values); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

func send(t *testing.T, method, url string, body io.Reader, header map[string]string) *http.Response {
	t.Helper()
	req, err := http.NewRequest(method, url, body)
	must.NoError(t, err)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	t.Cleanup(func() { resp.Body.Close() })
	return resp
}

func auth() map[string]string { return map[string]string{"Authorization": "Bearer " + key} }

// A request reaches a backend server through either daemon, without its key.
func TestRequestReachesTarget(t *testing.T) {
	f := share(t)
	seen := map[string]bool{}
	for range 20 {
		for _, d := range f.Daemons {
			resp := send(t, "GET", d.Callers+"/deposits/7", nil, auth())
			must.EqOp(t, http.StatusOK, resp.StatusCode)
			must.EqOp(t, "ran", resp.Header.Get("Verdict"))
			seen[resp.Header.Get("Target")] = true
		}
	}
	must.MapLen(t, 2, seen)
	for _, d := range f.Daemons {
		must.Zero(t, d.Standin.KeysSeen())
	}
}

func TestRefusals(t *testing.T) {
	f := share(t)
	base := f.Daemons[0].Callers
	cases := []struct {
		name   string
		path   string
		header map[string]string
		status int
	}{
		{name: "no key", path: "/deposits", status: http.StatusUnauthorized},
		{name: "wrong key", path: "/deposits", header: map[string]string{"Authorization": "Bearer nonsense"}, status: http.StatusUnauthorized},
		{name: "no route", path: "/elsewhere", header: auth(), status: http.StatusNotFound},
		{name: "bad timeout", path: "/deposits", header: map[string]string{"Timeout": "soon"}, status: http.StatusBadRequest},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			resp := send(t, "GET", base+c.path, nil, c.header)
			must.EqOp(t, c.status, resp.StatusCode)
			must.EqOp(t, "unrun", resp.Header.Get("Verdict"))
			must.EqOp(t, "application/problem+json", resp.Header.Get("Content-Type"))
		})
	}
}

// A large body passes two daemons unchanged, up and down.
func TestLargeBody(t *testing.T) {
	f := share(t)
	const size = 64 << 20
	body := make([]byte, size)
	_, err := rand.Read(body)
	must.NoError(t, err)
	for _, d := range f.Daemons {
		resp := send(t, "POST", d.Callers+"/deposits", bytes.NewReader(body), auth())
		must.EqOp(t, http.StatusOK, resp.StatusCode)
		sum := sha256.New()
		n, err := io.Copy(sum, resp.Body)
		must.NoError(t, err)
		must.EqOp(t, int64(size), n)
		want := sha256.Sum256(body)
		must.Eq(t, want[:], sum.Sum(nil))
	}
}

// The request target reaches the backend server byte for byte.
func TestEncodedSlashes(t *testing.T) {
	f := share(t)
	resp := send(t, "GET", f.Daemons[0].Callers+"/deposits/a%2Fb//c?x=%20y", nil, auth())
	must.EqOp(t, "/deposits/a%2Fb//c?x=%20y", resp.Header.Get("Request-Target"))
}

func TestOversizedHeader(t *testing.T) {
	f := share(t)
	resp := send(t, "GET", f.Daemons[0].Callers+"/deposits", nil, map[string]string{"Long": strings.Repeat("x", 1<<20)})
	must.EqOp(t, http.StatusRequestHeaderFieldsTooLarge, resp.StatusCode)
}
