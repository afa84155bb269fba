package entry

import (
	"bytes"
	"io"
	"net/http"

	"balsamwharf.example/balsamwharf/internal/call"
	"balsamwharf.example/balsamwharf/internal/units"
	"balsamwharf.example/balsamwharf/pkg/verdict"
)

// maxReplayBytes is the largest request body that is buffered for further attempts.
const maxReplayBytes units.Bytes = 64 << 10

// replayBody is a request's body. A small one is buffered and can be read for each attempt;
// a large one, or one of unknown length, is streamed and allows one attempt.
type replayBody struct {
	buffered []byte
	stream   io.Reader
}

// newReplayBody buffers a small body and returns an error if it ends before its announced
// length.
func newReplayBody(head call.Head, body io.Reader) (*replayBody, error) {
	if body == nil || head.Length == 0 {
		return &replayBody{}, nil
	}
	if head.Length < 0 || head.Length > maxReplayBytes {
		return &replayBody{stream: body}, nil
	}
	buffered, err := io.ReadAll(body)
	if err != nil || units.Bytes(len(buffered)) != head.Length {
		return nil, verdict.Wrap(verdict.Unrun, http.StatusBadRequest, "the request's body ended early", err)
	}
	return &replayBody{buffered: buffered}, nil
}

// reader returns the body for one attempt.
func (b *replayBody) reader() io.Reader {
	if b.stream != nil {
		return b.stream
	}
	return bytes.NewReader(b.buffered)
}

// replayable reports whether another attempt can read the complete body.
func (b *replayBody) replayable() bool { return b.stream == nil }
