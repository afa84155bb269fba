package message

import (
	"balsamwharf.example/balsamwharf/internal/digest"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/member"
)

// Announce sends updates of members. It may also compare the states of both daemons.
type Announce struct {
	Members  []member.Member   `cbor:"1,keyasint,omitempty"`
	Suspects []member.Revision `cbor:"2,keyasint,omitempty"`
	// Digest summarizes the sender's state; it is set if the states are to be compared.
	Digest digest.Digest `cbor:"3,keyasint,omitempty"`
	// Requested names the members whose descriptions the sender requests.
	Requested []ids.Daemon `cbor:"4,keyasint,omitempty"`
}

// AnnounceReply answers an Announce.
type AnnounceReply struct {
	Members  []member.Member   `cbor:"1,keyasint,omitempty"`
	Suspects []member.Revision `cbor:"2,keyasint,omitempty"`
	// Centre is a data centre for which the digests differ, or empty. Revisions lists
	// the revisions of its members that the answering daemon has.
	Centre    ids.Centre        `cbor:"3,keyasint,omitempty"`
	Revisions []member.Revision `cbor:"4,keyasint,omitempty"`
}

// Probe asks the receiver to test whether it can reach a third daemon.
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
