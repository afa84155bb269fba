package settings

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"balsamwharf.example/balsamwharf/internal/ids"
)

// Mesh holds the settings file of a daemon that runs on a platform, which provides the
// daemon's addresses and bounds. It has a field for each section.
type Mesh struct {
	Identity  Identity
	Sockets   Sockets
	Target    Target
	Store     Store
	Bounds    Bounds
	Requests  Requests
	Answers   Answers
	Admission Admission
	Logging   Logging
}

// Admission is the section [admission]: whether requests wait for room in a service that is short of it.
type Admission struct {
	Terms string `ini:"terms" default:"" unit:"list of words" doc:"The parts of the platform's terms that are in force, separated by commas."`
	When  string `ini:"when" default:"" unit:"word" doc:"The term with which requests that find no room wait in turn, for as long as that is of use. Without it they never do."`
}

// Enabled reports whether requests wait for room.
func (a Admission) Enabled() bool {
	return a.When != "" && slices.Contains(strings.Split(a.Terms, ","), a.When)
}

// Check implements checker. Words that this program doesn't know belong to other terms.
func (a Admission) Check() error { return nil }

// Sockets is the section [sockets]: where a daemon on a platform listens.
type Sockets struct {
	Callers  ids.Address `ini:"callers" default:"" unit:"IP:port" doc:"Address for callers and for the backend server's own calls."`
	Announce ids.Address `ini:"announce" default:"" unit:"IP:port" doc:"Address where the backend server announces itself."`
	Ready    ids.Address `ini:"ready" default:"" unit:"IP:port" doc:"Address of the readiness check."`
	Peers    ids.Address `ini:"peers" default:"" unit:"IP:port" doc:"Address for other daemons, TCP and UDP."`
	Outside  ids.Address `ini:"outside" default:"" unit:"IP:port" doc:"Address at which other daemons reach this one, if it is not that of peers."`
	Metrics  ids.Address `ini:"metrics" default:"" unit:"IP:port" doc:"Address of the metrics; empty serves none."`
}

// Check returns an error for the first invalid value, or nil.
func (s Sockets) Check() error {
	for _, a := range []ids.Address{s.Callers, s.Announce, s.Ready, s.Peers} {
		if err := checkAddress(a); err != nil {
			return err
		}
	}
	for _, a := range []ids.Address{s.Outside, s.Metrics} {
		if a == "" {
			continue
		}
		if err := checkAddress(a); err != nil {
			return err
		}
	}
	return nil
}

// AdvertisedAddress returns the advertised address, at which other daemons reach this one: Outside if
// it is set, otherwise Peers.
func (s Sockets) AdvertisedAddress() ids.Address {
	if s.Outside != "" {
		return s.Outside
	}
	return s.Peers
}

// Target is the section [target]: the backend server of this VM.
type Target struct {
	Address ids.Address `ini:"address" default:"" unit:"IP:port" doc:"Address of the backend server."`
	Service ids.Service `ini:"service" default:"" unit:"name" doc:"Service that the backend server belongs to."`
}

// Check returns an error for the first invalid value, or nil.
func (t Target) Check() error {
	if t.Service == "" {
		return errors.New("service is missing")
	}
	return checkAddress(t.Address)
}

// Store is the section [store]: the platform's store.
type Store struct {
	Address ids.Address   `ini:"address" default:"" unit:"IP:port" doc:"Address of the platform's store."`
	Timeout time.Duration `ini:"timeout" default:"1s" unit:"duration" doc:"Time for one call that does not wait for news."`
	Wait    time.Duration `ini:"wait" default:"30s" unit:"duration" doc:"How long a read waits for news at most. The daemon waits for 1s for configurations and 3s for registrations, so that it notices a silent store."`
}

// Check returns an error for the first invalid value, or nil.
func (s Store) Check() error {
	if s.Timeout <= 0 || s.Wait <= 0 {
		return errors.New("timeout and wait must be above 0")
	}
	return checkAddress(s.Address)
}

