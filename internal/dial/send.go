package dial

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/quic-go/quic-go"

	"balsamwharf.example/balsamwharf/internal/call"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/message"
	"balsamwharf.example/balsamwharf/internal/units"
	"balsamwharf.example/balsamwharf/internal/wire"
	"balsamwharf.example/balsamwharf/pkg/verdict"
)

// Send sends a request to the gatekeeper on another daemon and returns its answer.
// Errors carry a verdict; an answer that comes with an error holds the target's load
// only. After an error, body may still be read until the front end unblocks the
// reader.
func (d *Dialer) Send(ctx context.Context, to ids.Daemon, head call.Head, body io.Reader) (*call.Answer, error) {
	x, err := d.open(ctx, to)
	if err != nil {
		return nil, verdict.Wrap(verdict.Unrun, http.StatusServiceUnavailable, "the daemon of the backend server can't be reached", err)
	}
	if err := wire.Write(x, message.Request{Head: head}); err != nil {
		x.end()
		return nil, hopError(ctx, err)
	}
	requestSent := make(chan struct{})
	go func() {
		defer close(requestSent)
		sendBody(x.Stream, body)
	}()
	reply, err := x.readReply(ctx)
	if err != nil {
		x.end()
		return nil, hopError(ctx, err)
	}
	switch m := reply.(type) {
	case message.Reply:
		body := &answerBody{exchange: x, requestSent: requestSent}
		answer := newAnswer(m, body)
		if len(m.Trailer) > 0 {
			answer.Trailer = map[string][]string{}
			answer.Body = newTrailerBody(body, m.Trailer, answer.Trailer)
		}
		return answer, nil
	case message.Refusal:
		x.end()
		return &call.Answer{Load: m.Load}, refusalError(m)
	default:
		x.end()
		return nil, verdict.New(verdict.Maybe, http.StatusBadGateway, "the daemon of the backend server sent no answer")
	}
}

// sendBody copies the request's body to the stream. The stream is closed only after a
// complete body; otherwise it is reset.
func sendBody(stream *quic.Stream, body io.Reader) {
	if body != nil {
		if _, err := io.Copy(stream, body); err != nil {
			stream.CancelWrite(0)
			return
		}
	}
	_ = stream.Close()
}

// hopError returns the error of a request that failed between the two daemons after
// it began. The verdict is Maybe, since the backend server may have run it.
func hopError(ctx context.Context, err error) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.Wrap(verdict.Maybe, http.StatusGatewayTimeout, "no answer within the deadline", err)
	}
	return verdict.Wrap(verdict.Maybe, http.StatusBadGateway, "the daemon of the backend server was lost", err)
}

func refusalError(m message.Refusal) error {
	return &verdict.Error{Verdict: m.Verdict, Status: m.Status, Reason: m.Reason, RetryAfter: m.RetryAfter}
}

func newAnswer(m message.Reply, body io.ReadCloser) *call.Answer {
	return &call.Answer{Status: m.Status, Header: m.Header, Length: units.Bytes(m.Length), Load: m.Load, Body: body}
}

// answerBody reads an answer's body from the stream. A truncated answer ends in an
// error, because the gatekeeper's daemon resets the stream.
type answerBody struct {
	exchange    *exchange
	requestSent chan struct{}
	closed      atomic.Bool
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) { return b.exchange.Read(p) }

// Close ends the exchange and blocks until the request's body is no longer read.
func (b *answerBody) Close() error {
	if b.closed.Swap(true) {
		return nil
	}
	b.exchange.end()
	<-b.requestSent
	return nil
}
