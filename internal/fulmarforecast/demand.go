package fulmarforecast

import (
	"math"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

// The time constants, in milliseconds, with which submitted work decays: after it, 1/e of the weight
// is left. The difference of the two averages shows the trend.
const (
	decayMillis     = 600.0
	slowDecayMillis = 1200.0
)

// maxGrowth limits the expected growth of the rate, as a multiple of the present rate. The trend of a
// few jobs of uneven size is noisy.
const maxGrowth = 1.0

// Demand is the decaying sum of the work that callers submitted, accepted or refused. The zero
// value is no demand.
type Demand struct {
	// work and slowWork are in millicore-milliseconds.
	work      float64
	slowWork  float64
	jobs      float64
	updatedAt fulmarclock.Millis
}

// Add counts one job with its work in millicore-milliseconds.
func (d *Demand) Add(now fulmarclock.Millis, work float64) {
	factor := d.decay(now, decayMillis)
	d.work = d.work*factor + work
	d.jobs = d.jobs*factor + 1
	d.slowWork = d.slowWork*d.decay(now, slowDecayMillis) + work
	d.updatedAt = now
}

func (d *Demand) decay(now fulmarclock.Millis, timeConstant float64) float64 {
	return math.Exp(-float64(now-d.updatedAt) / timeConstant)
}

// Rate returns the CPU in millicores that the work occupies if it keeps arriving at this rate. A
// single job does not define a rate, so the first job does not count. A nil Demand has the rate zero.
func (d *Demand) Rate(now fulmarclock.Millis) float64 {
	if d == nil {
		return 0
	}
	factor := d.decay(now, decayMillis)
	jobs := d.jobs * factor
	if jobs <= 1 {
		return 0
	}
	return d.work * factor / decayMillis * (jobs - 1) / jobs
}

// RateAfter returns the rate that is expected after lead if it keeps rising as now. It is never below
// Rate, because a falling rate says nothing of the work that was submitted already. It handles bursts
// that build up over seconds.
func (d *Demand) RateAfter(now, lead fulmarclock.Millis) float64 {
	rate := d.Rate(now)
	if rate == 0 {
		return 0
	}
	fast := d.work * d.decay(now, decayMillis) / decayMillis
	slow := d.slowWork * d.decay(now, slowDecayMillis) / slowDecayMillis
	// On a rising line, an average lags behind by its time constant.
	slope := (fast - slow) / (slowDecayMillis - decayMillis)
	growth := slope * (decayMillis + float64(lead))
	return rate + min(max(growth, 0), maxGrowth*rate)
}
