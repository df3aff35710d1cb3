package fulmarhedge

import (
	"sync"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

const (
	// copyAfter is how many times its usual time a call takes before it is repeated.
	copyAfter = 4.0
	// newestWeight is the weight of the newest call in the usual time.
	newestWeight = 0.1
)

// Usual learns how long calls of a kind take, so that only those are repeated that
// take much longer: under load all are slow, and copies would add to the load.
type Usual struct {
	least  fulmarclock.Millis
	most   fulmarclock.Millis
	copies int

	mu     sync.Mutex
	millis float64
}

// NewUsual returns plans with a wait between least and most before each further attempt.
func NewUsual(least, most fulmarclock.Millis, copies int) *Usual {
	return &Usual{least: least, most: most, copies: copies}
}

// Note takes in how long an answered call took.
func (u *Usual) Note(took fulmarclock.Millis) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.millis += (float64(took) - u.millis) * newestWeight
}

// Plan returns how the next call is repeated.
func (u *Usual) Plan() Plan {
	u.mu.Lock()
	defer u.mu.Unlock()
	after := fulmarclock.Millis(u.millis * copyAfter)
	return Plan{After: min(max(after, u.least), u.most), Most: u.copies}
}
