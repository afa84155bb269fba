package soak

import (
	"errors"
	"strings"
	"time"

	"balsamwharf.example/balsamwharf/internal/ledger"
	"balsamwharf.example/balsamwharf/pkg/verdict"
)

const (
	// piece and overlap cut the ledger of a long run, because the check of rates
	// grows with the square of the time.
	piece   = 4 * time.Minute
	overlap = 2 * time.Minute
)

func asVerdict(err error, into **verdict.Error) bool { return errors.As(err, into) }

// finish checks the ledger of the whole run.
func (s *Soak) finish() {
	lines := s.ledger.Lines()
	runs := s.runs()
	s.checkRuns(lines, runs)
	s.checkLimits(lines)
	for _, n := range s.nodes {
		if seen := n.standin.KeysSeen(); seen > 0 {
			s.breach("backend server %s saw %d keys", n.target, seen)
		}
	}
	s.report.Span = s.since()
	s.report.Requests = len(lines)
	for _, line := range lines {
		if line.OK() {
			s.report.Answered++
		}
	}
	s.report.Invariants = s.checks
}

// runs returns how often each request ran, over all backend servers.
func (s *Soak) runs() map[string]int {
	runs := map[string]int{}
	for _, n := range s.nodes {
		for _, name := range n.standin.Names() {
			runs[name] += n.standin.Runs(name)
		}
	}
	return runs
}

// checkRuns checks that no POST ran twice and that every refusal as unrun is true.
// The attempts under one Idempotency-Key count as one request.
func (s *Soak) checkRuns(lines []ledger.Line, runs map[string]int) {
	allUnrun := map[string]bool{}
	idempotent := map[string]bool{}
	for _, line := range lines {
		name, _, _ := strings.Cut(line.Request, "/")
		seen, ok := allUnrun[name]
		allUnrun[name] = (seen || !ok) && line.Verdict == verdict.Unrun
		idempotent[name] = line.Idempotent
		if line.Wrong {
			s.breach("%v", ledger.Crossed{Request: line.Request})
		}
	}
	for name, n := range runs {
		if post, ok := idempotent[name]; ok && !post && n > 1 {
			s.breach("%v", ledger.Twice{Request: name, Runs: n})
		}
		if allUnrun[name] && n > 0 {
			s.breach("%v (idempotent: %t)", ledger.RanUnrun{Request: name}, idempotent[name])
		}
	}
}

// checkLimits checks the rates in pieces of the run.
func (s *Soak) checkLimits(lines []ledger.Line) {
	for from := time.Duration(0); from < s.since(); from += piece - overlap {
		var part ledger.Ledger
		for _, line := range lines {
			if line.Sent >= from && line.Sent < from+piece {
				line.Sent -= from
				line.Done -= from
				line.Wrong = false
				part.Add(line)
			}
		}
		for _, b := range part.Breaches(limits, nil) {
			s.breach("in the piece from %s: %v", from, b)
		}
	}
}
