package balsam

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"balsamwharf.example/balsamwharf/pkg/api"
)

// get prints published sections as INI.
type get struct {
	session *session
	Args    struct {
		Path string `positional-arg-name:"PATH" description:"Start of the paths to print; all when left out"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *get) Execute([]string) error {
	list, err := c.session.client.Sections(c.session.ctx, c.session.resolvePrefix(c.Args.Path))
	if err != nil {
		return err
	}
	return c.session.print(list, func(w io.Writer) { writeINI(w, list) })
}

// writeINI writes sections in the format that apply reads.
func writeINI(w io.Writer, list []api.Section) {
	for i, s := range list {
		if i > 0 {
			fmt.Fprintln(w)
		}
		fmt.Fprintf(w, "; version %d\n[%s]\n", s.Version, s.Path)
		for _, name := range slices.Sorted(maps.Keys(s.Values)) {
			fmt.Fprintf(w, "%s = %s\n", name, s.Values[name])
		}
	}
}
