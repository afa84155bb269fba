package link

import (
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/mesh/evacuation"
	"balsamwharf.example/balsamwharf/internal/mesh/keyed"
	"balsamwharf.example/balsamwharf/internal/mesh/request"
	"balsamwharf.example/balsamwharf/internal/units"
)

// Message is implemented by all messages that daemons of a platform exchange over TCP.
type Message interface{ message() }

// Offer asks a gatekeeper for a slot to run a request. The request itself follows in
// Proceed, so that a request whose offer is declined or abandoned has certainly not run, and
// costs few bytes.
type Offer struct {
	Terms request.Terms `cbor:"1,keyasint"`
	// Body is the length of a body that is sent in parts.
	Body units.Bytes `cbor:"2,keyasint,omitempty"`
	// Parts is set by senders that take a long answer in parts.
	Parts bool `cbor:"3,keyasint,omitempty"`
}

// Queued reports that the gatekeeper received the offer and that it waits for a slot.
type Queued struct {
	Load request.Load `cbor:"1,keyasint"`
}

// Granted reports that a slot is reserved for the offered request.
type Granted struct {
	// Parts is set by gatekeepers that take a long body in parts.
	Parts bool `cbor:"1,keyasint,omitempty"`
}

// Declined reports that the gatekeeper does not run the request.
type Declined struct {
	Reason Reason       `cbor:"1,keyasint"`
	Load   request.Load `cbor:"2,keyasint"`
}

// Proceed carries a granted request.
type Proceed struct {
	Request request.Outbound `cbor:"1,keyasint"`
}

// Answered carries the answer of the target.
type Answered struct {
	Answer  request.Answer `cbor:"1,keyasint"`
	Load    request.Load   `cbor:"2,keyasint"`
	Version ids.Version    `cbor:"3,keyasint,omitempty"`
	// Failure is set when the answer reports a failure of the target itself.
	Failure bool `cbor:"4,keyasint,omitempty"`
}

// Failed reports that a granted request got no usable answer.
type Failed struct {
	// Unrun is set when the request has certainly not run.
	Unrun  bool         `cbor:"1,keyasint,omitempty"`
	Detail string       `cbor:"2,keyasint,omitempty"`
	Load   request.Load `cbor:"3,keyasint"`
	// Unsent is set when the request was not sent to the target.
	Unsent bool `cbor:"4,keyasint,omitempty"`
}

// Borrow asks the quota leader of an account for tokens, each of which admits one request.
type Borrow struct {
	Account ids.Account `cbor:"1,keyasint"`
	Count   int         `cbor:"2,keyasint"`
	// Leader is set when the receiver shall forward the message to this daemon, which the sender
	// can't reach. In a Check it is the sender.
	Leader ids.Address `cbor:"3,keyasint,omitempty"`
	// Check only asks whether the receiver is the standby of the sender, which is the quota leader
	// of the account, or can't reach the sender.
	Check bool `cbor:"4,keyasint,omitempty"`
	// StandbyHops is above zero when a quota leader sends the message that does not lend itself,
	// since it stops or has a standby: the receiver lends even if it regards the sender as the
	// leader. It counts the daemons that forwarded the message for this reason.
	StandbyHops int `cbor:"5,keyasint,omitempty"`
	// Spent is how many requests the sender has admitted by its fallback share of the account
	// since it started. It and From, the sender, are set until the leader has answered, since a
	// message or its answer may get lost.
	Spent int         `cbor:"6,keyasint,omitempty"`
	From  ids.Address `cbor:"7,keyasint,omitempty"`
}

// Lent answers a Borrow.
type Lent struct {
	// Count is the number of tokens lent.
	Count int `cbor:"1,keyasint,omitempty"`
	// Known is false when the receiver has no configuration with the account.
	Known bool `cbor:"2,keyasint,omitempty"`
	// Standby and NoAnswer answer a Check: the receiver lends in place of the sender, or recently
	// got no answer from it, neither directly nor through a neighbour.
	Standby  bool `cbor:"3,keyasint,omitempty"`
	NoAnswer bool `cbor:"4,keyasint,omitempty"`
}

// Pull asks for the configuration and the registrations of the fleet. It is sent by daemons
// that can't read the store or know of a newer configuration.
type Pull struct {
	Version ids.Version `cbor:"1,keyasint,omitempty"`
	// Record is the sender's own registration, which the store may not have yet.
	Record []byte `cbor:"2,keyasint,omitempty"`
	// Evacuations are what the sender knows of data centres that were ever evacuated.
	Evacuations []evacuation.State `cbor:"3,keyasint,omitempty"`
}

// Pulled answers a Pull. Document is empty unless it is newer than the sender's.
type Pulled struct {
	Document []byte   `cbor:"1,keyasint,omitempty"`
	Fleet    [][]byte `cbor:"2,keyasint,omitempty"`
	// Evacuations are what the receiver knows.
	Evacuations []evacuation.State `cbor:"3,keyasint,omitempty"`
}

// Fetch asks for the records of a topic of the store from an offset on. It is sent to a daemon
// that is known to have them.
type Fetch struct {
	Topic keyed.Topic `cbor:"1,keyasint"`
	From  ids.Offset  `cbor:"2,keyasint,omitempty"`
	// Era is that of the store in which From counts.
	Era ids.Era `cbor:"3,keyasint,omitempty"`
}

// Fetched answers a Fetch. Known is false if the daemon does not have the records, and Busy is
// set if it sends too many already.
type Fetched struct {
	Known   bool           `cbor:"1,keyasint,omitempty"`
	Records []keyed.Record `cbor:"2,keyasint,omitempty"`
	Busy    bool           `cbor:"3,keyasint,omitempty"`
}

// LongProceed carries a granted request whose body of the given length follows in Parts.
type LongProceed struct {
	Request request.Outbound `cbor:"1,keyasint"`
	Length  units.Bytes      `cbor:"2,keyasint"`
}

// LongAnswered carries the answer of the target. Its body of the given length follows in Parts.
type LongAnswered struct {
	Answered Answered    `cbor:"1,keyasint"`
	Length   units.Bytes `cbor:"2,keyasint"`
}

// Part is a piece of a body.
type Part struct {
	Bytes []byte `cbor:"1,keyasint"`
	// Last is set for the last piece.
	Last bool `cbor:"2,keyasint,omitempty"`
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
func (Fetch) message()    {}
func (Fetched) message()  {}

func (LongProceed) message()  {}
func (LongAnswered) message() {}
func (Part) message()         {}

// Reason is why a gatekeeper declined a request.
type Reason string

// The reasons.
const (
	// ReasonNoTarget: the gatekeeper has no target of the service.
	ReasonNoTarget Reason = "gone"
	// ReasonLeaving: the target or the daemon is shutting down.
	ReasonLeaving Reason = "leaving"
	// ReasonBreakerOpen: the circuit breaker is open.
	ReasonBreakerOpen Reason = "shut"
	// ReasonOverloaded: the request would wait in the queue for too long.
	ReasonOverloaded Reason = "full"
	// ReasonRetryBudget: the request is a retry, and the gatekeeper's retry budget is spent.
	ReasonRetryBudget Reason = "spent"
	// ReasonCold: the target may be cold, and gets as many requests a second as a cold one bears.
	ReasonCold Reason = "cold"
	// ReasonEvacuated: the data centre of the target is evacuated.
	ReasonEvacuated Reason = "evacuated"
)
