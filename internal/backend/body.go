package backend

import (
	"errors"
	"io"
)

// answerBody is the body of an answer. Closing it ends the exchange.
type answerBody struct {
	conn     *Conn
	exchange *exchange
	inner    io.ReadCloser
	stop     func() bool
	// complete is set when the body was read to its end.
	complete bool
	// closeAfter is set when the backend server closes the connection after the answer.
	closeAfter bool
}

// Read implements io.Reader. It returns an error other than io.EOF for a truncated body.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.inner.Read(p)
	if errors.Is(err, io.EOF) {
		b.complete = true
	}
	return n, err
}

// Close implements io.Closer. It keeps the connection for another exchange only if the
// whole answer was read, no byte follows it and the whole request was written, else it
// closes the connection. It may block until the rest of the request is written.
func (b *answerBody) Close() error {
	reuse := b.complete && !b.closeAfter && b.exchange.written() && b.conn.reader.Buffered() == 0
	if !b.stop() {
		reuse = false
	}
	b.conn.end(b.exchange, reuse)
	return nil
}

// written reports whether the whole request was written, and waits for the end of the
// write if its body has been read completely: then only the connection can delay it.
func (x *exchange) written() bool {
	return x.bodyRead.Load() && <-x.writeErr == nil
}

// requestBody is the body of a request that records when it was read to its end.
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
