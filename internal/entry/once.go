package entry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"time"

	"balsamwharf.example/balsamwharf/internal/call"
	"balsamwharf.example/balsamwharf/internal/idempotency"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/units"
	"balsamwharf.example/balsamwharf/pkg/verdict"
)

const (
	// keyHeader names a request, so that a repeat of it does not run again.
	idempotencyKeyHeader = "Idempotency-Key"
	maxKeyBytes          = 256
	// maxKeptAnswer is the largest answer that a repeat gets.
	maxStoredAnswer units.Bytes = 64 << 10
	guardRetryAfter             = time.Second
)

// once forwards a request; one with an idempotency key runs at most once,
// whichever daemon its repeats reach.
func (e *Entry) forwardOnce(ctx context.Context, ex *exchange, head call.Head, body io.Reader) (*call.Answer, error) {
	replay, err := newReplayBody(head, body)
	if err != nil {
		return nil, err
	}
	values := http.Header(head.Header)[idempotencyKeyHeader]
	if len(values) == 0 || head.Idempotent || head.Account == "" {
		return e.forward(ctx, ex, head, replay)
	}
	if len(values) > 1 || values[0] == "" || len(values[0]) > maxKeyBytes {
		return nil, verdict.New(verdict.Unrun, http.StatusBadRequest, "the Idempotency-Key header must be one value of 1 to 256 bytes")
	}
	key := idempotency.Key{Account: head.Account, Key: values[0]}
	attempt, outcome := e.guard.Begin(ctx, key, digest(head, replay))
	switch o := outcome.(type) {
	case idempotency.Granted:
		return e.forwardGuarded(ctx, ex, head, replay, key, attempt)
	case idempotency.Completed:
		return storedAnswer(o.Answer), nil
	case idempotency.Running:
		return nil, verdict.New(verdict.Maybe, http.StatusConflict, "a request with this Idempotency-Key may have run or is running")
	case idempotency.Mismatch:
		return nil, verdict.New(verdict.Unrun, http.StatusUnprocessableEntity, "the Idempotency-Key was used for another request")
	case idempotency.Refused:
		return nil, verdict.New(verdict.Unrun, http.StatusServiceUnavailable, o.Reason).After(guardRetryAfter)
	default:
		return nil, verdict.New(verdict.Unrun, http.StatusServiceUnavailable, fmt.Sprintf("unknown outcome %T", o))
	}
}

// run forwards an attempt that was let through and tells the guard how it ended.
func (e *Entry) forwardGuarded(ctx context.Context, ex *exchange, head call.Head, replay *replayBody, key idempotency.Key, attempt idempotency.Attempt) (*call.Answer, error) {
	answer, err := e.forward(ctx, ex, head, replay)
	if err != nil {
		if verdict.Of(err) == verdict.Unrun {
			e.guard.Cancel(context.WithoutCancel(ctx), key, attempt)
		}
		return nil, err
	}
	answer.Body = &recordedBody{ReadCloser: answer.Body, onComplete: func(body []byte) {
		e.guard.Finish(key, attempt, &idempotency.Answer{Status: answer.Status, Header: answer.Header, Body: body})
	}}
	return answer, nil
}

// repeated is the first answer once more.
func storedAnswer(a idempotency.Answer) *call.Answer {
	return &call.Answer{
		Status: a.Status,
		Header: a.Header,
		Length: units.Bytes(len(a.Body)),
		Body:   io.NopCloser(bytes.NewReader(a.Body)),
	}
}

// digest tells requests apart. The host is not part of it, because a repeat may
// reach another daemon by its address. A body that is too large to be kept counts by its
// length only.
func digest(head call.Head, replay *replayBody) ids.Hash {
	sum := sha256.New()
	fmt.Fprintf(sum, "%s\n%s\n%s\n%d\n", head.Method, head.Route, head.Target, head.Length)
	sum.Write(replay.buffered)
	return ids.Hash(hex.EncodeToString(sum.Sum(nil)))
}

// kept is an answer's body that is handed on once it was read whole and is small.
type recordedBody struct {
	io.ReadCloser
	buffer     bytes.Buffer
	tooLarge   bool
	onComplete func([]byte)
}

// Read implements io.Reader.
func (b *recordedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if units.Bytes(b.buffer.Len()+n) > maxStoredAnswer {
		b.tooLarge = true
	}
	if !b.tooLarge {
		b.buffer.Write(p[:n])
	}
	if err == io.EOF && !b.tooLarge && b.onComplete != nil {
		b.onComplete(b.buffer.Bytes())
		b.onComplete = nil
	}
	return n, err
}
