package verdict_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/pkg/verdict"
)

// A request whose error carries no valid verdict counts as Maybe, since it may have run.
func TestOf(t *testing.T) {
	cause := errors.New("cut")
	cases := []struct {
		name string
		err  error
		want verdict.Verdict
	}{
		{"unrun", verdict.New(verdict.Unrun, 503, "full"), verdict.Unrun},
		{"wrapped", fmt.Errorf("outer: %w", verdict.Wrap(verdict.Unrun, 503, "full", cause)), verdict.Unrun},
		{"no verdict", cause, verdict.Maybe},
		{"an invalid verdict", verdict.New("perhaps", 503, "?"), verdict.Maybe},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { must.EqOp(t, c.want, verdict.Of(c.err)) })
	}
}

func TestAfterCopies(t *testing.T) {
	first := verdict.New(verdict.Unrun, 429, "over")
	later := first.After(time.Second)
	must.EqOp(t, time.Second, later.RetryAfter)
	must.EqOp(t, 0, first.RetryAfter)
}
