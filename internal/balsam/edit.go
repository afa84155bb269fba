package balsam

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/pkg/api"
)

const (
	inForcePollInterval = 200 * time.Millisecond
	// inForceTimeout is far longer than a change takes to be in force while the log
	// service and most witnesses work.
	inForceTimeout = time.Minute
)

// waitOption is the --wait option of commands that change settings.
type waitOption struct {
	Wait bool `long:"wait" description:"Wait until the change is in force everywhere"`
}

// submit sends one edit under a new id and returns its receipt. A result other than
// accepted is an error. With wait, it blocks until the edit is in force.
func (s *session) submit(e api.Edit, wait bool) (api.Receipt, error) {
	e.ID = rand.Text()
	r, err := s.client.Submit(s.ctx, e)
	if err != nil {
		return r, err
	}
	if err := resultError(e, r); err != nil {
		return r, err
	}
	if wait {
		return r, s.awaitInForce(r.Offset)
	}
	return r, nil
}

// resultError returns nil for an accepted edit, and otherwise an error that says why
// the edit failed and what to do next.
func resultError(e api.Edit, r api.Receipt) error {
	switch r.Result {
	case api.Accepted:
		return nil
	case api.Conflict:
		return exitErrorf(Conflict, "%s: not changed: %s (current version %d, edit based on version %d).\nCurrent values: %v\nRead it again with balsam get %s and repeat the change.",
			e.Path, r.Reason, r.Current, e.Base, r.Values, e.Path)
	case api.Denied:
		return exitErrorf(Denied, "%s: not changed: %s.\nUse the credential of the team that owns the path.", e.Path, r.Reason)
	case api.Invalid:
		return exitErrorf(Usage, "%s: not changed: %s.\ndocs/SETTINGS.md lists names and values.", e.Path, r.Reason)
	case api.Away:
		return exitErrorf(Unavailable, "%s: not accepted: %s.\nNothing was changed; repeat the command when the log service is back.", e.Path, r.Reason)
	default:
		return exitErrorf(Unknown, "%s: the change may have been made: %s.\nCheck later with balsam history %s; the edit's id is %s.", e.Path, r.Reason, e.Path, r.ID)
	}
}

// awaitInForce blocks until the record at the offset is in force and prints progress
// to standard error. It fails after inForceTimeout.
func (s *session) awaitInForce(offset uint64) error {
	ctx, cancel := context.WithTimeout(s.ctx, inForceTimeout)
	defer cancel()
	start := time.Now()
	for {
		f, err := s.client.Force(ctx, offset)
		if err == nil && f.Force {
			s.progressf("in force after %s\n", time.Since(start).Round(time.Millisecond))
			return nil
		}
		s.progressf("published at %d, in force up to %d\r", offset, f.Newest)
		select {
		case <-time.After(inForcePollInterval):
		case <-ctx.Done():
			return exitErrorf(Failed, "published at offset %d, but not in force after %s: too few witnesses answer; see balsam status", offset, time.Since(start).Round(time.Second))
		}
	}
}

// progressf writes to standard error, so that standard output holds nothing but JSON
// with --json.
func (s *session) progressf(format string, args ...any) { fmt.Fprintf(s.stderr, format, args...) }

// currentSection returns the published section at the path. If there is none, its
// version is 0 and its values are empty.
func (s *session) currentSection(path ids.Path) (api.Section, error) {
	list, err := s.client.Sections(s.ctx, string(path))
	if err != nil {
		return api.Section{}, err
	}
	for _, section := range list {
		if section.Path == string(path) {
			return section, nil
		}
	}
	return api.Section{Path: string(path), Values: map[string]string{}}, nil
}

// printAccepted prints the receipt of an accepted edit.
func (s *session) printAccepted(r api.Receipt, text string) error {
	return s.print(r, func(w io.Writer) { fmt.Fprintf(w, "%s (published at %d)\n", text, r.Offset) })
}
