package readlease

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/units"
)

func TestHolds(t *testing.T) {
	const asked = units.Instant(time.Minute)
	tests := []struct {
		name     string
		e        Evidence
		after    time.Duration
		position ids.Offset
		want     bool
	}{
		{"fresh", Of(5, asked), 0, 5, true},
		{"at a later position", Of(5, asked), 0, 6, true},
		{"at an earlier position", Of(5, asked), 0, 4, false},
		{"just before the end", Of(5, asked), Duration - 1, 5, true},
		{"at the end", Of(5, asked), Duration, 5, false},
		{"told, with its age", Told(5, asked, time.Second), Duration - time.Second, 5, false},
		{"none", Evidence{}, 0, 5, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			must.EqOp(t, tt.want, tt.e.Holds(asked.Add(tt.after), tt.position))
		})
	}
}

func TestNewer(t *testing.T) {
	old, young, ahead := Of(3, 10), Of(5, 20), Of(9, 30)
	must.Eq(t, young, Newer(old, young, 5))
	must.Eq(t, young, Newer(young, old, 5))
	must.Eq(t, young, Newer(young, ahead, 5))
	must.Eq(t, old, Newer(young, old, 4))
}
