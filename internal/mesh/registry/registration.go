package registry

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/mesh/keyed"
	"balsamwharf.example/balsamwharf/internal/units"
)

// State is what a daemon tells about the backend server of its VM.
type State string

// The states.
const (
	// NoServer: the daemon has not heard of a backend server.
	NoServer State = ""
	// Ready: the backend server takes requests.
	Ready State = "ready"
	// Leaving: the backend server gets no new requests.
	Leaving State = "leaving"
	// Deregistered: the backend server has said that it ends.
	Deregistered State = "gone"
)

// Registration is what a daemon tells the fleet about itself and its backend server.
type Registration struct {
	Daemon  ids.Daemon  `cbor:"1,keyasint"`
	Address ids.Address `cbor:"2,keyasint"`
	Centre  ids.Centre  `cbor:"3,keyasint"`
	Service ids.Service `cbor:"4,keyasint,omitempty"`
	Target  ids.Target  `cbor:"5,keyasint,omitempty"`
	Slots   units.Slots `cbor:"6,keyasint,omitempty"`
	State   State       `cbor:"7,keyasint,omitempty"`
	// StartedAt is when the backend server started, in Unix milliseconds by its own clock.
	// It tells the starts of one backend server apart and is compared with nothing else.
	StartedAt int64 `cbor:"8,keyasint,omitempty"`
	// Stopping is set when the daemon itself ends.
	Stopping bool `cbor:"9,keyasint,omitempty"`
	// Incarnation and Number order the records of one daemon.
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
		return keyed.Record{}, errorx.Decorate(err, "encode record of daemon %q", r.Daemon)
	}
	return keyed.Record{Key: string(r.Address), Value: raw}, nil
}

func decode(raw []byte) (Registration, error) {
	var r Registration
	if err := cbor.Unmarshal(raw, &r); err != nil {
		return r, errorx.Decorate(err, "decode record of a daemon")
	}
	if r.Address == "" || r.Daemon == "" {
		return r, errorx.IllegalFormat.New("record of a daemon lacks its name or address")
	}
	return r, nil
}
