package fulmarmember_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that every run has the same
// verdict; -rapid.seed=N takes another one.
func TestMain(m *testing.M) {
	flag.Parse()
	if given := flag.Lookup("rapid.seed"); given != nil && given.Value.String() == given.DefValue {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}
