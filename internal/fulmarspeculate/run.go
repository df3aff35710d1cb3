package fulmarspeculate

import (
	"cmp"
	"slices"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

// Run is a run that may have a copy.
type Run struct {
	// Age is how long the run has taken so far.
	Age fulmarclock.Millis
	// Expected is the expected duration of a comparable run, High a high quantile of the distribution
	// of these durations.
	Expected fulmarclock.Millis
	High     fulmarclock.Millis
	// UsefulFor is for how long from now an end of the run is still of use.
	UsefulFor fulmarclock.Millis
}

// IsSlow reports whether the run has taken far longer than comparable ones.
func (r Run) IsSlow() bool { return r.Age > r.High }

// Remaining returns how much longer the run is expected to take. One that has overrun its expected
// duration is expected to take as long again as it has overrun.
func (r Run) Remaining() fulmarclock.Millis {
	if r.Age <= r.Expected {
		return r.Expected - r.Age
	}
	return r.Age - r.Expected
}

// Gain returns how much sooner a copy that starts now is expected to end than the run.
func (r Run) Gain() fulmarclock.Millis { return r.Remaining() - r.Expected }

// IsWorthCopying reports whether a copy is worth its capacity: the run is slow, and the copy is expected to
// end sooner, and while its end is of use.
func (r Run) IsWorthCopying() bool {
	return r.IsSlow() && r.Gain() > 0 && r.Expected <= r.UsefulFor
}

// Choose returns the indexes of the runs that get a copy now, those that gain most first.
func Choose(load Load, runs []Run) []int {
	budget := load.Budget()
	if budget == 0 {
		return nil
	}
	var chosen []int
	for i, r := range runs {
		if r.IsWorthCopying() {
			chosen = append(chosen, i)
		}
	}
	slices.SortStableFunc(chosen, func(a, b int) int { return cmp.Compare(runs[b].Gain(), runs[a].Gain()) })
	return chosen[:min(budget, len(chosen))]
}
