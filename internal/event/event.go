// Package event holds the catalogue of numbered log events.
//
// Every log line of a daemon is one event with a number that never changes.
// docs/EVENTS.md is generated from this catalogue.
//
// # Usage
//
//	log.Info(event.DaemonStarted, zap.String("daemon", string(id)))
package event

import (
	"fmt"
	"sort"

	"go.uber.org/zap"
)

// Event is the number of a kind of log line.
type Event int

// Subject is what an event's lines are about.
type Subject string

// The subjects.
const (
	// State lines report a change in the daemon's state or in what it knows of others. They
	// are rare.
	State Subject = "belief"
	// Request lines report on one request each.
	Request Subject = "request"
)

// entry describes one event for the catalogue.
type entry struct {
	name    string
	text    string
	subject Subject
}

// catalogue holds the events that the variables of this package define.
var catalogue = map[Event]entry{}

// define adds an event to the catalogue. It panics on a number that is defined twice,
// which every test run shows.
func define(number int, name, text string) Event {
	return add(number, entry{name: name, text: text, subject: State})
}

// defineRequest adds an event whose lines are about one request each.
func defineRequest(number int, name, text string) Event {
	return add(number, entry{name: name, text: text, subject: Request})
}

func add(number int, added entry) Event {
	e := Event(number)
	if old, ok := catalogue[e]; ok {
		panic(fmt.Sprintf("event %d is defined as %s and as %s", number, old.name, added.name))
	}
	catalogue[e] = added
	return e
}

// Name returns the event's one-word name.
func (e Event) Name() string { return catalogue[e].name }

// Text returns the event's description for operators.
func (e Event) Text() string { return catalogue[e].text }

// Subject returns what the event's lines are about.
func (e Event) Subject() Subject { return catalogue[e].subject }

// Field returns the log field with the event's number.
func (e Event) Field() zap.Field { return zap.Int("event", int(e)) }

// All returns every event in order of number.
func All() []Event {
	all := make([]Event, 0, len(catalogue))
	for e := range catalogue {
		all = append(all, e)
	}
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	return all
}
