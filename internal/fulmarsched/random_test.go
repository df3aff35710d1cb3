package fulmarsched

import "math/rand/v2"

// testRandom is a seeded source, so that each play repeats.
type testRandom struct{ source *rand.Rand }

func newRandom(seed int64) *testRandom {
	return &testRandom{source: rand.New(rand.NewPCG(uint64(seed), 0))}
}

// below returns a number from 0 to n-1.
func (r *testRandom) below(n int) int { return r.source.IntN(n) }
