// Package forward sends a request to one target: by a function call for the target of
// this VM, and over a connection to the daemon of another VM.
//
// # Usage
//
//	switch r := f.Send(ctx, registration, terms, outbound).(type) {
//	case forward.Answered:
//	case forward.Declined: // has not run; another target may get it
//	case forward.Unrun:    // has not run
//	case forward.Lost:     // may have run
//	}
package forward

import (
	"context"
	"errors"
	"time"

	"balsamwharf.example/balsamwharf/internal/backend"
	"balsamwharf.example/balsamwharf/internal/common"
	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/mesh/body"
	"balsamwharf.example/balsamwharf/internal/mesh/gate"
	"balsamwharf.example/balsamwharf/internal/mesh/link"
	"balsamwharf.example/balsamwharf/internal/mesh/outcome"
	"balsamwharf.example/balsamwharf/internal/mesh/peersync"
	"balsamwharf.example/balsamwharf/internal/mesh/reachable"
	"balsamwharf.example/balsamwharf/internal/mesh/registry"
	"balsamwharf.example/balsamwharf/internal/mesh/request"
	"balsamwharf.example/balsamwharf/pkg/kernel"
	"balsamwharf.example/balsamwharf/pkg/service"
)

// offerTimeout is how long a gatekeeper may take to confirm that it received an offer: a
// round trip within a region and the scheduling delay of a busy daemon.
const offerTimeout = 150 * time.Millisecond

// Result is one of Answered, Declined, Unrun and Lost.
type Result interface{ result() }

// Answered is a complete answer of the target.
type Answered struct {
	Answer request.Answer
	Load   request.Load
	// Failure is set when the answer reports a failure of the target itself.
	Failure bool
}

// Declined is the result when the gatekeeper did not admit the request.
type Declined struct {
	Reason link.Reason
	Load   request.Load
}

// Unrun is the result when the request has not run for a reason other than Declined.
type Unrun struct {
	Detail string
	// ReachedTarget is set when the target itself refused the request.
	ReachedTarget bool
	Load          request.Load
}

// Lost is the result when the request may have run and no usable answer came.
type Lost struct {
	Detail string
	Load   request.Load
}

func (Answered) result() {}
func (Declined) result() {}
func (Unrun) result()    {}
func (Lost) result()     {}

// Forward sends requests to targets. Send may be called from several goroutines.
type Forward struct {
	Common *common.Common

	gate      *gate.Gate
	link      *link.Link
	reachable *reachable.Tracker
	syncer    *peersync.Syncer
	registry  *registry.Registry
}

// Name implements service.Service.
func (f *Forward) Name() service.Name { return "forward" }

// Needs implements service.Service.
func (f *Forward) Needs() []service.Name {
	return []service.Name{"gate", "link", "reachable", "peersync", "registry"}
}

// Start implements service.Service.
func (f *Forward) Start(_ context.Context, finder service.Finder) error {
	return errors.Join(
		kernel.Bind(finder, "gate", &f.gate),
		kernel.Bind(finder, "link", &f.link),
		kernel.Bind(finder, "reachable", &f.reachable),
		kernel.Bind(finder, "peersync", &f.syncer),
		kernel.Bind(finder, "registry", &f.registry),
	)
}

// Stop implements service.Service.
func (f *Forward) Stop(context.Context) error { return nil }

// Send makes one attempt to run the request at a target and blocks until the result is
// known or the context ends.
func (f *Forward) Send(ctx context.Context, to registry.Registration, t request.Terms, out request.Outbound) Result {
	if to.Address == f.Common.Mesh.Sockets.AdvertisedAddress() {
		return f.local(ctx, t, out)
	}
	return f.remote(ctx, to.Address, t, out)
}

func (f *Forward) local(ctx context.Context, t request.Terms, out request.Outbound) Result {
	slot, declined := f.gate.Reserve(ctx, t, out.Accepted)
	if declined != nil {
		return Declined{Reason: declined.Reason, Load: declined.Load}
	}
	if out.Accepted != nil {
		out.Accepted()
	}
	result, load := slot.Run(ctx, out)
	switch r := result.(type) {
	case outcome.Answered:
		return Answered{Answer: r.Answer, Load: load, Failure: r.Failure}
	case outcome.Unrun:
		return Unrun{Detail: r.Detail, ReachedTarget: true, Load: load}
	case outcome.Broken:
		if !r.Sent {
			return Unrun{Detail: r.Detail, Load: load}
		}
		return Lost{Detail: r.Detail, Load: load}
	default:
		return Lost{Detail: "unknown outcome", Load: load}
	}
}

