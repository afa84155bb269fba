// Package message holds what daemons say to each other, as plain values. How
// they are encoded is up to package wire.
//
// # Usage
//
//	switch m := received.(type) {
//	case message.Request:
//	case message.Refusal:
//	}
//
// The interface is sealed: a new message is a type in this package, a line in
// package wire and a case in package dispatch.
package message

import (
	"time"

	"balsamwharf.example/balsamwharf/internal/call"
	"balsamwharf.example/balsamwharf/pkg/verdict"
)

// Message is one message between daemons.
type Message interface{ isMessage() }

// Request asks a gatekeeper to run a request; its body follows.
type Request struct{ Head call.Head }

// Reply begins the answer to a Request; the answer's body follows.
type Reply struct {
	Status int
	Header map[string][]string
	Length int64
	Load   call.Load
	// Trailer names the header fields that follow the body. Where there are any,
	// the body is sent in chunks, with a Trailer behind it.
	Trailer []string
}

// Trailer ends an answer whose Reply announced header fields after the body.
type Trailer struct{ Header map[string][]string }

// Refusal ends a Request without an answer.
type Refusal struct {
	Verdict    verdict.Verdict
	Status     int
	Reason     string
	RetryAfter time.Duration `cbor:"After"`
	Load       call.Load
}

func (Request) isMessage() {}
func (Reply) isMessage()   {}
func (Trailer) isMessage() {}
func (Refusal) isMessage() {}
