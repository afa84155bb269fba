// Package explain merges the log lines of several daemons about one request into a
// trace of it.
//
// # Usage
//
//	steps, err := explain.Steps("9c41d07be2a35f68", files)
//	for _, s := range steps { fmt.Println(s) }
//
// The order is causal: the lines of the entry daemon in the order in which it wrote them,
// and a gatekeeper's lines before the attempt or the end of the request that they led to.
// Timestamps are not used, since the daemons' clocks may differ. Requests that a target
// made while it served this one follow; their ids begin with the id of this one and a dot.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/joomcode/errorx"

	"balsamwharf.example/balsamwharf/internal/event"
)

// maxLine bounds one log line.
const maxLine = 1 << 20

// Step is one log line about the request.
type Step struct {
	// By is the daemon that wrote the line.
	By    string
	ID    string
	Event event.Event
	// Daemon is the daemon that the line is about, if any.
	Daemon string
	Fields map[string]any
}

// shownFields lists the fields that String prints, in this order.
var shownFields = []string{
	"how", "detail", "status", "verdict", "reason", "route", "service", "account", "rate", "holder", "version", "age", "daemon",
	"target", "sent", "after", "waited", "took", "timeout", "running", "waiting", "shut", "trial", "repeat",
}

// String returns the step as one line of text, without empty and false fields.
func (s Step) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s (%d)", s.By, s.Event.Name(), int(s.Event))
	for _, name := range shownFields {
		if v, ok := s.Fields[name]; ok && v != "" && v != false {
			fmt.Fprintf(&b, " %s=%v", name, v)
		}
	}
	return b.String()
}

// Steps returns the lines of the logs that are about the request. It skips lines without
// a log event and ignores the text before a line's first brace. It returns an error when
// a log can't be read or has a line of more than maxLine bytes.
func Steps(id string, logs []io.Reader) ([]Step, error) {
	var all []Step
	for _, log := range logs {
		steps, err := readLog(id, log)
		if err != nil {
			return nil, err
		}
		all = append(all, steps...)
	}
	return order(all), nil
}

func readLog(id string, log io.Reader) ([]Step, error) {
	var steps []Step
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		line := scanner.Bytes()
		at := bytes.IndexByte(line, '{')
		if at < 0 || !bytes.Contains(line, []byte(id)) {
			continue
		}
		if s, ok := parse(id, line[at:]); ok {
			steps = append(steps, s)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, errorx.Decorate(err, "read log")
	}
	return steps, nil
}

// parse returns the step of a line, and false when the line is no log event or is about
// another request.
func parse(id string, line []byte) (Step, bool) {
	s := Step{}
	if json.Unmarshal(line, &s.Fields) != nil {
		return s, false
	}
	s.By, s.ID, s.Daemon = text(s.Fields, "by"), text(s.Fields, "id"), text(s.Fields, "daemon")
	number, ok := s.Fields["event"].(float64)
	s.Event = event.Event(number)
	return s, ok && (s.ID == id || strings.HasPrefix(s.ID, id+"."))
}

// text returns a field as a string; it is empty when the field is missing or no string.
func text(fields map[string]any, name string) string {
	t, _ := fields[name].(string)
	return t
}

// order groups the steps by request, the one that was asked for first, and puts a
// gatekeeper's lines before those of the entry daemon that sent it the request.
func order(all []Step) []Step {
	var requests []string
	for _, s := range all {
		if !slices.Contains(requests, s.ID) {
			requests = append(requests, s.ID)
		}
	}
	slices.SortStableFunc(requests, func(a, b string) int { return len(a) - len(b) })
	var ordered []Step
	for _, id := range requests {
		var entryLines, gateLines []Step
		for _, s := range all {
			switch {
			case s.ID != id:
			case s.Event == event.RequestForwarded || s.Event == event.BreakerOpened || s.Event == event.BreakerClosed:
				gateLines = append(gateLines, s)
			default:
				entryLines = append(entryLines, s)
			}
		}
		ordered = append(ordered, interleave(entryLines, gateLines)...)
	}
	return ordered
}

// interleave puts a gatekeeper's lines before the first entry line about that gatekeeper
// that is not a decline. Those without such an entry line come last.
func interleave(entryLines, gateLines []Step) []Step {
	var merged []Step
	for _, s := range entryLines {
		// A gatekeeper that declines writes no line, and may get the request again later.
		declined := s.Fields["how"] == "declined"
		for i := 0; i < len(gateLines); {
			if declined || gateLines[i].By != s.Daemon {
				i++
				continue
			}
			merged = append(merged, gateLines[i])
			gateLines = slices.Delete(gateLines, i, i+1)
		}
		merged = append(merged, s)
	}
	return append(merged, gateLines...)
}
