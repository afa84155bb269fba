// Package settings holds the sections of the daemon's own INI file and of the
// shared settings that operators edit, with their documentation and checks.
//
// # Usage
//
//	d, err := settings.Load("balsamd.ini", text)   // *settings.Error names section, name and line
//	s, err := settings.Parse("teams/andrade/services/payments", values)
//
// The field tags are the source of docs/SETTINGS.md and of the default files.
package settings

import (
	"errors"
	"fmt"
	"math"
	"reflect"
	"strconv"
	"strings"
	"time"

	"balsamwharf.example/balsamwharf/internal/ids"
)

// Error reports an invalid setting and its location. File and Line are set only for
// settings that were read from a file; Name is empty if the error comes
// from a section's Check or concerns the section itself.
type Error struct {
	File    string
	Section string
	Name    string
	Line    int
	Reason  string
}

// Error implements error.
func (e *Error) Error() string {
	var b strings.Builder
	if e.File != "" {
		fmt.Fprintf(&b, "%s:%d: ", e.File, e.Line)
	}
	fmt.Fprintf(&b, "section [%s]", e.Section)
	if e.Name != "" {
		fmt.Fprintf(&b, " name %q", e.Name)
	}
	fmt.Fprintf(&b, ": %s", e.Reason)
	return b.String()
}

// Load parses and checks the text of balsamd.ini. It returns an Error with the line
// for each invalid section, which reports the section's first fault.
func Load(file string, text []byte) (Daemon, error) {
	var d Daemon
	parsed, err := parseINI(file, text)
	if err != nil {
		return d, err
	}
	return d, loadSections(file, text, parsed, map[string]any{
		"identity": &d.Identity,
		"listen":   &d.Listen,
		"trust":    &d.Trust,
		"platform": &d.Platform,
		"peers":    &d.Peers,
		"logging":  &d.Logging,
	})
}

// Parse parses and checks one section of the shared settings. Names that are missing from
// values get their defaults.
func Parse(path ids.Path, values map[string]string) (Section, error) {
	fail := func(err error) (Section, error) { return nil, locate(err, "", string(path), nil) }
	switch kind := KindOf(path); kind {
	case KindService:
		var s Service
		if err := decode(&s, values); err != nil {
			return fail(err)
		}
		return s, nil
	case KindRoute:
		var r Route
		if err := decode(&r, values); err != nil {
			return fail(err)
		}
		return r, nil
	case KindAccount:
		var a Account
		if err := decode(&a, values); err != nil {
			return fail(err)
		}
		return a, nil
	case KindKey:
		var k Key
		if err := decode(&k, values); err != nil {
			return fail(err)
		}
		return k, nil
	case KindTeam:
		var t Team
		if err := decode(&t, values); err != nil {
			return fail(err)
		}
		return t, nil
	default:
		return fail(errors.New("the path is not teams/TEAM or teams/TEAM/{services,routes,accounts,keys}/NAME"))
	}
}

// checker is implemented by the sections of the files and of the shared settings.
type checker interface{ Check() error }

// decode parses values into the struct that dst points to, by the field tags, and checks
// the result. Missing names get the default of their tag; an unknown name is an error.
func decode(dst any, values map[string]string) error {
	v := reflect.ValueOf(dst).Elem()
	known := map[string]bool{}
	for i := range v.NumField() {
		f := v.Type().Field(i)
		name := f.Tag.Get("ini")
		known[name] = true
		text, given := values[name]
		if !given {
			text = f.Tag.Get("default")
		}
		if err := setField(v.Field(i), text); err != nil {
			return &Error{Name: name, Reason: fmt.Sprintf("%q is not a %s", text, f.Tag.Get("unit"))}
		}
	}
	for name := range values {
		if !known[name] {
			return &Error{Name: name, Reason: "no such name"}
		}
	}
	if err := v.Interface().(checker).Check(); err != nil {
		return &Error{Reason: err.Error()}
	}
	return nil
}

var durationType = reflect.TypeOf(time.Duration(0))

// setField parses text into one field.
func setField(field reflect.Value, text string) error {
	if field.Type() == durationType {
		d, err := time.ParseDuration(text)
		field.SetInt(int64(d))
		return err
	}
	switch field.Kind() {
	case reflect.String:
		field.SetString(text)
	case reflect.Bool:
		return setBool(field, text)
	case reflect.Float64:
		f, err := strconv.ParseFloat(strings.TrimSuffix(text, "%"), 64)
		if math.IsNaN(f) || math.IsInf(f, 0) {
			return errors.New("not a finite number")
		}
		field.SetFloat(f)
		return err
	case reflect.Int:
		n, err := strconv.ParseInt(text, 10, 64)
		field.SetInt(n)
		return err
	case reflect.Slice:
		field.Set(reflect.ValueOf(splitList(text)))
	default:
		return fmt.Errorf("no parser for %s", field.Type())
	}
	return nil
}

func setBool(field reflect.Value, text string) error {
	switch text {
	case "yes", "true":
		field.SetBool(true)
	case "no", "false":
		field.SetBool(false)
	default:
		return errors.New("neither yes nor no")
	}
	return nil
}

func splitList(text string) []string {
	var list []string
	for item := range strings.SplitSeq(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			list = append(list, item)
		}
	}
	return list
}
