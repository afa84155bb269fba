package gatekeeper

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"balsamwharf.example/balsamwharf/internal/call"
	"balsamwharf.example/balsamwharf/internal/ejector"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/sample"
	"balsamwharf.example/balsamwharf/internal/units"
	"balsamwharf.example/balsamwharf/pkg/verdict"
)

// observedRequest is the body of a request that reports the progress of the request to
// the ejector. It begins at the hand-off to the target, so that the time in the
// gatekeeper's own queue doesn't count against the target.
type observedRequest struct {
	io.Reader
	observation *ejector.Observation
	startedAt   units.Instant
	clock       func() units.Instant
	// bodyFailed is set when the body of the caller's request could not be read.
	bodyFailed atomic.Bool
}

// track registers a target with the ejector, or updates it there.
func (g *Gatekeeper) track(a Announcement) {
	g.ejector.Track(ejector.Target{ID: a.ID, Service: a.Service, Address: a.Address, Slots: units.Slots(a.Slots), WarmUp: a.WarmUp})
}

// refuseEjected returns an error if the ejector doesn't admit the request to its target.
func (g *Gatekeeper) refuseEjected(head call.Head) error {
	if g.ejector.Admits(head.Server, head.Idempotent) {
		return nil
	}
	return verdict.New(verdict.Unrun, http.StatusServiceUnavailable, "the backend server is ejected")
}

// observe begins the observation of a request. The result reads from body, which may be
// nil, and must be sent in its place.
func (g *Gatekeeper) observe(head call.Head, body io.Reader) *observedRequest {
	clock := g.Common.Clock.Now
	if body == nil {
		body = http.NoBody
	}
	o := &observedRequest{Reader: body, observation: g.ejector.Begin(head.Server, head.Route), startedAt: clock(), clock: clock}
	if head.Length == 0 || body == http.NoBody {
		o.observation.MarkSent()
	}
	return o
}

// Read implements io.Reader.
func (o *observedRequest) Read(p []byte) (int, error) {
	n, err := o.Reader.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		o.observation.MarkSent()
	case err != nil:
		o.bodyFailed.Store(true)
	}
	return n, err
}

// recordFailure ends the observation of a request that got no answer.
func (o *observedRequest) recordFailure(ctx context.Context, err error) {
	o.observation.End(o.classify(ctx, err))
}

// classify returns the sample that a failed request counts as. Only failures that the
// target is responsible for count against it: neither a cancellation by the caller nor
// an unreadable request body does.
func (o *observedRequest) classify(ctx context.Context, err error) sample.Sample {
	var dial *net.OpError
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return sample.TimedOut{Waited: o.clock().Sub(o.startedAt)}
	case ctx.Err() != nil, o.bodyFailed.Load():
		return sample.Cancelled{}
	case errors.As(err, &dial) && dial.Op == "dial":
		return sample.ConnectFailed{}
	case verdict.Of(err) == verdict.Unrun && errors.Unwrap(err) == nil:
		return sample.ConnectFailed{}
	case verdict.Of(err) == verdict.Unrun:
		return sample.Cancelled{}
	}
	return sample.Truncated{}
}

// observeAnswer records the head of the answer, and wraps the answer's body so that the
// observation ends with it.
func (o *observedRequest) observeAnswer(ctx context.Context, answer *call.Answer) {
	success := o.observation.MarkHead()
	var s sample.Sample = success
	if answer.Status >= http.StatusInternalServerError {
		s = sample.ServerError{}
	}
	answer.Body = &observedBody{ReadCloser: answer.Body, ctx: ctx, observation: o.observation, sample: s}
}

// observedBody is the body of an answer that reports the outcome of the request to the
// ejector.
type observedBody struct {
	io.ReadCloser
	ctx         context.Context
	observation *ejector.Observation
	sample      sample.Sample
}

// Read implements io.Reader. The end of the body ends the observation. An error counts
// as a truncated answer, unless the context of the request had ended.
func (b *observedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.observation.End(b.sample)
	case err != nil && b.ctx.Err() == nil:
		b.observation.End(sample.Truncated{})
	case err != nil:
		b.observation.End(sample.Cancelled{})
	}
	return n, err
}

// Close implements io.Closer. A body that was not read to its end counts as cancelled by
// the caller.
func (b *observedBody) Close() error {
	b.observation.End(sample.Cancelled{})
	return b.ReadCloser.Close()
}

// Ejected reports whether a target of this VM is ejected or half-open.
func (g *Gatekeeper) Ejected(id ids.Target) bool { return g.ejector.Ejected(id) }
