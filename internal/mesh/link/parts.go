package link

import (
	"github.com/joomcode/errorx"

	"balsamwharf.example/balsamwharf/internal/mesh/body"
	"balsamwharf.example/balsamwharf/internal/units"
)

// IsLong reports whether a body is sent in parts.
func IsLong(b body.Body) bool { return b.Len() > body.PieceSize }

// SendLong sends a message and the body that follows it in parts.
func (c *Conn) SendLong(m Message, b body.Body) error {
	if err := c.Send(m); err != nil {
		return err
	}
	pieces := b.Pieces()
	for i, piece := range pieces {
		if err := c.Send(Part{Bytes: piece, Last: i == len(pieces)-1}); err != nil {
			return err
		}
	}
	return nil
}

// ReceiveParts joins the parts of a body of the given length, which receive returns.
func ReceiveParts(length units.Bytes, receive func() (Message, error)) (body.Body, error) {
	var b body.Body
	for b.Len() < length {
		m, err := receive()
		if err != nil {
			return b, err
		}
		part, ok := m.(Part)
		if !ok || len(part.Bytes) == 0 || units.Bytes(len(part.Bytes)) > length-b.Len() {
			return b, errorx.IllegalFormat.New("received a %T, want a part of the %d bytes that are left", m, length-b.Len())
		}
		b.Append(part.Bytes)
	}
	return b, nil
}
