package entry

import (
	"context"
	"time"

	"balsamwharf.example/balsamwharf/internal/call"
	"balsamwharf.example/balsamwharf/internal/directory"
	"balsamwharf.example/balsamwharf/pkg/verdict"
)

// attemptResult is the result of one of the two attempts at a hedged request.
type attemptResult struct {
	// number is 0 for the first attempt and 1 for the second.
	number int
	answer *call.Answer
	err    error
}

// sendHedged sends the request to the first target and, if that doesn't answer within
// delay, to a second one. It returns the answer that comes first and cancels the other
// attempt.
func (e *Entry) sendHedged(ctx context.Context, f *forwarding, first directory.Candidate, delay time.Duration) (*call.Answer, error) {
	results := make(chan attemptResult, 2)
	cancels := []context.CancelFunc{e.startAttempt(ctx, f, first, 0, results)}
	timeout, stop := e.Common.Clock.WithTimeout(ctx, delay)
	defer stop()
	pending := 1
	var failed error
	for pending > 0 {
		select {
		case r := <-results:
			pending--
			if r.err == nil {
				return useWinner(r, cancels, results, pending), nil
			}
			failed = worse(failed, r.err)
		case <-timeout.Done():
			timeout = context.WithoutCancel(ctx)
			if second, ok := e.hedgeTarget(ctx, f); ok {
				cancels = append(cancels, e.startAttempt(ctx, f, second, 1, results))
				pending++
			}
		}
	}
	for _, cancel := range cancels {
		cancel()
	}
	return nil, failed
}

// hedgeTarget chooses the second target. It returns false if there is none or the
// service's retry budget is exhausted.
func (e *Entry) hedgeTarget(ctx context.Context, f *forwarding) (directory.Candidate, bool) {
	if ctx.Err() != nil || len(e.directory.Targets(f.head.Service)) <= len(f.tried) || !f.service.tryWithdraw() {
		return directory.Candidate{}, false
	}
	target, err := e.chooseTarget(f)
	if err != nil {
		return target, false
	}
	e.counters.hedges.Inc(1)
	return target, true
}

// startAttempt sends the request in a goroutine, which delivers the result to results.
func (e *Entry) startAttempt(ctx context.Context, f *forwarding, to directory.Candidate, number int, results chan<- attemptResult) context.CancelFunc {
	ctx, cancel := context.WithCancel(ctx)
	attempt := len(f.tried)
	go func() {
		answer, err := e.send(ctx, f, to, attempt)
		results <- attemptResult{number: number, answer: answer, err: err}
	}()
	return cancel
}

// useWinner returns the answer of the attempt that answered first and cancels the other
// one. The winner's context is cancelled when its body is closed.
func useWinner(r attemptResult, cancels []context.CancelFunc, results <-chan attemptResult, pending int) *call.Answer {
	for number, cancel := range cancels {
		if number != r.number {
			cancel()
		}
	}
	if pending > 0 {
		go closeLoser(results)
	}
	r.answer.Body = &hookedBody{ReadCloser: r.answer.Body, onClose: cancels[r.number]}
	return r.answer
}

// closeLoser waits for the result of the cancelled attempt. Its answer may have arrived
// just before the cancellation, and then its body must be closed.
func closeLoser(results <-chan attemptResult) {
	if r := <-results; r.answer != nil {
		_ = r.answer.Body.Close()
	}
}

// worse returns the error with the weaker guarantee: one after which the request may have
// been executed, before one after which it was not.
func worse(a, b error) error {
	if a == nil || verdict.Of(a) == verdict.Unrun {
		return b
	}
	return a
}