// remote offers the request and sends it only when a slot is granted. Until then the
// request can't have run, however the connection fails.
func (f *Forward) remote(ctx context.Context, to ids.Address, t request.Terms, out request.Outbound) Result {
	offer := link.Offer{Terms: t, Parts: true}
	if link.IsLong(out.Body) {
		offer.Body = out.Body.Len()
	}
	s, first, err := f.offer(ctx, to, offer)
	if err != nil {
		if ctx.Err() == nil {
			f.reachable.RecordFailure(to, err)
		}
		return Unrun{Detail: err.Error()}
	}
	f.reachable.RecordAnswer(to)
	if _, queued := first.(link.Queued); queued {
		if out.Accepted != nil {
			out.Accepted()
		}
		if first, err = s.Receive(); err != nil {
			s.Close()
			return Unrun{Detail: err.Error()}
		}
	}
	switch m := first.(type) {
	case link.Declined:
		s.Release()
		return Declined{Reason: m.Reason, Load: m.Load}
	case link.Granted:
		if out.Accepted != nil {
			out.Accepted()
		}
		return f.proceed(s, to, out, m.Parts)
	default:
		s.Close()
		return Unrun{Detail: "the gatekeeper sent an unexpected message in answer to an offer"}
	}
}

// offer sends the offer and receives the first answer. If a reused connection fails,
// it tries once more on a new one.
func (f *Forward) offer(ctx context.Context, to ids.Address, o link.Offer) (*link.Session, link.Message, error) {
	s, err := f.link.Open(ctx, to)
	if err != nil {
		return nil, nil, err
	}
	m, err := s.CallWithin(o, offerTimeout)
	if err == nil {
		return s, m, nil
	}
	s.Close()
	if !s.Reused || ctx.Err() != nil {
		return nil, nil, err
	}
	if s, err = f.link.OpenNew(ctx, to); err != nil {
		return nil, nil, err
	}
	if m, err = s.CallWithin(o, offerTimeout); err != nil {
		s.Close()
		return nil, nil, err
	}
	return s, m, nil
}

// proceed sends the request and waits for the answer. Once a byte of it may have been
// sent, only the gatekeeper can say that the request did not run.
func (f *Forward) proceed(s *link.Session, to ids.Address, out request.Outbound, inParts bool) Result {
	if err := sendRequest(s, out, inParts); err != nil {
		s.Close()
		return Lost{Detail: err.Error()}
	}
	m, err := s.Receive()
	if err != nil {
		s.Close()
		return Lost{Detail: err.Error()}
	}
	switch m := m.(type) {
	case link.Answered:
		// An answer that is here is delivered, whether or not there was room for it.
		out.Answers.Take(m.Answer.Body.Len())
		return f.answered(s, to, m)
	case link.LongAnswered:
		if !out.Answers.Take(m.Length) {
			s.Close()
			return Lost{Detail: "there is no room for the answer", Load: m.Answered.Load}
		}
		if m.Answered.Answer.Body, err = link.ReceiveParts(m.Length, s.Receive); err != nil {
			s.Close()
			return Lost{Detail: err.Error(), Load: m.Answered.Load}
		}
		return f.answered(s, to, m.Answered)
	case link.Failed:
		s.Release()
		if m.Unrun {
			return Unrun{Detail: m.Detail, ReachedTarget: !m.Unsent, Load: m.Load}
		}
		return Lost{Detail: m.Detail, Load: m.Load}
	default:
		s.Close()
		return Lost{Detail: "the gatekeeper sent an unexpected message in answer to a request"}
	}
}

// sendRequest sends a granted request, in parts if it is long and the gatekeeper takes them.
func sendRequest(s *link.Session, out request.Outbound, inParts bool) error {
	b := out.Body
	if !inParts || !link.IsLong(b) {
		return s.Send(link.Proceed{Request: out})
	}
	out.Body = body.Body{}
	return s.SendLong(link.LongProceed{Request: out, Length: b.Len()}, b)
}

// answered ends a session whose answer has arrived whole.
func (f *Forward) answered(s *link.Session, to ids.Address, m link.Answered) Result {
	s.Release()
	f.syncer.ObserveVersion(m.Version, to)
	if !backend.IsFinal(m.Answer.Status) {
		// A daemon of an older build passes such answers on.
		return Lost{Detail: "the answer has no status of a final answer", Load: m.Load}
	}
	return Answered{Answer: m.Answer, Load: m.Load, Failure: m.Failure}
}
