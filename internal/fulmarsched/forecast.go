package fulmarsched

import (
	"math"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

const (
	// forecastDecay is the weight that older durations keep at each new one.
	forecastDecay = 0.995
	// priorRuns is the weight of the assumption that declarations are right, in runs.
	priorRuns = 6.0
	// priorSpread is the variance of the logarithm of a declaration under that assumption.
	priorSpread = 0.25
)

// forecast learns how the duration of runs follows from their declared duration:
// a weighted linear regression of the logarithms. Declarations that say little
// are drawn to the mean duration.
type forecast struct {
	weight   float64
	declared float64
	took     float64
	// variance and covariance are weighted sums of squares about the means.
	variance   float64
	covariance float64
}

// learn takes in one run.
func (f *forecast) learn(declared, took fulmarclock.Millis) {
	x, y := logOf(declared), logOf(took)
	if f.weight == 0 {
		// The first run starts from the assumption that declarations are right.
		f.weight, f.declared, f.took = priorRuns, x, x
		f.variance, f.covariance = priorRuns*priorSpread, priorRuns*priorSpread
	}
	f.weight = f.weight*forecastDecay + 1
	f.variance *= forecastDecay
	f.covariance *= forecastDecay
	dx := x - f.declared
	f.declared += dx / f.weight
	f.took += (y - f.took) / f.weight
	f.variance += dx * (x - f.declared)
	f.covariance += dx * (y - f.took)
}

// expect returns the expected duration of a run.
func (f *forecast) expect(declared fulmarclock.Millis) fulmarclock.Millis {
	if f == nil || f.weight == 0 || f.variance == 0 {
		return declared
	}
	slope := min(max(f.covariance/f.variance, 0), 1)
	return fulmarclock.Millis(math.Exp(f.took + slope*(logOf(declared)-f.declared)))
}

func logOf(duration fulmarclock.Millis) float64 { return math.Log(float64(max(duration, 1))) }
