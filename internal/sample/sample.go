// Package sample describes how one request ended at a target, as far as the
// target is responsible for it.
//
// # Usage
//
//	switch s := s.(type) {
//	case sample.Good:
//		learn(s.Took)
//	case sample.Errored, sample.Cut, sample.Hung, sample.Unreached:
//	}
//
// The interface is sealed. Time that a request spent in the gatekeeper's own queue
// is never part of a sample.
package sample

import "time"

// Sample is the outcome of one request at a target.
type Sample interface{ isSample() }

// Good is an answer that the target is not to blame for: any status below 500.
type Good struct {
	// Took is the time from the hand-off of the whole request to the head of the
	// answer, or zero when it says nothing about the target.
	Took time.Duration
}

// ServerError is an answer with a status of 500 or more.
type ServerError struct{}

// Truncated is an answer or a connection that ended early.
type Truncated struct{}

// Hung is a request that has been in flight far longer than at the siblings. One
// request can count more than once while it stays unanswered.
type Hung struct{}

// ConnectFailed is a connection that could not be opened.
type ConnectFailed struct{}

// TimedOut is a request that ran into its deadline. It says that the target would have
// taken longer than Waited, which may be little.
type TimedOut struct{ Waited time.Duration }

// Cancelled is a request that the caller gave up. It says nothing about the target.
type Cancelled struct{}

func (Good) isSample()          {}
func (ServerError) isSample()   {}
func (Truncated) isSample()     {}
func (Hung) isSample()          {}
func (ConnectFailed) isSample() {}
func (TimedOut) isSample()      {}
func (Cancelled) isSample()     {}
