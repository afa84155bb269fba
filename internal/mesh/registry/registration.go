package registry

import (
	"strconv"
	"strings"

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
	Region      ids.Region      `cbor:"12,keyasint,omitempty"`
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

// Limits of what a registration may hold. Others can write to the store too, and one odd
// registration must neither hide a daemon nor fill the log.
const (
	// maxRecordBytes is several times the size of the longest registration.
	maxRecordBytes = 4 << 10
	maxNameBytes   = 255
	maxSlots       = 1 << 16
	// maxOrder bounds Incarnation and Revision, which are incremented from what was read.
	maxOrder = 1 << 48
)

// decode decodes the registration that the store or another daemon holds under the key. The
// key may be empty if it is not known.
func decode(key string, raw []byte) (Registration, error) {
	var r Registration
	if len(raw) > maxRecordBytes {
		return r, errorx.IllegalFormat.New("registration has %d bytes", len(raw))
	}
	if err := cbor.Unmarshal(raw, &r); err != nil {
		return r, errorx.Decorate(err, "decode registration")
	}
	if key != "" && key != string(r.Address) {
		return r, errorx.IllegalFormat.New("registration of another daemon under the key %.64q", key)
	}
	return r, r.check()
}

// check returns an error for the first field that no daemon would write, or nil.
func (r Registration) check() error {
	for _, name := range []string{string(r.Daemon), string(r.Address), string(r.Centre), string(r.Service), string(r.Target), string(r.Region)} {
		if len(name) > maxNameBytes {
			return errorx.IllegalFormat.New("registration has a name of %d bytes", len(name))
		}
	}
	switch {
	case r.Daemon == "":
		return errorx.IllegalFormat.New("registration lacks the daemon's name")
	case !validAddress(r.Address):
		return errorx.IllegalFormat.New("registration has the address %q", r.Address)
	case r.Slots < 0 || r.Slots > maxSlots:
		return errorx.IllegalFormat.New("registration has %d slots", r.Slots)
	case r.Incarnation > maxOrder || r.Revision > maxOrder:
		return errorx.IllegalFormat.New("registration has incarnation %d and revision %d", r.Incarnation, r.Revision)
	}
	return nil
}

// validAddress reports whether the address is a host and a port from 1 to 65535.
func validAddress(a ids.Address) bool {
	colon := strings.LastIndexByte(string(a), ':')
	if colon <= 0 {
		return false
	}
	port, err := strconv.ParseUint(string(a[colon+1:]), 10, 16)
	return err == nil && port > 0
}
