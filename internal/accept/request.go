package accept

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"net/http/httputil"
	"slices"

	"github.com/quic-go/quic-go"

	"balsamwharf.example/balsamwharf/internal/call"
	"balsamwharf.example/balsamwharf/internal/message"
	"balsamwharf.example/balsamwharf/internal/pool"
	"balsamwharf.example/balsamwharf/internal/wire"
	"balsamwharf.example/balsamwharf/pkg/verdict"
)

const bufferSize = 32 << 10

// buffers are shared by all answers: a new buffer for each answer was half of the
// memory that a request through two daemons allocated.
var buffers = pool.Buffers{Size: bufferSize}

// serveRequest runs a request whose body follows on the stream, and sends the answer.
// The stream is reset if the answer is truncated, so that the other daemon can tell.
func (s *Server) serveRequest(ctx context.Context, m message.Request, stream *quic.Stream) {
	if !s.requests.Begin() {
		refuse(stream, nil, verdict.New(verdict.Unrun, http.StatusServiceUnavailable, "the daemon of the backend server is leaving"))
		return
	}
	defer s.requests.End()
	s.servedAny.Store(true)
	answer, err := s.dispatcher.Request(ctx, m.Head, stream)
	if err != nil {
		refuse(stream, answer, err)
		return
	}
	defer answer.Body.Close()
	reply := message.Reply{Status: answer.Status, Header: answer.Header, Length: int64(answer.Length), Load: answer.Load, Trailer: slices.Collect(maps.Keys(answer.Trailer))}
	if err := wire.Write(stream, reply); err != nil {
		stream.CancelWrite(0)
		return
	}
	if err := sendBody(stream, answer); err != nil {
		stream.CancelWrite(0)
		return
	}
	_ = stream.Close()
}

// sendBody sends the answer's body and, if there is one, its trailer.
func sendBody(stream *quic.Stream, answer *call.Answer) error {
	if len(answer.Trailer) == 0 {
		return copyBody(stream, answer.Body)
	}
	chunks := httputil.NewChunkedWriter(stream)
	if err := copyBody(chunks, answer.Body); err != nil {
		return err
	}
	if err := chunks.Close(); err != nil {
		return err
	}
	return wire.Write(stream, message.Trailer{Header: answer.Trailer})
}

func copyBody(to io.Writer, from io.Reader) error {
	buffer := buffers.Get()
	defer buffers.Put(buffer)
	_, err := io.CopyBuffer(to, from, *buffer)
	return err
}

// refuse sends a Refusal and closes the stream. The answer may be nil; otherwise its
// load is sent too.
func refuse(stream *quic.Stream, answer *call.Answer, err error) {
	r := newRefusal(err)
	if answer != nil {
		r.Load = answer.Load
	}
	if err := wire.Write(stream, r); err != nil {
		stream.CancelWrite(0)
		return
	}
	_ = stream.Close()
}

// newRefusal turns an error into a Refusal. An error without a verdict becomes Maybe,
// since the request may have run.
func newRefusal(err error) message.Refusal {
	var e *verdict.Error
	if !errors.As(err, &e) {
		return message.Refusal{Verdict: verdict.Maybe, Status: http.StatusBadGateway, Reason: "the request failed"}
	}
	return message.Refusal{Verdict: e.Verdict, Status: e.Status, Reason: e.Reason, RetryAfter: e.RetryAfter}
}
