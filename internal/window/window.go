// Package window counts good and bad events over the last minutes, hours and days
// in bounded memory.
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

// BadShare returns the share of bad events; it is 0 without any.
func (c Count) BadShare() float64 {
	if c.Good+c.Bad == 0 {
		return 0
	}
	return float64(c.Bad) / float64(c.Good+c.Bad)
}

// Window keeps one count a minute for the last hour and one an hour for the last
// three days. The zero value is empty.
type Window struct {
	minutes [fineSlots]slot
	hours   [coarseSlots]slot
}

// slot is the count of one period; period is its number.
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

func add(slots []slot, period int64, c Count) {
	s := &slots[period%int64(len(slots))]
	if s.period != period {
		*s = slot{period: period}
	}
	s.count = s.count.Plus(c)
}

// Last returns the count of the last span, up to three days. Spans up to an hour
// are exact to a minute, longer ones to an hour.
func (w *Window) Last(now units.Instant, span time.Duration) Count {
	if span <= finePeriod*fineSlots {
		return sum(w.minutes[:], int64(now)/int64(finePeriod), int64(span/finePeriod))
	}
	return sum(w.hours[:], int64(now)/int64(coarsePeriod), int64(span/coarsePeriod))
}

func sum(slots []slot, newest, n int64) Count {
	var total Count
	for period := max(newest-n+1, 0); period <= newest; period++ {
		if s := slots[period%int64(len(slots))]; s.period == period {
			total = total.Plus(s.count)
		}
	}
	return total
}

// Series returns the counts of the last hour, one a minute, oldest first.
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
