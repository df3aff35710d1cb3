package fulmarowner

import "github.com/fulmardrum/fulmardrum/internal/fulmarclock"

const (
	// initialStartWindow, minStartWindow and maxStartWindow are numbers of start commands.
	initialStartWindow = 256
	minStartWindow     = 16
	maxStartWindow     = 4096
	// lateStart is how long a response to a start may take before it counts as late: well below
	// commandTimeout, so that the window shrinks before commands time out.
	lateStart = 250 * fulmarclock.Millis(1)
	// lateWeight is the weight of the newest start in the fraction of late ones.
	lateWeight = 0.02
	// The window shrinks by shrinkFactor while more than maxLateFraction of the starts are late. It
	// grows by growFactor while it is used up and less than minLateFraction are.
	maxLateFraction = 0.3
	minLateFraction = 0.1
	shrinkFactor    = 0.7
	growFactor      = 1.25
	// windowInterval is the minimum time between two changes of the window.
	windowInterval = 200 * fulmarclock.Millis(1)
)

// startWindow limits the start commands in flight. An owner that is short of processor time or link
// capacity gets every response late: with more starts than it can carry, lease renewals time out
// behind them, and runs count as lost although their executors reported their ends.
type startWindow struct {
	limit    int
	inFlight int
	// used is the most starts in flight since the last change of the window, lateFraction the recent
	// fraction of starts with a late response or none.
	used         int
	lateFraction float64
	changedAt    fulmarclock.Millis
	// narrowSince is since when the window has been smaller than at first, zero if it is not.
	narrowSince fulmarclock.Millis
}

func newStartWindow() startWindow { return startWindow{limit: initialStartWindow} }

// free returns how many more starts may be sent.
func (w *startWindow) free() int { return max(w.limit-w.inFlight, 0) }

// narrowFor returns for how long the window has been smaller than at first.
func (w *startWindow) narrowFor(now fulmarclock.Millis) fulmarclock.Millis {
	if w.narrowSince == 0 {
		return 0
	}
	return now - w.narrowSince
}

// begin records that a start is sent.
func (w *startWindow) begin() {
	w.inFlight++
	w.used = max(w.used, w.inFlight)
}

// end records that a start got its response after latency, or none, and adapts the window.
func (w *startWindow) end(now, latency fulmarclock.Millis, answered bool) {
	w.inFlight--
	late := 0.0
	if !answered || latency > lateStart {
		late = 1
	}
	w.lateFraction += (late - w.lateFraction) * lateWeight
	if now < w.changedAt+windowInterval {
		return
	}
	switch {
	case w.lateFraction > maxLateFraction:
		w.limit = max(int(float64(min(w.limit, w.used))*shrinkFactor), minStartWindow)
	case w.lateFraction < minLateFraction && w.used >= w.limit:
		w.limit = min(int(float64(w.limit)*growFactor), maxStartWindow)
	}
	w.used, w.changedAt = w.inFlight, now
	switch {
	case w.limit >= initialStartWindow:
		w.narrowSince = 0
	case w.narrowSince == 0:
		w.narrowSince = now
	}
}
