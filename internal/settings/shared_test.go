package settings_test

import (
	"errors"
	"testing"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/settings"
)

func TestLoadShared(t *testing.T) {
	const valid = "[teams/a/accounts/b]\nrate = 5\n\n[teams/a/services/c]\n"
	sections, err := settings.LoadShared("a.ini", []byte(valid))
	must.NoError(t, err)
	must.SliceLen(t, 2, sections)
	must.EqOp(t, "teams/a/accounts/b", sections[0].Path)
	must.Eq(t, map[string]string{"rate": "5"}, settings.Values(sections[0].Section))
	must.EqOp(t, "teams/a/services/c", sections[1].Path)
	must.MapEmpty(t, settings.Values(sections[1].Section))

	cases := []struct {
		name string
		text string
		want settings.Error
	}{
		{"wrong value", valid + "[teams/a/accounts/d]\n\nrate = many\n", settings.Error{
			File: "a.ini", Section: "teams/a/accounts/d", Name: "rate", Line: 7,
			Reason: `"many" is not a requests per second`,
		}},
		{"unknown name", "[teams/a/accounts/d]\nspeed = 1\n", settings.Error{
			File: "a.ini", Section: "teams/a/accounts/d", Name: "speed", Line: 2, Reason: "no such name",
		}},
		{"bad path", "# note\n[teams/a/things/d]\n", settings.Error{
			File: "a.ini", Section: "teams/a/things/d", Line: 2,
			Reason: "the path is not teams/TEAM or teams/TEAM/{services,routes,accounts,keys}/NAME",
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := settings.LoadShared("a.ini", []byte(c.text))
			var e *settings.Error
			must.True(t, errors.As(err, &e))
			must.Eq(t, c.want, *e)
		})
	}
}
