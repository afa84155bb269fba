package settings_test

import (
	"errors"
	"testing"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/ids"
	"balsamwharf.example/balsamwharf/internal/settings"
)

// FuzzLoad checks that Load does not panic and that each error is an Error with the file's name.
func FuzzLoad(f *testing.F) {
	f.Add([]byte("[identity]\ndaemon = vm1\ncentre = north\n"))
	f.Add([]byte("[platform]\nlog = http://127.0.0.1:1\ntimeout = 1x\n"))
	f.Add([]byte("[identity\n"))
	f.Add([]byte("stray = 1\n[peers]\nseeds = a@b, c"))
	f.Fuzz(func(t *testing.T, text []byte) {
		_, err := settings.Load("balsamd.ini", text)
		if err == nil {
			return
		}
		var e *settings.Error
		must.True(t, errors.As(err, &e))
		must.EqOp(t, "balsamd.ini", e.File)
	})
}

// FuzzParse checks that Values and Parse round-trip: parsing the values of a section
// gives the same section.
func FuzzParse(f *testing.F) {
	f.Add("teams/a/accounts/b", "rate", "2.5")
	f.Add("teams/a/routes/b", "deadline", "1h0.000000001s")
	f.Add("teams/a/services/b", "floor", "60%")
	f.Add("teams/a/accounts/b", "rate", "NaN")
	f.Add("teams/a", "credential", "00")
	f.Fuzz(func(t *testing.T, path, name, value string) {
		parsed, err := settings.Parse(ids.Path(path), map[string]string{name: value, "service": "s"})
		if err != nil {
			parsed, err = settings.Parse(ids.Path(path), map[string]string{name: value})
		}
		if err != nil {
			var e *settings.Error
			must.True(t, errors.As(err, &e))
			return
		}
		reparsed, err := settings.Parse(ids.Path(path), settings.Values(parsed))
		must.NoError(t, err)
		must.Eq(t, parsed, reparsed)
	})
}
