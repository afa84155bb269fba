package fleet_test

import (
	"bytes"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/bearer"
	"balsamwharf.example/balsamwharf/internal/fleet"
	"balsamwharf.example/balsamwharf/internal/ids"
)

const key = "school-key"

// start runs two daemons in two data centres before one service.
func start(t *testing.T) *fleet.Fleet {
	t.Helper()
	f, err := fleet.New(fleet.Plan{
		Centres:  []ids.Centre{"north", "south"},
		Services: []fleet.Service{{ID: "andrade/payments", Targets: 2, Slots: 4, Work: time.Millisecond}},
	})
	must.NoError(t, err)
	t.Cleanup(f.Close)
	must.NoError(t, f.Edit("teams/root", map[string]string{"credential": string(bearer.HashOf(fleet.RootCredential))}))
	must.NoError(t, f.Edit("teams/andrade", map[string]string{"credential": string(bearer.HashOf(fleet.CredentialOf("andrade")))}))
	must.NoError(t, f.Edit("teams/andrade/services/payments", map[string]string{"deadline": "20s"}))
	must.NoError(t, f.Edit("teams/andrade/routes/deposits", map[string]string{"prefix": "/deposits", "service": "payments"}))
	must.NoError(t, f.Edit("teams/andrade/accounts/school", map[string]string{"rate": "1000", "burst": "1000"}))
	must.NoError(t, f.Edit("teams/andrade/keys/one", map[string]string{"hash": string(bearer.HashOf(key)), "account": "school"}))
	return f
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
	f := start(t)
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
	f := start(t)
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
	f := start(t)
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
	f := start(t)
	resp := send(t, "GET", f.Daemons[0].Callers+"/deposits/a%2Fb//c?x=%20y", nil, auth())
	must.EqOp(t, "/deposits/a%2Fb//c?x=%20y", resp.Header.Get("Request-Target"))
}

func TestOversizedHeader(t *testing.T) {
	f := start(t)
	resp := send(t, "GET", f.Daemons[0].Callers+"/deposits", nil, map[string]string{"Long": strings.Repeat("x", 1<<20)})
	must.EqOp(t, http.StatusRequestHeaderFieldsTooLarge, resp.StatusCode)
}
