package changelog_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/changelog"
)

func TestSince(t *testing.T) {
	var c changelog.Log[string]
	c.Add("a")
	c.Add("b")
	c.Add("a")
	got, next, whole := c.Since(0)
	must.Eq(t, []string{"a", "b"}, got)
	must.True(t, whole)
	got, _, whole = c.Since(next)
	must.SliceEmpty(t, got)
	must.True(t, whole)
}

func TestForgets(t *testing.T) {
	var c changelog.Log[int]
	for i := range 100_000 {
		c.Add(i)
	}
	_, next, whole := c.Since(0)
	must.False(t, whole)
	must.EqOp(t, 100_000, next)
}
