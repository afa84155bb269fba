package record

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"
)

// kind names the type of a record on the log.
type kind string

const (
	kindEdit     kind = "edit"
	kindSnapshot kind = "snapshot"
	kindRoster   kind = "roster"
)

// envelope is the encoding of every record on the log.
type envelope struct {
	Kind kind            `cbor:"kind"`
	Body cbor.RawMessage `cbor:"body"`
}

// Encode returns the encoding of the record for the log. It returns an error for an
// Unreadable.
func Encode(r Record) ([]byte, error) {
	var k kind
	switch r.(type) {
	case Edit:
		k = kindEdit
	case Snapshot:
		k = kindSnapshot
	case Roster:
		k = kindRoster
	default:
		return nil, errorx.IllegalArgument.New("no encoding for record %T", r)
	}
	body, err := cbor.Marshal(r)
	if err != nil {
		return nil, errorx.Decorate(err, "encode record")
	}
	return cbor.Marshal(envelope{Kind: k, Body: body})
}

// Decode decodes a record of the log. It returns an error if the bytes are
// malformed or the kind is unknown.
func Decode(data []byte) (Record, error) {
	var e envelope
	if err := cbor.Unmarshal(data, &e); err != nil {
		return nil, errorx.Decorate(err, "decode record")
	}
	switch e.Kind {
	case kindEdit:
		return decodeAs[Edit](e.Body)
	case kindSnapshot:
		return decodeAs[Snapshot](e.Body)
	case kindRoster:
		return decodeAs[Roster](e.Body)
	default:
		return nil, errorx.IllegalFormat.New("unknown record kind %q", e.Kind)
	}
}

func decodeAs[T Record](body []byte) (Record, error) {
	var r T
	if err := cbor.Unmarshal(body, &r); err != nil {
		return nil, errorx.Decorate(err, "decode %T", r)
	}
	return r, nil
}
