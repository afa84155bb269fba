package readlease

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/units"
)

func TestHolds(t *testing.T) {
	const queriedAt = units.Instant(time.Minute)
	tests := []struct {
		name     string
		lease    Lease
		after    time.Duration
		position ids.Offset
		want     bool
	}{
		{"fresh", New(5, queriedAt), 0, 5, true},
		{"at a later position", New(5, queriedAt), 0, 6, true},
		{"at an earlier position", New(5, queriedAt), 0, 4, false},
		{"just before the end", New(5, queriedAt), Duration - 1, 5, true},
		{"at the end", New(5, queriedAt), Duration, 5, false},
		{"told, with its age", FromPeer(5, queriedAt, time.Second), Duration - time.Second, 5, false},
		{"none", Lease{}, 0, 5, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			must.EqOp(t, tt.want, tt.lease.Covers(queriedAt.Add(tt.after), tt.position))
		})
	}
}

func TestNewer(t *testing.T) {
	old, young, ahead := New(3, 10), New(5, 20), New(9, 30)
	must.Eq(t, young, Longer(old, young, 5))
	must.Eq(t, young, Longer(young, old, 5))
	must.Eq(t, young, Longer(young, ahead, 5))
	must.Eq(t, old, Longer(young, old, 4))
}
