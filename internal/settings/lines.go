package settings

import (
	"errors"
	"strings"

	"gopkg.in/ini.v1"
)

// position is a name within a section; the empty name is the section itself.
type position struct {
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

// lineIndex maps each section and name to its line, which the INI library does
// not report.
func lineIndex(text []byte) map[position]int {
	lines := map[position]int{}
	section := ""
	number := 0
	for line := range strings.Lines(string(text)) {
		number++
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			section = strings.Trim(line, "[]")
			lines[position{section: section}] = number
			continue
		}
		if name, _, ok := strings.Cut(line, "="); ok {
			lines[position{section: section, name: strings.TrimSpace(name)}] = number
		}
	}
	return lines
}

// locate adds file, section and line to an error of decode.
func locate(err error, file, section string, lines map[position]int) error {
	var e *Error
	if !errors.As(err, &e) {
		e = &Error{Reason: err.Error()}
	}
	located := *e
	located.File = file
	located.Section = section
	located.Line = lines[position{section: section, name: e.Name}]
	if located.Line == 0 {
		located.Line = lines[position{section: section}]
	}
	return &located
}
