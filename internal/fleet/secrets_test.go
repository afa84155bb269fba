package fleet_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/shoenig/test/must"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"balsamwharf.example/balsamwharf/internal/bearer"
	"balsamwharf.example/balsamwharf/internal/certs"
	"balsamwharf.example/balsamwharf/internal/event"
	"balsamwharf.example/balsamwharf/internal/fleet"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/standin"
)

const (
	wrongKey        = "key-that-is-wrong"
	wrongCredential = "credential-that-is-wrong"
	foreignTeam     = "credential-of-other"
)

// page is a call to a daemon whose answer must hold no secret.
type page struct {
	method, path, credential, body string
	status                         int
}

// Neither a log at debug level nor any answer of a daemon holds a key or a
// credential, whatever goes wrong; the refusals are logged by number.
func TestSecretsStayHidden(t *testing.T) {
	core, logs := observer.New(zap.DebugLevel)
	f, err := fleet.New(fleet.Plan{
		Centres:  []ids.Centre{"north", "south"},
		Services: []fleet.Service{{ID: "andrade/payments", Targets: 2, Slots: 4, Work: time.Millisecond}},
		Logger:   zap.New(core),
	})
	must.NoError(t, err)
	closed := false
	t.Cleanup(func() {
		if !closed {
			f.Close()
		}
	})
	andrade := fleet.CredentialOf("andrade")
	must.NoError(t, f.Edit("teams/root", map[string]string{"credential": string(bearer.HashOf(fleet.RootCredential))}))
	must.NoError(t, f.Edit("teams/andrade", map[string]string{"credential": string(bearer.HashOf(andrade))}))
	must.NoError(t, f.Edit("teams/other", map[string]string{"credential": string(bearer.HashOf(foreignTeam))}))
	must.NoError(t, f.Edit("teams/andrade/services/payments", map[string]string{"deadline": "2s"}))
	must.NoError(t, f.Edit("teams/andrade/routes/deposits", map[string]string{"prefix": "/deposits", "service": "payments", "query": "token", "cookie": "token"}))
	must.NoError(t, f.Edit("teams/andrade/accounts/school", map[string]string{"rate": "1000", "burst": "1000"}))
	must.NoError(t, f.Edit("teams/andrade/keys/one", map[string]string{"hash": string(bearer.HashOf(key)), "account": "school"}))

	var seen strings.Builder
	for _, fault := range []standin.Fault{nil, standin.Errs{Share: 1}, standin.Cuts{}, standin.Refuses{}} {
		for _, d := range f.Daemons {
			d.Standin.Set(fault)
		}
		for _, d := range f.Daemons {
			callAll(t, d.Callers, &seen)
		}
	}
	for _, d := range f.Daemons {
		operate(t, d.Operators, &seen)
	}
	foreignPeer(t, string(f.Daemons[0].App.Settings.Listen.Peers))
	f.Close()
	closed = true

	for _, e := range []event.Event{event.KeyRefused, event.CredentialRefused, event.EditDenied, event.PeerRefused} {
		must.Positive(t, logs.FilterField(e.Field()).Len(), must.Sprintf("event %d", e))
	}
	for _, entry := range logs.All() {
		fmt.Fprintln(&seen, entry.Message, entry.ContextMap())
	}
	for _, secret := range []string{key, wrongKey, fleet.RootCredential, andrade, wrongCredential, foreignTeam} {
		must.StrNotContains(t, seen.String(), secret)
	}
}

// callAll sends requests with keys in every place where callers may put them.
func callAll(t *testing.T, base string, seen io.Writer) {
	t.Helper()
	for _, k := range []string{key, wrongKey} {
		for _, method := range []string{"GET", "POST"} {
			fetch(t, method, base+"/deposits/7", map[string]string{"Authorization": "Bearer " + k}, "", seen)
			fetch(t, method, base+"/deposits/7?token="+k, nil, "", seen)
			fetch(t, method, base+"/deposits/7", map[string]string{"Cookie": "token=" + k}, "", seen)
			fetch(t, method, base+"/nowhere?token="+k, map[string]string{"Authorization": "Bearer " + k}, "", seen)
		}
	}
}

// operate makes operators' calls that are served, refused and denied.
func operate(t *testing.T, base string, seen io.Writer) {
	t.Helper()
	andrade := fleet.CredentialOf("andrade")
	edit := `{"id":"%s","path":"teams/andrade/accounts/other","values":{"rate":"1"}}`
	pages := []page{
		{method: "GET", path: "/metrics", status: http.StatusOK},
		{method: "GET", path: "/v1/status", status: http.StatusOK},
		{method: "GET", path: "/v1/burn", status: http.StatusOK},
		{method: "GET", path: "/v1/targets", status: http.StatusOK},
		{method: "GET", path: "/v1/sections", credential: andrade, status: http.StatusOK},
		{method: "GET", path: "/v1/history", credential: fleet.RootCredential, status: http.StatusOK},
		{method: "GET", path: "/v1/sections", status: http.StatusUnauthorized},
		{method: "GET", path: "/v1/sections", credential: wrongCredential, status: http.StatusForbidden},
		{method: "POST", path: "/v1/edits", credential: foreignTeam, body: fmt.Sprintf(edit, base), status: http.StatusOK},
		{method: "POST", path: "/v1/edits", credential: andrade, body: "{", status: http.StatusBadRequest},
	}
	for _, p := range pages {
		header := map[string]string{}
		if p.credential != "" {
			header["Authorization"] = "Bearer " + p.credential
		}
		must.EqOp(t, p.status, fetch(t, p.method, base+p.path, header, p.body, seen), must.Sprint(p.path))
	}
}

// fetch makes one call, keeps what the caller sees, and returns the status; it is 0
// when there was no answer.
func fetch(t *testing.T, method, url string, header map[string]string, body string, seen io.Writer) int {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	must.NoError(t, err)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	fmt.Fprintln(seen, resp.Header, string(text))
	return resp.StatusCode
}

// foreignPeer connects with a certificate of another authority and waits until the
// connection is refused.
func foreignPeer(t *testing.T, address string) {
	t.Helper()
	issuer, err := certs.NewIssuer(time.Now(), time.Hour)
	must.NoError(t, err)
	foreign, err := issuer.Issue("vm2", time.Now(), time.Hour)
	must.NoError(t, err)
	config := foreign.Client("vm1")
	config.InsecureSkipVerify = true
	conn, err := quic.DialAddr(t.Context(), address, config, nil)
	if err == nil {
		_, err = conn.AcceptStream(t.Context())
	}
	must.ErrorContains(t, err, "certificate")
}
