package balsam

import (
	"fmt"
	"io"
	"maps"
	"os"
	"slices"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/settings"
	"balsamwharf.example/balsamwharf/pkg/api"
)

// file is the argument of commands that read an INI file.
type file struct {
	Args struct {
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

// load reads and checks the file.
func (f *file) load() ([]settings.Named, error) {
	text, err := os.ReadFile(f.Args.File)
	if err != nil {
		return nil, fail(Usage, "%v", err)
	}
	list, err := settings.LoadShared(f.Args.File, text)
	if err != nil {
		return nil, fail(Usage, "%v", err)
	}
	return list, nil
}

// change is one section that differs from the fleet's.
type change struct {
	Path string            `json:"path"`
	Base uint64            `json:"base"`
	From map[string]string `json:"from"`
	To   map[string]string `json:"to"`
}

// changes compares the file's sections with the fleet's. Names that hold their
// default count as left out.
func (s *shell) changes(list []settings.Named) ([]change, error) {
	found := []change{}
	for _, n := range list {
		present, err := s.present(n.Path)
		if err != nil {
			return nil, err
		}
		to := settings.Values(n.Section)
		if present.Version != 0 && maps.Equal(present.Values, to) {
			continue
		}
		found = append(found, change{Path: string(n.Path), Base: present.Version, From: present.Values, To: to})
	}
	return found, nil
}

// apply publishes the sections that differ.
type apply struct {
	shell *shell
	waiting
	file
}

// Execute implements flags.Commander.
func (c *apply) Execute([]string) error {
	list, err := c.load()
	if err != nil {
		return err
	}
	changes, err := c.shell.changes(list)
	if err != nil {
		return err
	}
	receipts := []api.Receipt{}
	last := uint64(0)
	for _, ch := range changes {
		r, err := c.shell.submit(api.Edit{Path: ch.Path, Base: ch.Base, Values: ch.To}, false)
		if err != nil {
			return err
		}
		c.shell.progress("changed %s\n", ch.Path)
		receipts = append(receipts, r)
		last = max(last, r.Offset)
	}
	if c.Wait && last > 0 {
		if err := c.shell.await(last); err != nil {
			return err
		}
	}
	return c.shell.print(receipts, func(w io.Writer) {
		fmt.Fprintf(w, "%d of %d sections changed\n", len(receipts), len(list))
	})
}

// diff shows what apply would change.
type diff struct {
	shell *shell
	file
}

// Execute implements flags.Commander.
func (c *diff) Execute([]string) error {
	list, err := c.load()
	if err != nil {
		return err
	}
	changes, err := c.shell.changes(list)
	if err != nil {
		return err
	}
	return c.shell.print(changes, func(w io.Writer) {
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

// check validates a file without a daemon.
type check struct {
	shell *shell
	file
}

// Execute implements flags.Commander.
func (c *check) Execute([]string) error {
	list, err := c.load()
	if err != nil {
		return err
	}
	paths := []ids.Path{}
	for _, n := range list {
		paths = append(paths, n.Path)
	}
	return c.shell.print(paths, func(w io.Writer) { fmt.Fprintf(w, "%d sections are valid\n", len(paths)) })
}
