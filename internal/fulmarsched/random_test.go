package fulmarsched

import "math/rand/v2"

// randomSource is a seeded random source, so that simulations are reproducible.
type randomSource struct{ source *rand.Rand }

func newRandomSource(seed int64) *randomSource {
	return &randomSource{source: rand.New(rand.NewPCG(uint64(seed), 0))}
}

// intN returns a number from 0 to n-1.
func (r *randomSource) intN(n int) int { return r.source.IntN(n) }
