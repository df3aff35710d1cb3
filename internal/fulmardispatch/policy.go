package fulmardispatch

import "github.com/fulmardrum/fulmardrum/internal/fulmarsettings"

// normalizedDelta is the normalized load difference below which two workers count as equally loaded.
const normalizedDelta = 1

// Candidate is a worker with a free slot, as a policy sees it.
type Candidate struct {
	// Running is the number of this member's requests on the worker.
	Running int
	// Slots is the worker's number of slots.
	Slots int
}

// Policy chooses one of at least one candidates and returns its place.
// Random returns a number from 0 up to, but without, its argument.
type Policy interface {
	Choose(candidates []Candidate, random func(n int) int) int
}

// RoundRobin takes the candidates in turn.
type RoundRobin struct {
	turn int
}

// Choose returns the next place.
func (p *RoundRobin) Choose(candidates []Candidate, _ func(int) int) int {
	p.turn++
	return p.turn % len(candidates)
}

// LeastLoaded takes a candidate with the fewest running requests, at random among equals.
type LeastLoaded struct{}

// Choose returns the place of the least loaded candidate.
func (LeastLoaded) Choose(candidates []Candidate, random func(int) int) int {
	best, equals := 0, 1
	for i := 1; i < len(candidates); i++ {
		switch compared := candidates[i].Running - candidates[best].Running; {
		case compared < 0:
			best, equals = i, 1
		case compared == 0:
			equals++
			if random(equals) == 0 {
				best = i
			}
		}
	}
	return best
}

// TwoChoices takes the less loaded of two candidates drawn at random.
type TwoChoices struct{}

// Choose returns the place of the less loaded of two candidates.
func (TwoChoices) Choose(candidates []Candidate, random func(int) int) int {
	first, second := random(len(candidates)), random(len(candidates))
	if candidates[second].Running < candidates[first].Running {
		return second
	}
	return first
}

// NormalizedDifference draws at random among the candidates whose normalized
// load difference to the least loaded one is below Delta. The difference of two
// workers is (L1 x C1 - L2 x C2) / (C1 + C2) for loads L and capacities C, as in
// Mondal, Lifu and Kitsuregawa, "On Improving the Performance Dependability of
// Unstructured P2P Systems via Replication", equation 1.
type NormalizedDifference struct {
	Delta float64
}

// Choose returns the place of a candidate that is about as loaded as the least loaded one.
func (p NormalizedDifference) Choose(candidates []Candidate, random func(int) int) int {
	least := LeastLoaded{}.Choose(candidates, random)
	chosen, near := least, 0
	for i, c := range candidates {
		if normalizedDifference(c, candidates[least]) >= p.Delta {
			continue
		}
		near++
		if random(near) == 0 {
			chosen = i
		}
	}
	return chosen
}

func normalizedDifference(a, b Candidate) float64 {
	loadA, loadB := float64(a.Running*a.Slots), float64(b.Running*b.Slots)
	return (loadA - loadB) / float64(a.Slots+b.Slots)
}

// PolicyByName returns the policy of a name in the settings.
func PolicyByName(name string) (Policy, bool) {
	switch name {
	case fulmarsettings.PolicyRoundRobin:
		return &RoundRobin{}, true
	case fulmarsettings.PolicyLeastLoaded:
		return LeastLoaded{}, true
	case fulmarsettings.PolicyTwoChoices:
		return TwoChoices{}, true
	case fulmarsettings.PolicyNormalizedDifference:
		return NormalizedDifference{Delta: normalizedDelta}, true
	}
	return nil, false
}
