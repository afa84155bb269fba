package linelog

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"balsamwharf.example/balsamwharf/internal/event"
)

// cause identifies lines about requests that report the same outcome. Lines of one cause
// are repeats of each other.
type cause struct {
	event  event.Event
	how    string
	reason string
	status int64
	// ordinary is set for requests that were served at the first attempt.
	ordinary bool
}

// causeOf returns the cause that a line's fields describe.
func causeOf(fields []zap.Field) cause {
	var c cause
	var sent int64
	for _, f := range fields {
		switch f.Key {
		case "event":
			c.event = event.Event(f.Integer)
		case "how":
			c.how = f.String
		case "reason":
			c.reason = f.String
		case "status":
			c.status = f.Integer
		case "sent":
			sent = f.Integer
		// These keys stand for a half-open probe and for a retry.
		case "trial", "repeat":
			if f.Type == zapcore.BoolType && f.Integer == 1 {
				c.how += " " + f.Key
			}
		}
	}
	switch c.event {
	case event.RequestServed:
		c.ordinary = sent <= 1
	case event.RequestForwarded:
		c.ordinary = c.how == "answered"
	}
	return c
}
