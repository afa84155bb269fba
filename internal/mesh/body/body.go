// Package body holds the body of a request or an answer in pieces.
//
// # Usage
//
//	b, err := body.Read(r, length, longest, hold)
//	b.Len()
//	io.Copy(w, b.Reader())
//
// A long body never lies in one buffer, so that nothing is copied while it grows and it is sent
// piece by piece. What is read is taken from a hold first, so memory is bounded in sum.
package body

import (
	"bytes"
	"errors"
	"io"
	"slices"

	"github.com/joomcode/errorx"

	"balsamwharf.example/balsamwharf/internal/mesh/hold"
	"balsamwharf.example/balsamwharf/internal/units"
)

const (
	// PieceSize is the most that a piece takes.
	PieceSize units.Bytes = 64 << 10
	// firstPiece is the size of the first piece of a body whose length is not known.
	firstPiece units.Bytes = 8 << 10
)

var (
	namespace = errorx.NewNamespace("body")
	// TooLong is the type of errors for bodies that are longer than allowed.
	TooLong = namespace.NewType("too_long")
	// NoRoom is the type of errors for bodies for which there is no memory left.
	NoRoom = namespace.NewType("no_room")
)

// Unknown is the length of a body that ends with its framing.
const Unknown units.Bytes = -1

// Body is a sequence of bytes. The zero value is empty. Its bytes must not be changed.
type Body struct {
	pieces [][]byte
	length units.Bytes
}

// Of returns a body of one piece, which it shares.
func Of(b []byte) Body {
	var all Body
	all.Append(b)
	return all
}

// Append adds a piece, which the body shares.
func (b *Body) Append(piece []byte) {
	if len(piece) > 0 {
		b.pieces = append(b.pieces, piece)
		b.length += units.Bytes(len(piece))
	}
}

// Len returns the length.
func (b Body) Len() units.Bytes { return b.length }

// IsZero reports whether the body is empty.
func (b Body) IsZero() bool { return b.length == 0 }

// Equal reports whether two bodies have the same bytes, however they are divided.
func (b Body) Equal(other Body) bool { return bytes.Equal(b.Bytes(), other.Bytes()) }

// Pieces returns the pieces in order.
func (b Body) Pieces() [][]byte { return b.pieces }

// Bytes returns the whole body, which it copies if there are several pieces.
func (b Body) Bytes() []byte {
	if len(b.pieces) == 1 {
		return b.pieces[0]
	}
	return slices.Concat(b.pieces...)
}

// Reader returns a reader of the whole body.
func (b Body) Reader() io.Reader {
	if len(b.pieces) == 1 {
		return bytes.NewReader(b.pieces[0])
	}
	readers := make([]io.Reader, len(b.pieces))
	for i, piece := range b.pieces {
		readers[i] = bytes.NewReader(piece)
	}
	return io.MultiReader(readers...)
}

// MarshalBinary implements encoding.BinaryMarshaler.
func (b Body) MarshalBinary() ([]byte, error) { return b.Bytes(), nil }

// UnmarshalBinary implements encoding.BinaryUnmarshaler.
func (b *Body) UnmarshalBinary(raw []byte) error {
	*b = Of(bytes.Clone(raw))
	return nil
}

// Read reads a body to its end and takes its memory from the hold as the bytes arrive. length is
// what was announced, or Unknown. An error is of type TooLong or NoRoom, or that of the reader.
func Read(r io.Reader, length, longest units.Bytes, h *hold.Hold) (Body, error) {
	var b Body
	if length > longest {
		return b, TooLong.New("the body is longer than %d bytes", longest)
	}
	if !h.Fits(length) {
		return b, NoRoom.New("there is no room for a body of %d bytes", length)
	}
	size := firstPiece
	if length != Unknown {
		size = min(length, PieceSize)
	}
	for {
		if !h.Take(size) {
			return b, NoRoom.New("there is no room for more than %d bytes of a body", b.length)
		}
		piece := make([]byte, size)
		n, err := fill(r, piece)
		b.Append(piece[:n])
		if b.length > longest {
			return b, TooLong.New("the body is longer than %d bytes", longest)
		}
		if errors.Is(err, io.EOF) {
			return b, nil
		}
		if err != nil {
			return b, err
		}
		size = PieceSize
		if length != Unknown {
			// One byte more shows that the body has ended.
			size = max(min(length-b.length, PieceSize), 1)
		}
	}
}

// fill reads until the buffer is full or an error occurs, which it returns unchanged: io.EOF is
// the end of a body, io.ErrUnexpectedEOF that of a connection.
func fill(r io.Reader, buffer []byte) (int, error) {
	n := 0
	for n < len(buffer) {
		more, err := r.Read(buffer[n:])
		n += more
		if err != nil {
			return n, err
		}
	}
	return n, nil
}
