package backend

import (
	"errors"
	"io"
)

// body is an answer's body. Reading it to its end frees the connection.
type answerBody struct {
	conn     *Conn
	exchange *exchange
	inner    io.ReadCloser
	stop     func() bool
	complete bool
	// closes is set when the backend server closes the connection after the answer.
	closeAfter bool
}

// Read implements io.Reader. A body that ends early is an error.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.inner.Read(p)
	if errors.Is(err, io.EOF) {
		b.complete = true
	}
	return n, err
}

// Close implements io.Closer. The connection serves again only when the whole
// answer was read, nothing follows it and the whole request was written.
func (b *answerBody) Close() error {
	reuse := b.complete && !b.closeAfter && b.exchange.written() && b.conn.reader.Buffered() == 0
	if !b.stop() {
		reuse = false
	}
	b.conn.end(b.exchange, reuse)
	return nil
}

// written reports whether the whole request left. Once the last byte of its body
// was taken from its source, only the connection can delay the end of the write.
func (x *exchange) written() bool {
	return x.bodyRead.Load() && <-x.writeErr == nil
}

// source is a request's body that notes its end.
type requestBody struct {
	io.ReadCloser
	exchange  *exchange
	bytesRead int64
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.bytesRead += int64(n)
	if errors.Is(err, io.EOF) || b.bytesRead == b.exchange.request.ContentLength {
		b.exchange.bodyRead.Store(true)
	}
	return n, err
}
