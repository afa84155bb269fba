package backend

import (
	"errors"
	"io"
)

// body is an answer's body. Reading it to its end frees the connection.
type body struct {
	conn     *Conn
	exchange *exchange
	body     io.ReadCloser
	stop     func() bool
	whole    bool
}

// Read implements io.Reader. A body that ends early is an error.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if errors.Is(err, io.EOF) {
		b.whole = true
	}
	return n, err
}

// Close implements io.Closer. The connection serves again only when the whole
// answer was read and the whole request was written.
func (b *body) Close() error {
	b.stop()
	reuse := b.whole && !b.exchange.closing() && b.exchange.written()
	b.conn.end(b.exchange, reuse)
	return nil
}

func (x *exchange) written() bool {
	select {
	case err := <-x.wrote:
		return err == nil
	default:
		return false
	}
}

func (x *exchange) closing() bool { return x.request.Close }
