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

// observed follows one request from its hand-off, so that the time in this
// gatekeeper's own queue is not held against the target.
type observedRequest struct {
	io.Reader
	observation *ejector.Observation
	startedAt   units.Instant
	clock       func() units.Instant
	// broken is set when the caller's body could not be read.
	bodyFailed atomic.Bool
}

// track makes the ejector follow a target.
func (g *Gatekeeper) track(a Announcement) {
	g.ejector.Track(ejector.Target{ID: a.ID, Service: a.Service, Address: a.Address, Slots: units.Slots(a.Slots), WarmUp: a.WarmUp})
}

// refuseEjected refuses work for a target that is out of use.
func (g *Gatekeeper) refuseEjected(head call.Head) error {
	if g.ejector.Admits(head.Server, head.Idempotent) {
		return nil
	}
	return verdict.New(verdict.Unrun, http.StatusServiceUnavailable, "the backend server is ejected")
}

// observe begins to follow a request whose body is passed on by the result.
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

// failed takes in a request that got no answer.
func (o *observedRequest) recordFailure(ctx context.Context, err error) {
	o.observation.End(o.classify(ctx, err))
}

// blame says what a failure tells about the target.
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

// answered follows the answer's body to its end.
func (o *observedRequest) observeAnswer(ctx context.Context, answer *call.Answer) {
	success := o.observation.MarkHead()
	var s sample.Sample = success
	if answer.Status >= http.StatusInternalServerError {
		s = sample.ServerError{}
	}
	answer.Body = &observedBody{ReadCloser: answer.Body, ctx: ctx, observation: o.observation, sample: s}
}

// observedBody is an answer's body that tells how the request ended.
type observedBody struct {
	io.ReadCloser
	ctx         context.Context
	observation *ejector.Observation
	sample      sample.Sample
}

// Read implements io.Reader.
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

// Close implements io.Closer. A body that was not read to its end tells nothing
// but that the caller gave up.
func (b *observedBody) Close() error {
	b.observation.End(sample.Cancelled{})
	return b.ReadCloser.Close()
}

// Ejected reports whether a target of this VM is out of use or on trial.
func (g *Gatekeeper) Ejected(id ids.Target) bool { return g.ejector.Ejected(id) }
