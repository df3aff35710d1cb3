// Package fulmarseed sets a fixed seed for property tests that use rapid.
//
// Usage, in a package's TestMain:
//
//	fulmarseed.Fix()
//	os.Exit(m.Run())
package fulmarseed

import "flag"

// seed is the seed if the flag -rapid.seed isn't set.
const seed = "1"

// Fix parses the flags and sets the fixed seed, unless -rapid.seed sets another one. Without
// rapid in the test binary it only parses the flags.
func Fix() {
	flag.Parse()
	if given := flag.Lookup("rapid.seed"); given != nil && given.Value.String() == given.DefValue {
		_ = flag.Set("rapid.seed", seed)
	}
}
