package balsam

import (
	"fmt"
	"io"
	"maps"
	"os"
	"slices"

	"balsamwharf.example/balsamwharf/internal/settings"
	"balsamwharf.example/balsamwharf/pkg/api"
)

// inputFile is the positional argument of commands that read an INI file.
type inputFile struct {
	Args struct {
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

// load reads the file and validates its sections. A file that can't be read or is
// invalid gives a Usage error.
func (f *inputFile) load() ([]settings.NamedSection, error) {
	text, err := os.ReadFile(f.Args.File)
	if err != nil {
		return nil, exitErrorf(Usage, "%v", err)
	}
	list, err := settings.LoadShared(f.Args.File, text)
	if err != nil {
		return nil, exitErrorf(Usage, "%v", err)
	}
	return list, nil
}

// change is a section whose values in the file differ from those published in the
// fleet. Base is the published version, 0 when the section doesn't exist yet.
type change struct {
	Path string            `json:"path"`
	Base uint64            `json:"base"`
	From map[string]string `json:"from"`
	To   map[string]string `json:"to"`
}

// changes returns the sections that differ from the published ones. A name set to
// its default value is treated as omitted.
func (s *session) changes(list []settings.NamedSection) ([]change, error) {
	changed := []change{}
	for _, n := range list {
		current, err := s.currentSection(n.Path)
		if err != nil {
			return nil, err
		}
		to := settings.Values(n.Section)
		if current.Version != 0 && maps.Equal(current.Values, to) {
			continue
		}
		changed = append(changed, change{Path: string(n.Path), Base: current.Version, From: current.Values, To: to})
	}
	return changed, nil
}

// apply publishes the sections of a file that differ from the published ones.
type apply struct {
	session *session
	waitOption
	inputFile
}

// Execute implements flags.Commander.
func (c *apply) Execute([]string) error {
	list, err := c.load()
	if err != nil {
		return err
	}
	changes, err := c.session.changes(list)
	if err != nil {
		return err
	}
	receipts := []api.Receipt{}
	last := uint64(0)
	for _, ch := range changes {
		r, err := c.session.submit(api.Edit{Path: ch.Path, Base: ch.Base, Values: ch.To}, false)
		if err != nil {
			return err
		}
		c.session.progressf("changed %s\n", ch.Path)
		receipts = append(receipts, r)
		last = max(last, r.Offset)
	}
	if c.Wait && last > 0 {
		if err := c.session.awaitInForce(last); err != nil {
			return err
		}
	}
	return c.session.print(receipts, func(w io.Writer) {
		fmt.Fprintf(w, "%d of %d sections changed\n", len(receipts), len(list))
	})
}

// diff prints what apply would change, without publishing it.
type diff struct {
	session *session
	inputFile
}

// Execute implements flags.Commander.
func (c *diff) Execute([]string) error {
	list, err := c.load()
	if err != nil {
		return err
	}
	changes, err := c.session.changes(list)
	if err != nil {
		return err
	}
	return c.session.print(changes, func(w io.Writer) {
		for _, ch := range changes {
			writeChange(w, ch)
		}
	})
}

func writeChange(w io.Writer, ch change) {
	fmt.Fprintf(w, "[%s]\n", ch.Path)
	names := maps.Clone(ch.From)
	if names == nil {
		names = map[string]string{}
	}
	maps.Copy(names, ch.To)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		from, had := ch.From[name]
		to, has := ch.To[name]
		if had && from != to || had && !has {
			fmt.Fprintf(w, "- %s = %s\n", name, from)
		}
		if has && from != to || has && !had {
			fmt.Fprintf(w, "+ %s = %s\n", name, to)
		}
	}
}
