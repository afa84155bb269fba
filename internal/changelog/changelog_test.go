package changelog_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/changelog"
)

func TestSince(t *testing.T) {
	var l changelog.Log[string]
	l.Add("a")
	l.Add("b")
	l.Add("a")
	got, next, complete := l.Since(0)
	must.Eq(t, []string{"a", "b"}, got)
	must.True(t, complete)
	got, _, complete = l.Since(next)
	must.SliceEmpty(t, got)
	must.True(t, complete)
}

func TestForgets(t *testing.T) {
	var l changelog.Log[int]
	for i := range 100_000 {
		l.Add(i)
	}
	_, next, complete := l.Since(0)
	must.False(t, complete)
	must.EqOp(t, 100_000, next)
}
