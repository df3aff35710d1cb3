package fulmardispatch

import "github.com/fulmardrum/fulmardrum/internal/fulmarsettings"

// equalLoadDelta is the normalized load difference below which workers count as equally loaded.
const equalLoadDelta = 1

// Candidate is the load of a worker with a free slot.
type Candidate struct {
	// Running is the number of this member's requests on the worker.
	Running int
	// Slots is the worker's number of slots.
	Slots int
}

// Policy chooses one of the candidates, of which there is at least one, and
// returns its index. random(n) returns a random number in [0, n).
type Policy interface {
	Choose(candidates []Candidate, random func(n int) int) int
}

// RoundRobin chooses the candidates in rotation.
type RoundRobin struct {
	choices int
}

// Choose returns the next index.
func (p *RoundRobin) Choose(candidates []Candidate, _ func(int) int) int {
	p.choices++
	return p.choices % len(candidates)
}

// LeastLoaded chooses the candidate with the fewest running requests, and breaks ties at random.
type LeastLoaded struct{}

// Choose returns the index of a least loaded candidate.
func (LeastLoaded) Choose(candidates []Candidate, random func(int) int) int {
	best, ties := 0, 1
	for i := 1; i < len(candidates); i++ {
		switch difference := candidates[i].Running - candidates[best].Running; {
		case difference < 0:
			best, ties = i, 1
		case difference == 0:
			ties++
			if random(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// TwoChoices draws two candidates at random and chooses the less loaded one.
type TwoChoices struct{}

// Choose returns the index of the less loaded of two random candidates.
func (TwoChoices) Choose(candidates []Candidate, random func(int) int) int {
	first, second := random(len(candidates)), random(len(candidates))
	if candidates[second].Running < candidates[first].Running {
		return second
	}
	return first
}

// NormalizedDifference chooses at random among the candidates whose normalized
// load difference to the least loaded one is below Delta. The difference of two
// workers is (L1 x C1 - L2 x C2) / (C1 + C2) for loads L and capacities C, as in
// Mondal, Lifu and Kitsuregawa, "On Improving the Performance Dependability of
// Unstructured P2P Systems via Replication", equation 1.
type NormalizedDifference struct {
	Delta float64
}

// Choose returns the index of a candidate that is about as loaded as the least loaded one.
func (p NormalizedDifference) Choose(candidates []Candidate, random func(int) int) int {
	least := LeastLoaded{}.Choose(candidates, random)
	chosen, nearCount := least, 0
	for i, c := range candidates {
		if normalizedDifference(c, candidates[least]) >= p.Delta {
			continue
		}
		nearCount++
		if random(nearCount) == 0 {
			chosen = i
		}
	}
	return chosen
}

// normalizedDifference returns the difference that NormalizedDifference defines, with
// the running requests as the load and the slots as the capacity.
func normalizedDifference(a, b Candidate) float64 {
	loadA, loadB := float64(a.Running*a.Slots), float64(b.Running*b.Slots)
	return (loadA - loadB) / float64(a.Slots+b.Slots)
}

// PolicyByName returns a new policy for its name in the settings, and whether the name is valid.
func PolicyByName(name string) (Policy, bool) {
	switch name {
	case fulmarsettings.PolicyRoundRobin:
		return &RoundRobin{}, true
	case fulmarsettings.PolicyLeastLoaded:
		return LeastLoaded{}, true
	case fulmarsettings.PolicyTwoChoices:
		return TwoChoices{}, true
	case fulmarsettings.PolicyNormalizedDifference:
		return NormalizedDifference{Delta: equalLoadDelta}, true
	}
	return nil, false
}
