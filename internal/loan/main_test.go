package loan_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets fixed defaults for rapid's flags, so that every run draws the same
// schedules. Flags on the command line override them.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.steps": "60", "rapid.checks": "4000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
