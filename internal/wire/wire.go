// Package wire encodes messages between daemons: a length, then CBOR.
//
// # Usage
//
//	err := wire.Write(stream, message.Request{Head: head})
//	m, err := wire.Read(stream)
//
// A body may follow a message on the same stream; Read takes no byte of it.
package wire

import (
	"encoding/binary"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"

	"balsamwharf.example/balsamwharf/internal/message"
)

// maxFrame bounds one message.
const maxFrame = 8 << 20

// lengthSize is the size of the length before each message.
const lengthSize = 4

// envelope is the form of every message.
type envelope struct {
	Kind kind            `cbor:"k"`
	Body cbor.RawMessage `cbor:"b"`
}

// Write encodes one message.
func Write(w io.Writer, m message.Message) error {
	data, err := Encode(m)
	if err != nil {
		return err
	}
	_, err = w.Write(data)
	return err
}

// Read decodes one message.
func Read(r io.Reader) (message.Message, error) {
	var size [lengthSize]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(size[:])
	if n > maxFrame {
		return nil, errorx.IllegalFormat.New("message of %d bytes is over the limit of %d", n, maxFrame)
	}
	data, err := io.ReadAll(io.LimitReader(r, int64(n)))
	if err != nil {
		return nil, err
	}
	if len(data) < int(n) {
		return nil, io.ErrUnexpectedEOF
	}
	return Decode(data)
}

// Encode returns a message with its length before it.
func Encode(m message.Message) ([]byte, error) {
	k, err := kindOf(m)
	if err != nil {
		return nil, err
	}
	body, err := cbor.Marshal(m)
	if err != nil {
		return nil, errorx.Decorate(err, "encode %T", m)
	}
	data, err := cbor.Marshal(envelope{Kind: k, Body: body})
	if err != nil {
		return nil, errorx.Decorate(err, "encode envelope")
	}
	if len(data) > maxFrame {
		return nil, errorx.IllegalArgument.New("message %T of %d bytes is over the limit of %d", m, len(data), maxFrame)
	}
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, lengthSize+len(data)), uint32(len(data)))
	return append(frame, data...), nil
}

// Decode reads a message without its length.
func Decode(data []byte) (message.Message, error) {
	var e envelope
	if err := cbor.Unmarshal(data, &e); err != nil {
		return nil, errorx.Decorate(err, "decode envelope")
	}
	return decodeKind(e.Kind, e.Body)
}

func decodeBody[T message.Message](body []byte) (message.Message, error) {
	var m T
	if err := cbor.Unmarshal(body, &m); err != nil {
		return nil, errorx.Decorate(err, "decode %T", m)
	}
	return m, nil
}
