package operators

import (
	"net/http"
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/keypair"
	"balsamwharf.example/balsamwharf/internal/member"
	"balsamwharf.example/balsamwharf/internal/replay"
	"balsamwharf.example/balsamwharf/internal/settings"
	"balsamwharf.example/balsamwharf/internal/share"
	"balsamwharf.example/balsamwharf/pkg/api"
)

// status serves GET /v1/status.
func (o *Server) status(*http.Request) (any, error) {
	roster := o.lease.Roster()
	identity := o.Common.Settings.Identity
	return api.Status{
		Daemon:    string(identity.Daemon),
		Centre:    string(identity.Centre),
		Region:    string(identity.Region),
		Offset:    uint64(o.offset()),
		Newest:    uint64(o.force.Newest()),
		Confirmed: o.lease.Confirmed(),
		Roster:    len(roster.Entries),
		Witnesses: len(roster.Witnesses()),
		Known:     len(o.directory.Reachable()),
		Lost:      len(o.directory.Unreachable()),
		Broken:    o.Common.Invariant.Broken(),
		Checks:    o.Common.Invariant.Checks(),
		Expires:   formatExpiry(keypair.Expiry(o.Certs.Own())),
		Public:    formatExpiry(o.renew.Expires()),
	}, nil
}

// offset returns the offset of the newest record that this daemon has applied.
func (o *Server) offset() ids.Offset {
	var at ids.Offset
	o.tail.View(func(s *replay.State) { at = s.Offset() })
	return at
}

// formatExpiry formats the expiry time of a certificate in RFC 3339, in UTC; it returns
// an empty string if there is no certificate.
func formatExpiry(end time.Time, ok bool) string {
	if !ok {
		return ""
	}
	return end.UTC().Format(time.RFC3339)
}

// targets serves GET /v1/targets: the known targets, of one service if the query names
// it.
func (o *Server) targets(r *http.Request) (any, error) {
	service := ids.Service(r.URL.Query().Get("service"))
	list := []api.Target{}
	for _, m := range o.directory.Members() {
		for _, t := range m.Targets {
			if service == "" || t.Service == service {
				list = append(list, targetFrom(m, t, o.directory.IsUnreachable(m.Daemon)))
			}
		}
	}
	return list, nil
}

func targetFrom(m member.Member, t member.Target, unreachable bool) api.Target {
	state := "serving"
	switch {
	case unreachable:
		state = "lost"
	case m.Leaving || m.Gone || t.Leaving:
		state = "leaving"
	case t.Ejected:
		state = "ejected"
	}
	return api.Target{
		Target: string(t.ID), Service: string(t.Service), Daemon: string(m.Daemon),
		Centre: string(m.Centre), Slots: int(t.Slots), State: state,
	}
}

// accounts serves GET /v1/accounts: the client accounts that the credential covers, with
// their limits, numbers of keys and quota leaders.
func (o *Server) accounts(_ *http.Request, s scope) (any, error) {
	list := []api.Account{}
	limits := map[string]settings.Account{}
	o.tail.View(func(state *replay.State) {
		keys := map[ids.Account]int{}
		for _, path := range state.Paths() {
			e, _ := state.Get(path)
			team := settings.TeamOf(path)
			switch v := e.Section.(type) {
			case settings.Key:
				keys[ids.AccountOf(team, v.Account)]++
			case settings.Account:
				if s.covers(path) {
					id := ids.AccountOf(team, settings.NameOf(path))
					limits[string(id)] = v
					list = append(list, accountFrom(id, v))
				}
			}
		}
		for i := range list {
			list[i].Keys = keys[ids.Account(list[i].Account)]
		}
	})
	o.addLeaders(list, limits)
	return list, nil
}

// maxLeaderAccounts is the largest number of accounts for which the quota leaders are
// computed, since the time for each grows with the size of the fleet.
const maxLeaderAccounts = 200

// addLeaders fills in the quota leaders of each account; the field on the wire is
// called holders. It does nothing for more than maxLeaderAccounts accounts.
func (o *Server) addLeaders(list []api.Account, limits map[string]settings.Account) {
	if len(list) > maxLeaderAccounts {
		return
	}
	r := o.lease.Roster()
	for i := range list {
		id := list[i].Account
		for _, d := range share.Of(ids.Account(id), limits[id], r).Leaders {
			list[i].Holders = append(list[i].Holders, string(d))
		}
	}
}

func accountFrom(id ids.Account, a settings.Account) api.Account {
	return api.Account{Account: string(id), Rate: float64(a.Rate), Burst: a.Burst, Weight: int(a.Weight)}
}
