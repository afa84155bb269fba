// Package outcome defines how a request that was sent to a target can end.
//
// # Usage
//
//	switch o := outcome.(type) {
//	case outcome.Answered:
//	case outcome.Unrun:
//	case outcome.Broken:
//	}
package outcome

import (
	"balsamwharf.example/balsamwharf/internal/mesh/request"
)

// Outcome is one of Answered, Unrun and Broken.
type Outcome interface{ outcome() }

// Answered is a complete answer to the request.
type Answered struct {
	Answer request.Answer
	// Failure is set when the answer reports a failure of the target itself.
	Failure bool
}

// Unrun is the outcome when the target did not run the request.
type Unrun struct {
	Detail string
	// Misdirected is set when the address belongs to another target by now.
	Misdirected bool
}

// Broken is the outcome when no usable answer came.
type Broken struct {
	Detail string
	// Sent is set when a byte of the request may have reached the target.
	Sent bool
}

func (Answered) outcome() {}
func (Unrun) outcome()    {}
func (Broken) outcome()   {}
