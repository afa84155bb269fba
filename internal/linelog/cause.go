package linelog

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"balsamwharf.example/balsamwharf/internal/event"
)

// cause tells apart lines about requests that say different things.
type cause struct {
	event  event.Event
	how    string
	reason string
	status int64
	// ordinary is set for requests that were served at the first attempt.
	ordinary bool
}

// causeOf reads a line's fields.
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
		case "trial", "repeat":
			if f.Type == zapcore.BoolType && f.Integer == 1 {
				c.how += " " + f.Key
			}
		}
	}
	switch c.event {
	case event.RequestServed:
		c.ordinary = sent <= 1
	case event.TargetRan:
		c.ordinary = c.how == "answered"
	}
	return c
}
