package entry

import (
	"context"
	"time"

	"balsamwharf.example/balsamwharf/internal/call"
	"balsamwharf.example/balsamwharf/internal/directory"
	"balsamwharf.example/balsamwharf/pkg/verdict"
)

// try is how one of two attempts at a request ended.
type try struct {
	// number is 0 for the first attempt and 1 for the second.
	number int
	answer *call.Answer
	err    error
}

// hedged sends the request to a second target when the first has not answered in
// time, takes the first answer and cancels the other.
func (e *Entry) hedged(ctx context.Context, j *journey, first directory.Candidate, late time.Duration) (*call.Answer, error) {
	tries := make(chan try, 2)
	cancels := []context.CancelFunc{e.start(ctx, j, first, 0, tries)}
	timeout, stop := e.Common.Clock.Within(ctx, late)
	defer stop()
	pending := 1
	var failed error
	for pending > 0 {
		select {
		case t := <-tries:
			pending--
			if t.err == nil {
				return won(t, cancels, tries, pending), nil
			}
			failed = worse(failed, t.err)
		case <-timeout.Done():
			timeout = context.WithoutCancel(ctx)
			if second, ok := e.second(ctx, j); ok {
				cancels = append(cancels, e.start(ctx, j, second, 1, tries))
				pending++
			}
		}
	}
	for _, cancel := range cancels {
		cancel()
	}
	return nil, failed
}

// second picks the target of a hedge, within the service's budget.
func (e *Entry) second(ctx context.Context, j *journey) (directory.Candidate, bool) {
	if ctx.Err() != nil || len(e.directory.Targets(j.head.Service)) <= len(j.tried) || !j.memory.spend() {
		return directory.Candidate{}, false
	}
	target, err := e.choose(j)
	if err != nil {
		return target, false
	}
	e.counts.hedges.Inc(1)
	return target, true
}

// start begins one attempt.
func (e *Entry) start(ctx context.Context, j *journey, to directory.Candidate, number int, tries chan<- try) context.CancelFunc {
	ctx, cancel := context.WithCancel(ctx)
	attempt := len(j.tried)
	go func() {
		answer, err := e.send(ctx, j, to, attempt)
		tries <- try{number: number, answer: answer, err: err}
	}()
	return cancel
}

// won returns the answer of the attempt that came first and cancels the other.
func won(t try, cancels []context.CancelFunc, tries <-chan try, pending int) *call.Answer {
	for number, cancel := range cancels {
		if number != t.number {
			cancel()
		}
	}
	if pending > 0 {
		go discard(tries)
	}
	t.answer.Body = &closing{ReadCloser: t.answer.Body, then: cancels[t.number]}
	return t.answer
}

// discard waits for the attempt that lost, because its answer must be closed
// when it had just come.
func discard(tries <-chan try) {
	if t := <-tries; t.answer != nil {
		_ = t.answer.Body.Close()
	}
}

// worse returns the error with the verdict that promises less.
func worse(a, b error) error {
	if a == nil || verdict.Of(a) == verdict.Unrun {
		return b
	}
	return a
}
