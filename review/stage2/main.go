// Command stage2 starts the daemons of a small deployment as separate processes between stand-ins
// of the platform, the backend servers and the callers, and plays one case of the review.
//
// # Usage
//
//	stage2 --case memory --daemon target/balsammesh --template deploy/balsammesh.ini --record record.txt
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run. With
// TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"flag"
	"fmt"
	"os"
)

// The exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

// play plays one case and reports whether the rule was broken.
type play func(s *stage, trouble bool) (bool, error)

var cases = map[string]play{
	"memory":      playMemory,
	"quota":       playQuota,
	"lost":        playLost,
	"drain":       playDrain,
	"overwritten": playOverwritten,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "case to play")
	daemon := flag.String("daemon", "target/balsammesh", "program of the daemon")
	template := flag.String("template", "deploy/balsammesh.ini", "template of the daemon's settings")
	file := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	p, ok := cases[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", *name)
		return failed
	}
	s, err := openStage(*daemon, *template, *file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer s.close()
	go s.endOnSignal()
	trouble := os.Getenv("TROUBLE") != "0"
	s.record.note("case %s, disruption %t", *name, trouble)
	ruleBroken, err := p(s, trouble)
	switch {
	case err != nil:
		s.record.note("the case could not run: %v", err)
		return failed
	case ruleBroken:
		s.record.note("result: the rule was broken")
		return broken
	}
	s.record.note("result: the rule held")
	return held
}
