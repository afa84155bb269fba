package demo

import (
	"fmt"
	"time"

	"balsamwharf.example/balsamwharf/internal/bearer"
	"balsamwharf.example/balsamwharf/internal/fleet"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/settings"
	"balsamwharf.example/balsamwharf/internal/standin"
	"balsamwharf.example/balsamwharf/internal/units"
	"balsamwharf.example/balsamwharf/internal/workload"
)

// scene is one user's services, accounts and routes.
type scene struct {
	team     ids.Team
	plan     fleet.Plan
	routes   map[string]map[string]string
	accounts []account
	weak     ids.Service
}

// account is a client account and the share of its rate that its callers use.
type account struct {
	name string
	set  settings.Account
}

// usual is the share of its rate that an account uses on a quiet day.
const usual = 0.6

// surge is how many times its rate the surging account sends.
const surge = 10

// Times of a request at the stand-ins.
const (
	lookup  = 15 * time.Millisecond
	booking = 25 * time.Millisecond
)

func sceneOf(o Options) scene {
	if o.User == Padippura {
		return padippura()
	}
	return andrade()
}

func andrade() scene {
	s := scene{team: ids.Team(Andrade), weak: "andrade/payments"}
	s.plan.Centres = []ids.Centre{"quito-a", "quito-b", "quito-c"}
	s.plan.Services = []fleet.Service{
		{ID: "andrade/tracking", Targets: 6, Slots: 3, Work: lookup},
		{ID: "andrade/payments", Targets: 12, Slots: 3, Work: booking},
		{ID: "andrade/dispatch", Targets: 9, Slots: 3, Work: lookup},
	}
	s.routes = map[string]map[string]string{
		"tracking": {"prefix": "/tracking", "service": "tracking", "patience": "long"},
		"payments": {"prefix": "/payments", "service": "payments"},
		"dispatch": {"prefix": "/dispatch", "service": "dispatch", "patience": "short"},
	}
	s.accounts = accounts()
	return s
}

func padippura() scene {
	s := scene{team: ids.Team(Padippura), weak: "padippura/booking"}
	s.plan.Centres = []ids.Centre{"kochi-a", "kochi-b", "kochi-c", "kochi-d"}
	s.plan.Services = []fleet.Service{
		{ID: "padippura/timetables", Targets: 8, Slots: 4, Work: lookup},
		{ID: "padippura/booking", Targets: 8, Slots: 4, Work: booking},
		{ID: "padippura/calendar", Targets: 8, Slots: 4, Work: lookup},
	}
	s.routes = map[string]map[string]string{
		"timetables": {"prefix": "/timetables", "service": "timetables", "patience": "short"},
		"booking":    {"prefix": "/booking", "service": "booking"},
		"calendar":   {"prefix": "/calendar", "service": "calendar", "patience": "long"},
	}
	s.accounts = accounts()
	return s
}

// accounts are eight client accounts, two of them large.
func accounts() []account {
	var list []account
	for i, rate := range []units.Rate{120, 80, 30, 30, 20, 20, 10, 10} {
		set := settings.Account{Rate: rate, Burst: int(rate), Weight: 1}
		list = append(list, account{name: fmt.Sprintf("school%d", i+1), set: set})
	}
	return list
}

func (s scene) daemons() int {
	n := 0
	for _, svc := range s.plan.Services {
		n += svc.Targets
	}
	return n
}

// publish writes the scene's settings to the log.
func (s scene) publish(f *fleet.Fleet) error {
	sections := []struct {
		path   ids.Path
		values map[string]string
	}{
		{"teams/root", map[string]string{"credential": string(bearer.HashOf(fleet.RootCredential))}},
		{settings.PathOf(s.team, settings.KindTeam, ""), map[string]string{"credential": string(bearer.HashOf(fleet.CredentialOf(s.team)))}},
	}
	for _, sec := range sections {
		if err := f.Edit(sec.path, sec.values); err != nil {
			return err
		}
	}
	for _, svc := range s.plan.Services {
		name := string(svc.ID)[len(s.team)+1:]
		if err := f.Edit(settings.PathOf(s.team, settings.KindService, name), map[string]string{"floor": "60"}); err != nil {
			return err
		}
	}
	for name, values := range s.routes {
		if err := f.Edit(settings.PathOf(s.team, settings.KindRoute, name), values); err != nil {
			return err
		}
	}
	return s.publishAccounts(f)
}

