package fulmarowner

import "github.com/fulmardrum/fulmardrum/internal/fulmarclock"

const (
	// handOverFactor is how many times the cores of the owner another member must have.
	handOverFactor = 2.0
	// minNarrowTime is how long the window of starts must have been smaller than at first.
	minNarrowTime = 3 * fulmarclock.Second
	// minHandOverAge is how long a term lasts at least: after a change of the owner starts are late
	// anyway, and the larger members may have been the ones that failed.
	minHandOverAge = 5 * fulmarclock.Second
)

// handOver decides whether an overloaded owner resigns, so that a member on a larger VM can acquire the
// ownership: it waits less long before it tries. It answers fleets with VMs of different sizes, in which
// a disruption of the store may leave the ownership to a small one.
type handOver struct {
	age fulmarclock.Millis
	// narrowFor is for how long the window of starts has been smaller than at first.
	narrowFor fulmarclock.Millis
	// cores are the cores of the owner, mostCores the most of another member that responds.
	cores, mostCores float64
	// storeResponds means that the ownership is valid and no append is stalled.
	storeResponds bool
}

func (h handOver) isDue() bool {
	isOverloaded := h.age >= minHandOverAge && h.narrowFor >= minNarrowTime
	return h.storeResponds && isOverloaded && h.cores > 0 && h.mostCores >= handOverFactor*h.cores
}

// checkHandOver ends the term like a planned stop if a larger member should own the scheduler.
func (t *term) checkHandOver(now fulmarclock.Millis) {
	_, stalled := t.stallRetryAfter(now)
	h := handOver{
		age: now - t.began, narrowFor: t.window.narrowFor(now), cores: t.options.Cores, mostCores: t.options.Relay.MostCores(),
		storeResponds: !stalled && t.ownership.IsValid(),
	}
	if t.stopping || !h.isDue() {
		return
	}
	t.options.Logger.Info("this member is too small to own the scheduler; handing the ownership over", "cores", h.cores, "most_cores", h.mostCores, "term_ms", h.age, "start_window", t.window.limit)
	t.options.Metrics.Count("reigns", "handed-over")
	t.beginStop("another member is to own the scheduler")
}