// Bounds is the section [bounds]: the limits that the platform's operators guarantee to
// callers.
type Bounds struct {
	Grace        time.Duration `ini:"grace" default:"6s" unit:"duration" doc:"Time from the request to stop until the process is killed."`
	BudgetRatio  float64       `ini:"retries" default:"0.2" unit:"share" doc:"Repeats that a service may get, as a share of its requests."`
	BudgetWindow time.Duration `ini:"retrywindow" default:"10s" unit:"duration" doc:"Window in which repeats are counted."`
	BudgetExtra  float64       `ini:"retryextra" default:"64" unit:"requests" doc:"Repeats in a window beyond the share, over all daemons."`
}

// Check returns an error for the first invalid value, or nil.
func (b Bounds) Check() error {
	if b.Grace <= 0 || b.BudgetWindow <= 0 {
		return errors.New("grace and retrywindow must be above 0")
	}
	if b.BudgetRatio < 0 || b.BudgetExtra < 0 {
		return fmt.Errorf("retries is %g and retryextra is %g, but neither may be below 0", b.BudgetRatio, b.BudgetExtra)
	}
	return nil
}

// Requests is the section [requests]: what the bodies of requests may take in memory, where they
// are held until they are answered.
type Requests struct {
	Total int `ini:"total" default:"75497472" unit:"bytes" doc:"Memory for the bodies of all requests at the same time. A twelfth of it is left to bodies up to 64 KiB. A request that does not fit is rejected with 503."`
}

// OrDefault returns the section, or the defaults if it is zero.
func (r Requests) OrDefault() Requests {
	if r == (Requests{}) {
		// The defaults are constants that decode.
		_ = decode(&r, nil)
	}
	return r
}

// Check returns an error for the first invalid value, or nil.
func (r Requests) Check() error {
	if r.Total < 1 {
		return fmt.Errorf("total is %d, but must be above 0", r.Total)
	}
	return nil
}

// Answers is the section [answers]: what the answers of the backend server may take in memory,
// where they are held until they are complete.
type Answers struct {
	One   int `ini:"one" default:"8388608" unit:"bytes" doc:"Longest body of an answer. A longer one counts as no answer: the caller gets 502, or the answer of another target."`
	Total int `ini:"total" default:"33554432" unit:"bytes" doc:"Memory for all answers that are held at the same time. A twelfth of it is left to bodies up to 64 KiB."`
}

// OrDefault returns the section, or the defaults if it is zero.
func (a Answers) OrDefault() Answers {
	if a == (Answers{}) {
		// The defaults are constants that decode.
		_ = decode(&a, nil)
	}
	return a
}

// Check returns an error for the first invalid value, or nil.
func (a Answers) Check() error {
	if a.One < 1 || a.Total < a.One {
		return fmt.Errorf("one is %d and total is %d, but one must be above 0 and total not below one", a.One, a.Total)
	}
	return nil
}

// LoadMesh parses and checks the settings file of a daemon on a platform. It returns
// an Error with the line for each invalid section, which reports the section's first fault.
func LoadMesh(file string, text []byte) (Mesh, error) {
	var m Mesh
	parsed, err := parseINI(file, text)
	if err != nil {
		return m, err
	}
	return m, loadSections(file, text, parsed, map[string]any{
		"identity":  &m.Identity,
		"sockets":   &m.Sockets,
		"target":    &m.Target,
		"store":     &m.Store,
		"bounds":    &m.Bounds,
		"requests":  &m.Requests,
		"answers":   &m.Answers,
		"admission": &m.Admission,
		"logging":   &m.Logging,
	})
}

// loadSections decodes each section of the file into the struct that sections holds under
// its name. A section without a struct is an error, returned at once; a struct without a
// section gets the defaults.
func loadSections(file string, text []byte, parsed *ini.File, sections map[string]any) error {
	lines := lineIndex(text)
	for _, s := range parsed.Sections() {
		if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
			continue
		}
		if _, ok := sections[s.Name()]; !ok {
			return &Error{File: file, Section: s.Name(), Line: lines[lineKey{section: s.Name()}], Reason: "no such section"}
		}
	}
	var errs []error
	for name, section := range sections {
		if err := decode(section, parsed.Section(name).KeysHash()); err != nil {
			errs = append(errs, locate(err, file, name, lines))
		}
	}
	return errors.Join(errs...)
}
