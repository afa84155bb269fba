package dial

import (
	"bufio"
	"errors"
	"io"
	"net/http/httputil"

	"github.com/joomcode/errorx"

	"balsamwharf.example/balsamwharf/internal/message"
	"balsamwharf.example/balsamwharf/internal/wire"
)

// trailerBody decodes an answer's body that was sent in chunks with a trailer after
// it. It fills in the trailer when the body has been read to its end.
type trailerBody struct {
	io.Closer
	stream  *bufio.Reader
	chunks  io.Reader
	trailer map[string][]string
	err     error
}

// newTrailerBody sets the announced names in trailer to nil until their values are
// read.
func newTrailerBody(body io.ReadCloser, names []string, trailer map[string][]string) *trailerBody {
	for _, name := range names {
		trailer[name] = nil
	}
	stream := bufio.NewReader(body)
	return &trailerBody{Closer: body, stream: stream, chunks: httputil.NewChunkedReader(stream), trailer: trailer}
}

// Read implements io.Reader.
func (t *trailerBody) Read(p []byte) (int, error) {
	if t.err != nil {
		return 0, t.err
	}
	n, err := t.chunks.Read(p)
	if errors.Is(err, io.EOF) {
		err = t.readTrailer()
	}
	t.err = err
	return n, err
}

// readTrailer returns io.EOF if the answer is complete.
func (t *trailerBody) readTrailer() error {
	m, err := wire.Read(t.stream)
	if err != nil {
		return errorx.Decorate(io.ErrUnexpectedEOF, "read trailer: %v", err)
	}
	last, ok := m.(message.Trailer)
	if !ok {
		return errorx.IllegalFormat.New("got a %T instead of the trailer", m)
	}
	for name := range t.trailer {
		t.trailer[name] = last.Header[name]
	}
	return io.EOF
}
