// Package sample describes the outcome of one request at a target, as far as the
// target is responsible for it.
//
// # Usage
//
//	switch s := s.(type) {
//	case sample.Good:
//		recordLatency(s.Took)
//	case sample.ServerError, sample.Truncated, sample.Hung, sample.ConnectFailed:
//	}
//
// The interface is sealed. Time that a request spent in the gatekeeper's own queue
// is never part of a sample.
package sample

import "time"

// Sample is the outcome of one request at a target.
type Sample interface{ isSample() }

// Good is a response with a status below 500.
type Good struct {
	// Took is the time from when the target had the whole request to the head of
	// the response, or zero when there is no such time.
	Took time.Duration
}

// ServerError is a response with a status of 500 or more.
type ServerError struct{}

// Truncated is a response or a connection that ended early.
type Truncated struct{}

// Hung is a request that has been in flight far longer than requests at the siblings
// take. One request can count more than once while it is not answered.
type Hung struct{}

// ConnectFailed is a connection that could not be opened.
type ConnectFailed struct{}

// TimedOut is a request that reached its deadline before the response. The target
// would have taken longer than Waited, which may be short.
type TimedOut struct{ Waited time.Duration }

// Cancelled is a request that the caller cancelled. It is no evidence about the target.
type Cancelled struct{}

func (Good) isSample()          {}
func (ServerError) isSample()   {}
func (Truncated) isSample()     {}
func (Hung) isSample()          {}
func (ConnectFailed) isSample() {}
func (TimedOut) isSample()      {}
func (Cancelled) isSample()     {}
