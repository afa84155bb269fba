package settings

import (
	"errors"

	"gopkg.in/ini.v1"

	"balsamwharf.example/balsamwharf/internal/ids"
)

// Shared is one section of a file with shared settings.
type Shared struct {
	Path   ids.Path
	Values map[string]string
}

// LoadShared reads a file whose sections are named by their paths, as in
// [teams/andrade/services/payments]. It checks all of them; each *Error names
// section, name and line.
func LoadShared(file string, text []byte) ([]Shared, error) {
	parsed, err := parseINI(file, text)
	if err != nil {
		return nil, err
	}
	lines := lineIndex(text)
	var all []Shared
	var errs []error
	for _, s := range parsed.Sections() {
		values := s.KeysHash()
		if s.Name() == ini.DefaultSection && len(values) == 0 {
			continue
		}
		if _, err := Parse(ids.Path(s.Name()), values); err != nil {
			errs = append(errs, locate(err, file, s.Name(), lines))
			continue
		}
		all = append(all, Shared{Path: ids.Path(s.Name()), Values: values})
	}
	return all, errors.Join(errs...)
}
