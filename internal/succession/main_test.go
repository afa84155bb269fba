package succession_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the random cases, so that every run gives the same result.
// The flag -rapid.seed sets another.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}
