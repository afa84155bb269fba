package demo

import (
	"time"
)

// User names one of the two first users, whose sizes the demo takes.
type User string

// The users.
const (
	Andrade   User = "andrade"
	Padippura User = "padippura"
)

// Options is the command line of the demo.
type Options struct {
	Seed        uint64        `long:"seed" default:"1" description:"Seed of arrivals, choices and faults"`
	User        User          `long:"user" default:"andrade" choice:"andrade" choice:"padippura" description:"Whose services and sizes to run"`
	Length      time.Duration `long:"length" default:"30s" description:"How long callers send requests"`
	Fault       string        `long:"fault" default:"errs" choice:"errs" choice:"slow" choice:"hangs" choice:"cuts" choice:"flaps" choice:"refuses" choice:"none" description:"What the failing backend server does"`
	StoreOutage bool          `long:"store-outage" description:"Take the log service away for the middle half of the run"`
	Restart     bool          `long:"restart" description:"Restart a daemon in the middle of the run"`
	Verbose     bool          `long:"verbose" description:"Log the daemons' events"`
}
