package replay_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for random cases, so that every run gives the same
// verdict; -rapid.seed sets another one.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}
