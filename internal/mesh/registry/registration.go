package registry

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/mesh/keyed"
	"balsamwharf.example/balsamwharf/internal/units"
)

// State is the state of the backend server on a daemon's VM.
type State string

// The states of a backend server.
const (
	// NoServer: no backend server has announced itself.
	NoServer State = ""
	// Ready: the backend server accepts requests.
	Ready State = "ready"
	// Leaving: the backend server is draining and gets no new requests.
	Leaving State = "leaving"
	// Deregistered: the backend server has announced that it terminates.
	Deregistered State = "gone"
)

// Registration describes one daemon and its backend server to the fleet.
type Registration struct {
	Daemon  ids.Daemon  `cbor:"1,keyasint"`
	Address ids.Address `cbor:"2,keyasint"`
	Centre  ids.Centre  `cbor:"3,keyasint"`
	Service ids.Service `cbor:"4,keyasint,omitempty"`
	Target  ids.Target  `cbor:"5,keyasint,omitempty"`
	Slots   units.Slots `cbor:"6,keyasint,omitempty"`
	State   State       `cbor:"7,keyasint,omitempty"`
	// StartedAt is when the backend server started, in Unix milliseconds of its own clock. It
	// only distinguishes the starts of one backend server and must not be compared with any
	// other time.
	StartedAt int64 `cbor:"8,keyasint,omitempty"`
	// Stopping is set when the daemon itself stops.
	Stopping bool `cbor:"9,keyasint,omitempty"`
	// Incarnation and Revision order the registrations of one daemon.
	Incarnation ids.Incarnation `cbor:"10,keyasint"`
	Revision    uint64          `cbor:"11,keyasint"`
}

// Newer reports whether r was written after other by the same daemon.
func (r Registration) Newer(other Registration) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}
	return r.Revision > other.Revision
}

// Usable reports whether the backend server may get requests.
func (r Registration) Usable() bool { return r.State == Ready && !r.Stopping && r.Target != "" }

func encode(r Registration) (keyed.Record, error) {
	raw, err := cbor.Marshal(r)
	if err != nil {
		return keyed.Record{}, errorx.Decorate(err, "encode registration of daemon %q", r.Daemon)
	}
	return keyed.Record{Key: string(r.Address), Value: raw}, nil
}

func decode(raw []byte) (Registration, error) {
	var r Registration
	if err := cbor.Unmarshal(raw, &r); err != nil {
		return r, errorx.Decorate(err, "decode registration")
	}
	if r.Address == "" || r.Daemon == "" {
		return r, errorx.IllegalFormat.New("registration lacks the daemon's name or address")
	}
	return r, nil
}
