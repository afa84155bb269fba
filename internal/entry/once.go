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
	// idempotencyKeyHeader identifies a request, so that a duplicate isn't executed again.
	idempotencyKeyHeader = "Idempotency-Key"
	maxKeyBytes          = 256
	// maxStoredAnswer limits the body of an answer that is stored for duplicates.
	maxStoredAnswer units.Bytes = 64 << 10
	// guardRetryAfter is the Retry-After value of requests that the guard refused.
	guardRetryAfter = time.Second
)

// forwardOnce forwards a request. One with an idempotency key is executed at most once,
// whichever daemons receive its duplicates.
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

// forwardGuarded forwards an attempt that the guard has granted and reports its end to the
// guard: Cancel if it was not executed, Finish once the answer is complete. After any other
// end the key stays in use, because the request may have been executed.
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

// storedAnswer returns the answer that was stored for the first request with the key.
func storedAnswer(a idempotency.Answer) *call.Answer {
	return &call.Answer{
		Status: a.Status,
		Header: a.Header,
		Length: units.Bytes(len(a.Body)),
		Body:   io.NopCloser(bytes.NewReader(a.Body)),
	}
}

// digest identifies the content of a request, to detect a key that is used for another
// one. The host is not part of it, because a duplicate may be sent to another daemon by
// its address. A body that is too large to be buffered counts by its length only.
func digest(head call.Head, replay *replayBody) ids.Hash {
	sum := sha256.New()
	fmt.Fprintf(sum, "%s\n%s\n%s\n%d\n", head.Method, head.Route, head.Target, head.Length)
	sum.Write(replay.buffered)
	return ids.Hash(hex.EncodeToString(sum.Sum(nil)))
}

// recordedBody is an answer's body that calls onComplete with a copy of its content when
// it was read to its end and is not larger than maxStoredAnswer.
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
