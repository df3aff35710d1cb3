package fulmarfront

import (
	"math"
	"sync"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarowner"
)

const (
	// throttleDecayMillis is the time constant, in milliseconds, with which earlier attempts
	// lose their weight.
	throttleDecayMillis = 500.0
	// throttleHeadroom times the handled attempts is how many attempts cause no refusal: an
	// owner that handles at least half of them gets all.
	throttleHeadroom = 2.0
	// throttleMaxRefusal is the highest probability of a refusal: some attempts must reach the
	// owner to show that it handles them again.
	throttleMaxRefusal = 0.9
	// throttleMinAttempts is the number of recent attempts below which all are let through.
	throttleMinAttempts = 10.0
)

// throttle refuses submissions at their origin while the owner is overloaded: the probability
// of a refusal follows the share of the recent attempts that the owner did not handle. It
// answers bursts beyond what the owner can decide on. It is safe for concurrent use.
type throttle struct {
	random func() float64

	mu        sync.Mutex
	attempts  float64
	handled   float64
	updatedAt fulmarclock.Millis
}

// newThrottle returns a throttle that draws numbers between 0 and 1 from random.
func newThrottle(random func() float64) *throttle { return &throttle{random: random} }

// allows reports whether to send a submission to the owner.
func (t *throttle) allows(now fulmarclock.Millis) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decay(now)
	if t.attempts < throttleMinAttempts {
		return true
	}
	refusal := (t.attempts - throttleHeadroom*t.handled) / t.attempts
	return t.random() >= min(refusal, throttleMaxRefusal)
}

// record counts an attempt by its response. A missing owner says nothing about the load.
func (t *throttle) record(now fulmarclock.Millis, response fulmarowner.Response) {
	if response.Outcome == fulmarowner.NotOwner {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decay(now)
	t.attempts++
	if response.Outcome != fulmarowner.Unknown && !response.IsShed() {
		t.handled++
	}
}

// decay reduces the weight of the earlier attempts.
func (t *throttle) decay(now fulmarclock.Millis) {
	factor := math.Exp(-float64(now-t.updatedAt) / throttleDecayMillis)
	t.attempts *= factor
	t.handled *= factor
	t.updatedAt = now
}
