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
	// inForceTimeout is far over the time in which a change is in force when the log
	// and most witnesses work.
	inForceTimeout = time.Minute
)

// waitOption is the option of commands that change settings.
type waitOption struct {
	Wait bool `long:"wait" description:"Wait until the change is in force everywhere"`
}

// submit sends one edit, prints what became of it and waits when asked to.
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

// resultError turns a result other than accepted into an error that says what to do.
func resultError(e api.Edit, r api.Receipt) error {
	switch r.Result {
	case api.Accepted:
		return nil
	case api.Conflict:
		return exitErrorf(Conflict, "%s: not changed, because %s (version %d now, edit based on %d).\nIt holds now: %v\nRead it again with balsam get %s and repeat the change.",
			e.Path, r.Reason, r.Current, e.Base, r.Values, e.Path)
	case api.Denied:
		return exitErrorf(Denied, "%s: not changed: %s.\nUse the credential of the team that owns the path.", e.Path, r.Reason)
	case api.Invalid:
		return exitErrorf(Usage, "%s: not changed: %s.\ndocs/SETTINGS.md lists names and values.", e.Path, r.Reason)
	case api.Away:
		return exitErrorf(Unavailable, "%s: not accepted: %s.\nNothing was changed; repeat the command when the log service is back.", e.Path, r.Reason)
	default:
		return exitErrorf(Unknown, "%s: the change may have been made: %s.\nAsk later with balsam history %s; the edit's id is %s.", e.Path, r.Reason, e.Path, r.ID)
	}
}

// awaitInForce waits until the record is in force, with a line that shows progress.
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
			return exitErrorf(Failed, "published at %d, but not in force after %s: too few witnesses answer; see balsam status", offset, time.Since(start).Round(time.Second))
		}
	}
}

// progressf writes to standard error, so that JSON output stays clean.
func (s *session) progressf(format string, args ...any) { fmt.Fprintf(s.stderr, format, args...) }

// currentSection returns the section at the path; the version is 0 when there is none.
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

// printAccepted prints an accepted edit.
func (s *session) printAccepted(r api.Receipt, text string) error {
	return s.print(r, func(w io.Writer) { fmt.Fprintf(w, "%s (published at %d)\n", text, r.Offset) })
}
