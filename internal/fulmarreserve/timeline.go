package fulmarreserve

import (
	"cmp"
	"math"
	"slices"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// Never is the end of a run that is not expected to end. It leaves room for additions.
const Never fulmarclock.Millis = math.MaxInt64 / 4

// ExpectedEnd returns when a run that has not ended is expected to end, which is later than now. A run
// that has overrun its estimated duration is expected to take as long again as it has overrun: the
// longer it has, the less the estimate says.
func ExpectedEnd(now, startedAt, duration fulmarclock.Millis) fulmarclock.Millis {
	end := startedAt + duration
	if end > now {
		return end
	}
	return now + max(now-end, 1)
}

// Run takes resources of an executor until its expected end.
type Run struct {
	Resources fulmarjob.Resources
	End       fulmarclock.Millis
}

// Timeline is the capacity of an executor that is free now and is expected to become free.
type Timeline struct {
	free fulmarjob.Resources
	// runs are sorted by their end.
	runs []Run
}

// NewTimeline returns the timeline of an executor whose resources beside the runs are free. It sorts
// runs, and keeps them.
func NewTimeline(free fulmarjob.Resources, runs []Run) Timeline {
	slices.SortFunc(runs, func(a, b Run) int { return cmp.Compare(a.End, b.End) })
	return Timeline{free: free, runs: runs}
}

// EarliestFit returns the earliest time from now on at which the resources are expected to be free;
// false if they never are.
func (t Timeline) EarliestFit(now fulmarclock.Millis, r fulmarjob.Resources) (fulmarclock.Millis, bool) {
	free := t.free
	if r.FitsIn(free) {
		return now, true
	}
	for _, run := range t.runs {
		if run.End >= Never {
			break
		}
		free = free.Add(run.Resources)
		if r.FitsIn(free) {
			return max(now, run.End), true
		}
	}
	return 0, false
}

// ValidUntil returns the first end of a run. The estimates of runs that are still there at that time have
// to be made again.
func (t Timeline) ValidUntil() fulmarclock.Millis {
	if len(t.runs) == 0 {
		return Never
	}
	return t.runs[0].End
}

// releasedBy returns the resources of the runs that are expected to end until a time.
func (t Timeline) releasedBy(at fulmarclock.Millis) fulmarjob.Resources {
	sum := fulmarjob.Resources{}
	for _, run := range t.runs {
		if run.End > at {
			break
		}
		sum = sum.Add(run.Resources)
	}
	return sum
}

// GapBefore returns the gap before the start of a reservation for the resources.
func (t Timeline) GapBefore(start fulmarclock.Millis, reserved fulmarjob.Resources) Gap {
	return Gap{start: start, surplus: t.releasedBy(start).Sub(reserved)}
}

// Gap is what other tasks may use of an executor with a reservation.
type Gap struct {
	start fulmarclock.Millis
	// surplus, added to what is free now, is free at the start beside the reserved resources.
	surplus fulmarjob.Resources
}

// Admits reports whether a task that is placed now does not delay the reservation: it ends before the
// reservation starts, or fits beside it. free is the free capacity of the executor now, after the
// placements since the gap was computed. Those count as if they did not end before the start.
func (g Gap) Admits(free, r fulmarjob.Resources, end fulmarclock.Millis) bool {
	return r == fulmarjob.Resources{} || end <= g.start || r.FitsIn(free.Add(g.surplus))
}
