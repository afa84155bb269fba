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
	forcePause = 200 * time.Millisecond
	// forceLimit is far over the time in which a change is in force when the log
	// and most witnesses work.
	forceLimit = time.Minute
)

// waiting is the option of commands that change settings.
type waiting struct {
	Wait bool `long:"wait" description:"Wait until the change is in force everywhere"`
}

// submit sends one edit, prints what became of it and waits when asked to.
func (s *shell) submit(e api.Edit, wait bool) (api.Receipt, error) {
	e.ID = rand.Text()
	r, err := s.client.Submit(s.ctx, e)
	if err != nil {
		return r, err
	}
	if err := outcome(e, r); err != nil {
		return r, err
	}
	if wait {
		return r, s.await(r.Offset)
	}
	return r, nil
}

// outcome turns a result other than accepted into an error that says what to do.
func outcome(e api.Edit, r api.Receipt) error {
	switch r.Result {
	case api.Accepted:
		return nil
	case api.Conflict:
		return fail(Conflict, "%s: not changed, because %s (version %d now, edit based on %d).\nIt holds now: %v\nRead it again with balsam get %s and repeat the change.",
			e.Path, r.Reason, r.Current, e.Base, r.Values, e.Path)
	case api.Denied:
		return fail(Denied, "%s: not changed: %s.\nUse the credential of the team that owns the path.", e.Path, r.Reason)
	case api.Invalid:
		return fail(Usage, "%s: not changed: %s.\ndocs/SETTINGS.md lists names and values.", e.Path, r.Reason)
	case api.Away:
		return fail(Away, "%s: not accepted: %s.\nNothing was changed; repeat the command when the log service is back.", e.Path, r.Reason)
	default:
		return fail(Unknown, "%s: the change may have been made: %s.\nAsk later with balsam history %s; the edit's id is %s.", e.Path, r.Reason, e.Path, r.ID)
	}
}

// await waits until the record is in force, with a line that shows progress.
func (s *shell) await(at uint64) error {
	ctx, cancel := context.WithTimeout(s.ctx, forceLimit)
	defer cancel()
	began := time.Now()
	for {
		f, err := s.client.Force(ctx, at)
		if err == nil && f.Force {
			s.progress("in force after %s\n", time.Since(began).Round(time.Millisecond))
			return nil
		}
		s.progress("published at %d, in force up to %d\r", at, f.Newest)
		select {
		case <-time.After(forcePause):
		case <-ctx.Done():
			return fail(Failed, "published at %d, but not in force after %s: too few witnesses answer; see balsam status", at, time.Since(began).Round(time.Second))
		}
	}
}

// progress writes to standard error, so that JSON output stays clean.
func (s *shell) progress(format string, args ...any) { fmt.Fprintf(s.err, format, args...) }

// present returns the section at the path; the version is 0 when there is none.
func (s *shell) present(path ids.Path) (api.Section, error) {
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

// done prints an accepted edit.
func (s *shell) done(r api.Receipt, text string) error {
	return s.print(r, func(w io.Writer) { fmt.Fprintf(w, "%s (published at %d)\n", text, r.Offset) })
}
