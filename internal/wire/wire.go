// Package wire encodes the messages between daemons: a length of 4 bytes, big-endian,
// then an envelope in CBOR with the message's kind and content.
//
// # Usage
//
//	err := wire.Write(stream, message.Request{Head: head})
//	m, err := wire.Read(stream)
//
// A body may follow a message on the same stream; Read consumes no byte of it.
package wire

import (
	"encoding/binary"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"

	"balsamwharf.example/balsamwharf/internal/message"
)

// maxFrame is the largest size of an encoded message in bytes, without its length.
const maxFrame = 8 << 20

// lengthSize is the size of the length before each message in bytes.
const lengthSize = 4

// envelope wraps every message with its kind.
type envelope struct {
	Kind kind            `cbor:"k"`
	Body cbor.RawMessage `cbor:"b"`
}

// Write encodes one message and writes it in one call of w.Write.
func Write(w io.Writer, m message.Message) error {
	data, err := Encode(m)
	if err != nil {
		return err
	}
	_, err = w.Write(data)
	return err
}

// Read reads and decodes one message. It returns io.EOF if r ends before the message,
// and io.ErrUnexpectedEOF if r ends within it.
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

// Encode returns the encoded message with its length before it.
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

// Decode decodes a message that comes without its length.
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
