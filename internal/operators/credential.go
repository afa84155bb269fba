package operators

import (
	"net/http"
	"strings"

	"go.uber.org/zap"

	"balsamwharf.example/balsamwharf/internal/bearer"
	"balsamwharf.example/balsamwharf/internal/event"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/replay"
	"balsamwharf.example/balsamwharf/internal/settings"
)

// scope is the part of the settings that a credential gives access to.
type scope struct {
	hash ids.Hash
	team ids.Team
	// bootstrap is set while there is no root credential: the first caller may set
	// it, so any credential is accepted.
	bootstrap bool
}

// covers reports whether the credential may read the path.
func (s scope) covers(path ids.Path) bool {
	return s.team == replay.RootTeam || settings.TeamOf(path) == s.team
}

// credentialCall wraps a call that needs a credential and passes the scope of the
// credential to it.
func (o *Server) credentialCall(call func(*http.Request, scope) (any, error)) http.HandlerFunc {
	return publicCall(func(r *http.Request) (any, error) {
		s, err := o.scopeOf(r)
		if err != nil {
			return nil, err
		}
		return call(r, s)
	})
}

// credentialHandler wraps an HTTP handler, such as that of a profile, that any valid
// credential gives access to.
func (o *Server) credentialHandler(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if _, err := o.scopeOf(r); err != nil {
			writeProblem(w, err)
			return
		}
		serve(w, r)
	}
}

// scopeOf returns the scope of the bearer credential in the request. It logs calls
// without a valid credential and returns an httpError with status 401 or 403.
func (o *Server) scopeOf(r *http.Request) (scope, error) {
	secret, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || secret == "" {
		o.Common.Warn(event.CredentialRefused, zap.String("from", r.RemoteAddr))
		return scope{}, &httpError{http.StatusUnauthorized, "a credential is needed: pass --credential or set BALSAM_CREDENTIAL"}
	}
	s := scope{hash: bearer.HashOf(secret)}
	found := false
	o.tail.View(func(state *replay.State) { s.team, s.bootstrap, found = teamOfCredential(state, s.hash) })
	if !found {
		o.Common.Warn(event.CredentialRefused, zap.String("from", r.RemoteAddr))
		return scope{}, &httpError{http.StatusForbidden, "the credential is not that of any team"}
	}
	return s, nil
}

// teamOfCredential returns the team whose credential has the hash, whether there is
// no root credential yet, and whether a team was found. Without a root credential
// every hash belongs to the root team.
func teamOfCredential(state *replay.State, hash ids.Hash) (ids.Team, bool, bool) {
	if _, ok := state.Team(replay.RootTeam); !ok {
		return replay.RootTeam, true, true
	}
	return state.TeamByCredential(hash)
}
