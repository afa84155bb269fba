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
	fine        = time.Minute
	fineCount   = 60
	coarse      = time.Hour
	coarseCount = 72
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
	minutes [fineCount]slot
	hours   [coarseCount]slot
}

// slot is the count of one period; number tells which.
type slot struct {
	number int64
	count  Count
}

// Add counts one event.
func (w *Window) Add(now units.Instant, good bool) {
	c := Count{Bad: 1}
	if good {
		c = Count{Good: 1}
	}
	add(w.minutes[:], int64(now)/int64(fine), c)
	add(w.hours[:], int64(now)/int64(coarse), c)
}

func add(slots []slot, number int64, c Count) {
	s := &slots[number%int64(len(slots))]
	if s.number != number {
		*s = slot{number: number}
	}
	s.count = s.count.Plus(c)
}

// Last returns the count of the last span, up to three days. Spans up to an hour
// are exact to a minute, longer ones to an hour.
func (w *Window) Last(now units.Instant, span time.Duration) Count {
	if span <= fine*fineCount {
		return sum(w.minutes[:], int64(now)/int64(fine), int64(span/fine))
	}
	return sum(w.hours[:], int64(now)/int64(coarse), int64(span/coarse))
}

func sum(slots []slot, newest, n int64) Count {
	var total Count
	for number := max(newest-n+1, 0); number <= newest; number++ {
		if s := slots[number%int64(len(slots))]; s.number == number {
			total = total.Plus(s.count)
		}
	}
	return total
}

// Series returns the counts of the last hour, one a minute, oldest first.
func (w *Window) Series(now units.Instant) []Count {
	newest := int64(now) / int64(fine)
	series := make([]Count, 0, fineCount)
	for number := newest - fineCount + 1; number <= newest; number++ {
		var c Count
		if number >= 0 && w.minutes[number%fineCount].number == number {
			c = w.minutes[number%fineCount].count
		}
		series = append(series, c)
	}
	return series
}
