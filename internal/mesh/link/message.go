package link

import (
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/mesh/request"
)

// Message is what daemons of a platform say to each other over TCP.
type Message interface{ message() }

// Offer asks a gatekeeper to run a request. The request follows with Proceed, so that
// a refused or abandoned offer has certainly not run, and costs few bytes.
type Offer struct {
	Terms request.Terms `cbor:"1,keyasint"`
}

// Queued says that the gatekeeper has the offer and that it waits for a slot.
type Queued struct {
	Load request.Load `cbor:"1,keyasint"`
}

// Granted says that a slot is held for the offered request.
type Granted struct{}

// Declined says that the gatekeeper does not run the request.
type Declined struct {
	Reason Reason       `cbor:"1,keyasint"`
	Load   request.Load `cbor:"2,keyasint"`
}

// Proceed carries a granted request.
type Proceed struct {
	Order request.Outbound `cbor:"1,keyasint"`
}

// Answered carries the target's answer.
type Answered struct {
	Answer  request.Answer `cbor:"1,keyasint"`
	Load    request.Load   `cbor:"2,keyasint"`
	Version ids.Version    `cbor:"3,keyasint,omitempty"`
	// Failure is set when the answer tells of a failure of the target's own.
	Failure bool `cbor:"4,keyasint,omitempty"`
}

// Failed says that a granted request has no usable answer.
type Failed struct {
	// Unrun is set when the request has certainly not run.
	Unrun  bool         `cbor:"1,keyasint,omitempty"`
	Detail string       `cbor:"2,keyasint,omitempty"`
	Load   request.Load `cbor:"3,keyasint"`
	// Unsent is set when the request did not reach the target at all.
	Unsent bool `cbor:"4,keyasint,omitempty"`
}

// Borrow asks the holder of an account for leave to admit requests.
type Borrow struct {
	Account ids.Account `cbor:"1,keyasint"`
	Count   int         `cbor:"2,keyasint"`
	// Leader is set when the receiver is to ask another daemon, which the sender can't
	// reach. In a Check it is the sender.
	Leader ids.Address `cbor:"3,keyasint,omitempty"`
	// Check asks only whether the receiver stands in for the sender, which holds the account,
	// or can't reach it.
	Check bool `cbor:"4,keyasint,omitempty"`
	// StandbyHops is set by a holder that does not lend itself, as it ends or others stand in for
	// it: the receiver lends, also if it takes the sender for the holder. It counts the
	// daemons that passed the question on in this way.
	StandbyHops int `cbor:"5,keyasint,omitempty"`
}

// Lent answers a Borrow.
type Lent struct {
	Count int `cbor:"1,keyasint,omitempty"`
	// Known is false when the holder has no configuration with the account.
	Known bool `cbor:"2,keyasint,omitempty"`
	// Standby and Silent answer a Check: the receiver lends in the sender's place, or got no
	// answer from it lately by any way.
	Standby  bool `cbor:"3,keyasint,omitempty"`
	NoAnswer bool `cbor:"4,keyasint,omitempty"`
}

// Pull asks for the configuration and the fleet's records, by a daemon that can't
// read the store.
type Pull struct {
	Version ids.Version `cbor:"1,keyasint,omitempty"`
	// Record is the asker's own, which the store may not have yet.
	Record []byte `cbor:"2,keyasint,omitempty"`
}

// Pulled answers a Pull. Document is empty when the asker's configuration is as new.
type Pulled struct {
	Document []byte   `cbor:"1,keyasint,omitempty"`
	Fleet    [][]byte `cbor:"2,keyasint,omitempty"`
}

func (Offer) message()    {}
func (Queued) message()   {}
func (Granted) message()  {}
func (Declined) message() {}
func (Proceed) message()  {}
func (Answered) message() {}
func (Failed) message()   {}
func (Borrow) message()   {}
func (Lent) message()     {}
func (Pull) message()     {}
func (Pulled) message()   {}

// Reason is why a gatekeeper declined a request.
type Reason string

// The reasons.
const (
	// ReasonNoTarget: the gatekeeper has no target of the service.
	ReasonNoTarget Reason = "gone"
	// ReasonLeaving: the target or the daemon is leaving.
	ReasonLeaving Reason = "leaving"
	// ReasonBreakerOpen: the breaker is open.
	ReasonBreakerOpen Reason = "shut"
	// ReasonOverloaded: the request would wait too long.
	ReasonOverloaded Reason = "full"
	// ReasonRetryBudget: the gatekeeper has no repeat left.
	ReasonRetryBudget Reason = "spent"
)
