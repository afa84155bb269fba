package soak

import (
	"math/rand/v2"
	"time"

	"balsamwharf.example/balsamwharf/internal/standin"
)

const (
	// gap is the typical time between two events.
	gap = 3 * time.Second
	// typical is the typical time that a fault lasts; longest bounds it.
	typical = 6 * time.Second
	longest = 40 * time.Second
	// badTarget is how much longer a backend server misbehaves: until its fault is
	// detected and longer.
	badTarget = 20 * time.Second
	// outage is the longest time without a log service in runs of hours; others
	// are bounded by longest.
	outage    = 40 * time.Minute
	longSpan  = 2 * time.Hour
	longShare = 0.1
)

// Event is a fault with its time.
type Event struct {
	At    time.Duration
	Lasts time.Duration
	Fault Fault
}

// Schedule returns the events of a run. Every fault ends within the span.
func Schedule(seed uint64, span time.Duration) []Event {
	rng := rand.New(rand.NewPCG(seed, 0))
	var events []Event
	at := time.Duration(0)
	for {
		at += exp(rng, gap)
		if at >= span {
			return events
		}
		e := Event{At: at, Fault: draw(rng)}
		e.Lasts = min(exp(rng, typical), longest)
		if _, ok := e.Fault.(LogAway); ok && span >= longSpan && rng.Float64() < longShare {
			e.Lasts = time.Duration(rng.Float64() * float64(outage))
		}
		if _, ok := e.Fault.(BadTarget); ok {
			e.Lasts += badTarget
		}
		e.Lasts = min(e.Lasts, span-at)
		events = append(events, e)
	}
}

func exp(rng *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(rng.ExpFloat64() * float64(mean))
}

// draw draws a fault; all kinds are about as likely.
func draw(rng *rand.Rand) Fault {
	node := rng.IntN(daemons)
	switch rng.IntN(20) {
	case 0:
		return CutWay{From: node, To: (node + 1 + rng.IntN(daemons-1)) % daemons}
	case 1:
		return Mute{Node: node, Sends: rng.IntN(2) == 0}
	case 2:
		return SplitCentre{Centre: rng.IntN(len(centres))}
	case 3:
		return SlowNet{Delay: time.Duration(rng.IntN(200)) * time.Millisecond}
	case 4:
		return Pause{Node: node}
	case 5:
		return Kill{Node: node}
	case 6:
		return Restart{Node: node}
	case 7:
		return LogAway{}
	case 8:
		return LogSlow{Delay: time.Duration(rng.IntN(1500)) * time.Millisecond}
	case 9:
		return LogCut{Node: node}
	case 10:
		return LostReplies{Count: 1 + rng.IntN(3)}
	case 11:
		return DroppedAppends{Count: 1 + rng.IntN(3)}
	case 12:
		return Expire{}
	case 13:
		return Drain{Node: node}
	default:
		return drawRest(rng, node)
	}
}

func drawRest(rng *rand.Rand, node int) Fault {
	switch rng.IntN(6) {
	case 0:
		return Grant{}
	case 1:
		return Withdraw{Pick: rng.IntN(1 << 16)}
	case 2:
		return Race{Racers: 2 + rng.IntN(3), Pick: rng.IntN(1 << 16)}
	case 3:
		return Rate{To: limitsOf(rng.IntN(2) == 0)}
	default:
		return BadTarget{Node: node, How: drawTarget(rng)}
	}
}

func drawTarget(rng *rand.Rand) standin.Fault {
	switch rng.IntN(6) {
	case 0:
		return standin.Errs{Share: 0.3 + 0.7*rng.Float64()}
	case 1:
		return standin.Slow{Factor: 5}
	case 2:
		return standin.Hangs{}
	case 3:
		return standin.Cuts{}
	case 4:
		return standin.Refuses{}
	default:
		return standin.Flaps{Period: time.Second}
	}
}
