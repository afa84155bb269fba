package settings

import (
	"errors"
	"strings"

	"gopkg.in/ini.v1"
)

// lineKey identifies a setting by section and name, or with an empty name the header of
// the section.
type lineKey struct {
	section string
	name    string
}

func parseINI(file string, text []byte) (*ini.File, error) {
	parsed, err := ini.LoadSources(ini.LoadOptions{SpaceBeforeInlineComment: true}, text)
	if err != nil {
		return nil, &Error{File: file, Reason: err.Error()}
	}
	return parsed, nil
}

// lineIndex maps each section header and setting to its line number, counted from 1. The
// INI library does not report line numbers.
func lineIndex(text []byte) map[lineKey]int {
	lines := map[lineKey]int{}
	section := ""
	number := 0
	for line := range strings.Lines(string(text)) {
		number++
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			section = strings.Trim(line, "[]")
			lines[lineKey{section: section}] = number
			continue
		}
		if name, _, ok := strings.Cut(line, "="); ok {
			lines[lineKey{section: section, name: strings.TrimSpace(name)}] = number
		}
	}
	return lines
}

// locate adds file, section and line to an error of decode. A setting that is not in the
// file gets the line of its section's header.
func locate(err error, file, section string, lines map[lineKey]int) error {
	var e *Error
	if !errors.As(err, &e) {
		e = &Error{Reason: err.Error()}
	}
	located := *e
	located.File = file
	located.Section = section
	located.Line = lines[lineKey{section: section, name: e.Name}]
	if located.Line == 0 {
		located.Line = lines[lineKey{section: section}]
	}
	return &located
}