func (s scene) publishAccounts(f *fleet.Fleet) error {
	for _, a := range s.accounts {
		values := map[string]string{"rate": fmt.Sprint(float64(a.set.Rate)), "burst": fmt.Sprint(a.set.Burst)}
		if err := f.Edit(settings.PathOf(s.team, settings.KindAccount, a.name), values); err != nil {
			return err
		}
		for _, name := range []string{a.name, spare(a.name)} {
			key := map[string]string{"hash": string(bearer.HashOf(keyOf(name))), "account": a.name}
			if err := f.Edit(settings.PathOf(s.team, settings.KindKey, name), key); err != nil {
				return err
			}
		}
	}
	return nil
}

// spare names the second key of an account.
func spare(account string) string { return account + "-spare" }

// keyOf returns the key with the given name.
func keyOf(name string) string { return "key-of-" + name }

// limits returns the settings of all accounts.
func (s scene) limits() map[ids.Account]settings.Account {
	limits := map[ids.Account]settings.Account{}
	for _, a := range s.accounts {
		limits[ids.AccountOf(s.team, a.name)] = a.set
	}
	return limits
}

// surging is the account that exceeds its rate.
func (s scene) surging() ids.Account { return ids.AccountOf(s.team, s.accounts[1].name) }

// withdrawing is the account whose spare key is withdrawn.
func (s scene) withdrawing() ids.Account { return ids.AccountOf(s.team, s.accounts[2].name) }

func (s scene) withdrawnKey() ids.Path {
	return settings.PathOf(s.team, settings.KindKey, spare(s.accounts[2].name))
}

// failing returns the daemon whose backend server fails.
func (s scene) failing(f *fleet.Fleet) *fleet.Daemon {
	for _, d := range f.Daemons {
		if d.Service == s.weak {
			return d
		}
	}
	return f.Daemons[0]
}

// fault returns the fault that the option names.
func (s scene) fault(name string) standin.Fault {
	switch name {
	case "errs":
		return standin.Errs{Share: 0.3}
	case "slow":
		return standin.Slow{Factor: 5}
	case "hangs":
		return standin.Hangs{}
	case "cuts":
		return standin.Cuts{}
	case "flaps":
		return standin.Flaps{Period: 10 * time.Second}
	case "refuses":
		return standin.Refuses{}
	default:
		return standin.None{}
	}
}

// sources are the accounts' usual requests, the surge and the withdrawn key's.
func (s scene) sources(length time.Duration) []workload.Source {
	var list []workload.Source
	at := func(share float64) time.Duration { return time.Duration(share * float64(length)) }
	for _, a := range s.accounts {
		for _, svc := range s.plan.Services {
			list = append(list, s.source(a, svc, usual/float64(len(s.plan.Services)), length))
		}
	}
	over := s.source(s.accounts[1], s.plan.Services[0], surge, length)
	over.From, over.To, over.Over = at(surgeAt), at(surgeEnd), true
	revoked := s.source(s.accounts[2], s.plan.Services[0], usual/4, length)
	revoked.Key, revoked.Withdrawn = keyOf(spare(s.accounts[2].name)), true
	return append(list, over, revoked)
}

// source sends a share of the account's rate to the service.
func (s scene) source(a account, svc fleet.Service, share float64, length time.Duration) workload.Source {
	posts := 0.0
	if svc.ID == s.weak {
		posts = 0.5
	}
	return workload.Source{
		Account: ids.AccountOf(s.team, a.name),
		Key:     keyOf(a.name),
		Service: svc.ID,
		Prefix:  "/" + string(svc.ID)[len(s.team)+1:],
		Rate:    units.Rate(share) * a.set.Rate,
		Posts:   posts,
		To:      length,
	}
}
