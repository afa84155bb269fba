// Package window counts good and bad events in sliding windows of minutes, hours and
// days, in constant memory.
//
// # Usage
//
//	var w window.Window
//	w.Add(now, true)
//	c := w.Last(now, time.Hour)
package window

import (
	"time"

	"balsamwharf.example/balsamwharf/internal/units"
)

const (
	finePeriod   = time.Minute
	fineSlots    = 60
	coarsePeriod = time.Hour
	coarseSlots  = 72
)

// Count is a number of good and bad events.
type Count struct {
	Good uint64 `json:"good" cbor:"1,keyasint"`
	Bad  uint64 `json:"bad" cbor:"2,keyasint"`
}

// Plus returns the sum of two counts.
func (c Count) Plus(o Count) Count { return Count{Good: c.Good + o.Good, Bad: c.Bad + o.Bad} }

// BadShare returns the share of bad events, from 0 to 1. It is 0 without events.
func (c Count) BadShare() float64 {
	if c.Good+c.Bad == 0 {
		return 0
	}
	return float64(c.Bad) / float64(c.Good+c.Bad)
}

// Window keeps one count per minute for the last hour and one per hour for the last
// three days, in ring buffers. The zero value is empty. It doesn't lock; its owner does.
type Window struct {
	minutes [fineSlots]slot
	hours   [coarseSlots]slot
}

// slot is the count of one period, which is numbered from instant 0.
type slot struct {
	period int64
	count  Count
}

// Add counts one event.
func (w *Window) Add(now units.Instant, good bool) {
	c := Count{Bad: 1}
	if good {
		c = Count{Good: 1}
	}
	add(w.minutes[:], int64(now)/int64(finePeriod), c)
	add(w.hours[:], int64(now)/int64(coarsePeriod), c)
}

// add adds c to the slot of a period. The slot may hold an older period, which it replaces.
func add(slots []slot, period int64, c Count) {
	s := &slots[period%int64(len(slots))]
	if s.period != period {
		*s = slot{period: period}
	}
	s.count = s.count.Plus(c)
}

// Last returns the count over the last span, up to three days. Spans up to an hour are
// exact to a minute, longer ones to an hour. The current minute or hour counts as whole.
func (w *Window) Last(now units.Instant, span time.Duration) Count {
	if span <= finePeriod*fineSlots {
		return sum(w.minutes[:], int64(now)/int64(finePeriod), int64(span/finePeriod))
	}
	return sum(w.hours[:], int64(now)/int64(coarsePeriod), int64(span/coarsePeriod))
}

// sum returns the count of the n periods up to the newest. Slots of older periods don't
// count.
func sum(slots []slot, newest, n int64) Count {
	var total Count
	for period := max(newest-n+1, 0); period <= newest; period++ {
		if s := slots[period%int64(len(slots))]; s.period == period {
			total = total.Plus(s.count)
		}
	}
	return total
}

// Series returns the 60 counts of the last hour, one per minute, oldest first.
func (w *Window) Series(now units.Instant) []Count {
	newest := int64(now) / int64(finePeriod)
	series := make([]Count, 0, fineSlots)
	for period := newest - fineSlots + 1; period <= newest; period++ {
		var c Count
		if period >= 0 && w.minutes[period%fineSlots].period == period {
			c = w.minutes[period%fineSlots].count
		}
		series = append(series, c)
	}
	return series
}
