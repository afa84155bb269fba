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
type observed struct {
	io.Reader
	watch *ejector.Observation
	began units.Instant
	clock func() units.Instant
	// broken is set when the caller's body could not be read.
	broken atomic.Bool
}

// track makes the ejector follow a target.
func (g *Gatekeeper) track(a Announcement) {
	g.ejector.Track(ejector.Target{ID: a.ID, Service: a.Service, Address: a.Address, Slots: units.Slots(a.Slots), WarmUp: a.Cold})
}

// refuseEjected refuses work for a target that is out of use.
func (g *Gatekeeper) refuseEjected(head call.Head) error {
	if g.ejector.Admits(head.Server, head.Idempotent) {
		return nil
	}
	return verdict.New(verdict.Unrun, http.StatusServiceUnavailable, "the backend server is ejected")
}

// observe begins to follow a request whose body is passed on by the result.
func (g *Gatekeeper) observe(head call.Head, body io.Reader) *observed {
	clock := g.Common.Clock.Now
	if body == nil {
		body = http.NoBody
	}
	o := &observed{Reader: body, watch: g.ejector.Begin(head.Server, head.Route), began: clock(), clock: clock}
	if head.Length == 0 || body == http.NoBody {
		o.watch.MarkSent()
	}
	return o
}

// Read implements io.Reader.
func (o *observed) Read(p []byte) (int, error) {
	n, err := o.Reader.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		o.watch.MarkSent()
	case err != nil:
		o.broken.Store(true)
	}
	return n, err
}

// failed takes in a request that got no answer.
func (o *observed) failed(ctx context.Context, err error) {
	o.watch.End(o.blame(ctx, err))
}

// blame says what a failure tells about the target.
func (o *observed) blame(ctx context.Context, err error) sample.Sample {
	var dial *net.OpError
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return sample.TimedOut{Waited: o.clock().Sub(o.began)}
	case ctx.Err() != nil, o.broken.Load():
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
func (o *observed) answered(ctx context.Context, answer *call.Answer) {
	good := o.watch.MarkHead()
	var s sample.Sample = good
	if answer.Status >= http.StatusInternalServerError {
		s = sample.ServerError{}
	}
	answer.Body = &observedBody{ReadCloser: answer.Body, ctx: ctx, watch: o.watch, sample: s}
}

// observedBody is an answer's body that tells how the request ended.
type observedBody struct {
	io.ReadCloser
	ctx    context.Context
	watch  *ejector.Observation
	sample sample.Sample
}

// Read implements io.Reader.
func (b *observedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.watch.End(b.sample)
	case err != nil && b.ctx.Err() == nil:
		b.watch.End(sample.Truncated{})
	case err != nil:
		b.watch.End(sample.Cancelled{})
	}
	return n, err
}

// Close implements io.Closer. A body that was not read to its end tells nothing
// but that the caller gave up.
func (b *observedBody) Close() error {
	b.watch.End(sample.Cancelled{})
	return b.ReadCloser.Close()
}

// Ejected reports whether a target of this VM is out of use or on trial.
func (g *Gatekeeper) Ejected(id ids.Target) bool { return g.ejector.Ejected(id) }
