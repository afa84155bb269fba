package reference_test

import (
	"bytes"
	"testing"

	"github.com/shoenig/test/must"

	"balsamwharf.example/balsamwharf/internal/reference"
	"balsamwharf.example/balsamwharf/internal/settings"
)

// The default file loads once the keys without a default are filled in; before that,
// the error names a missing key.
func TestDefaultFile(t *testing.T) {
	for _, p := range reference.Pages() {
		if p.File != "docs/balsamd.ini" {
			continue
		}
		_, err := settings.Load("balsamd.ini", p.Text)
		must.ErrorContains(t, err, "daemon is missing")
		filled := p.Text
		for _, set := range [][2]string{
			{"daemon = \n", "daemon = vm1\n"},
			{"centre = \n", "centre = quito\n"},
			{"authority = \n", "authority = ca.pem\n"},
			{"cert = \n; Private key of cert. (file)\nkey = \n\n; The platform", "cert = c.pem\n; Private key of cert. (file)\nkey = k.pem\n\n; The platform"},
			{"log = \n", "log = http://127.0.0.1:9000\n"},
		} {
			filled = bytes.Replace(filled, []byte(set[0]), []byte(set[1]), 1)
		}
		d, err := settings.Load("balsamd.ini", filled)
		must.NoError(t, err)
		must.EqOp(t, "vm1", d.Identity.Daemon)
	}
}
