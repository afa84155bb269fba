package balsam

import (
	"strings"

	"balsamwharf.example/balsamwharf/internal/settings"
	"balsamwharf.example/balsamwharf/pkg/api"
)

// set changes the given names of a section, keeps its other names, and creates the
// section if there is none.
type set struct {
	session *session
	waitOption
	Args struct {
		Path   string   `positional-arg-name:"PATH" required:"yes"`
		Values []string `positional-arg-name:"NAME=VALUE" required:"1"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *set) Execute([]string) error {
	path, err := c.session.resolvePath(c.Args.Path)
	if err != nil {
		return err
	}
	section, err := c.session.currentSection(path)
	if err != nil {
		return err
	}
	for _, text := range c.Args.Values {
		name, value, ok := strings.Cut(text, "=")
		if !ok {
			return exitErrorf(Usage, "argument %q is not of the form NAME=VALUE", text)
		}
		section.Values[strings.TrimSpace(name)] = strings.TrimSpace(value)
	}
	if _, err := settings.Parse(path, section.Values); err != nil {
		return exitErrorf(Usage, "%v", err)
	}
	r, err := c.session.submit(api.Edit{Path: string(path), Base: section.Version, Values: section.Values}, c.Wait)
	if err != nil {
		return err
	}
	return c.session.printAccepted(r, "changed "+string(path))
}

// remove removes a section.
type remove struct {
	session *session
	waitOption
	Args struct {
		Path string `positional-arg-name:"PATH" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *remove) Execute([]string) error {
	path, err := c.session.resolvePath(c.Args.Path)
	if err != nil {
		return err
	}
	r, err := c.session.removeSection(path, c.Wait)
	if err != nil {
		return err
	}
	return c.session.printAccepted(r, "removed "+string(path))
}
