package message

import (
	"balsamwharf.example/balsamwharf/internal/digest"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/member"
)

// Announce tells news of members and may compare what both sides know.
type Announce struct {
	Members  []member.Member   `cbor:"1,keyasint,omitempty"`
	Suspects []member.Revision `cbor:"2,keyasint,omitempty"`
	// Digest is set when the sender wants to compare.
	Digest digest.Digest `cbor:"3,keyasint,omitempty"`
	// Requested names members whose description the sender wants.
	Requested []ids.Daemon `cbor:"4,keyasint,omitempty"`
}

// AnnounceReply answers an Announce.
type AnnounceReply struct {
	Members  []member.Member   `cbor:"1,keyasint,omitempty"`
	Suspects []member.Revision `cbor:"2,keyasint,omitempty"`
	// Centre is a data centre for which the digests differ, or empty; Ages lists
	// what the answering daemon knows of it.
	Centre    ids.Centre        `cbor:"3,keyasint,omitempty"`
	Revisions []member.Revision `cbor:"4,keyasint,omitempty"`
}

// Probe asks the receiver to try whether it reaches a third daemon.
type Probe struct {
	Daemon ids.Daemon `cbor:"1,keyasint"`
}

// Probed answers a Probe.
type Probed struct {
	Reached bool `cbor:"1,keyasint"`
}

func (Announce) isMessage()      {}
func (AnnounceReply) isMessage() {}
func (Probe) isMessage()         {}
func (Probed) isMessage()        {}
