// Package message defines the messages that daemons send to each other, as plain
// values. Package wire encodes them; fields without a tag are encoded under their Go
// names.
//
// # Usage
//
//	switch m := received.(type) {
//	case message.Request:
//	case message.Refusal:
//	}
//
// The interface Message is sealed. A new message needs a type in this package, a line
// in package wire and, unless it is a reply, a case in package dispatch.
package message

import (
	"time"

	"balsamwharf.example/balsamwharf/internal/call"
	"balsamwharf.example/balsamwharf/pkg/verdict"
)

// Message is a message or a reply between daemons.
type Message interface{ isMessage() }

// Request asks the receiver's gatekeeper to run a request. The request's body follows.
type Request struct{ Head call.Head }

// Reply is the head of the answer to a Request. The answer's body follows.
type Reply struct {
	Status int
	Header map[string][]string
	Length int64
	Load   call.Load
	// Trailer names the header fields that follow the body. If there are any, the body
	// is sent in chunks, followed by a message of type Trailer.
	Trailer []string
}

// Trailer follows the body of an answer whose Reply names trailer fields.
type Trailer struct{ Header map[string][]string }

// Refusal answers a Request that was not run or got no answer.
type Refusal struct {
	Verdict verdict.Verdict
	Status  int
	Reason  string
	// RetryAfter is zero if waiting does not help.
	RetryAfter time.Duration `cbor:"After"`
	Load       call.Load
}

func (Request) isMessage() {}
func (Reply) isMessage()   {}
func (Trailer) isMessage() {}
func (Refusal) isMessage() {}
