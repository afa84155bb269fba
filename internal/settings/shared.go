package settings

import (
	"errors"

	"gopkg.in/ini.v1"

	"balsamwharf.example/balsamwharf/internal/ids"
)

// NamedSection is a section of the shared settings with its path.
type NamedSection struct {
	Path    ids.Path
	Section Section
}

// LoadShared reads sections of the shared settings from the text of an INI file. It
// returns the valid sections, and an Error with the line for each invalid one, which
// reports the section's first fault.
func LoadShared(file string, text []byte) ([]NamedSection, error) {
	parsed, err := parseINI(file, text)
	if err != nil {
		return nil, err
	}
	lines := lineIndex(text)
	var sections []NamedSection
	var errs []error
	for _, s := range parsed.Sections() {
		if s.Name() == ini.DefaultSection {
			if len(s.Keys()) > 0 {
				errs = append(errs, &Error{File: file, Name: s.Keys()[0].Name(), Line: lines[lineKey{name: s.Keys()[0].Name()}], Reason: "stands before the first section"})
			}
			continue
		}
		section, err := Parse(ids.Path(s.Name()), s.KeysHash())
		if err != nil {
			errs = append(errs, locate(err, file, s.Name(), lines))
			continue
		}
		sections = append(sections, NamedSection{Path: ids.Path(s.Name()), Section: section})
	}
	return sections, errors.Join(errs...)
}
