package fulmarfront

import (
	"math"
	"sync"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarowner"
)

const (
	// shedDecayMillis is the time constant, in milliseconds, with which earlier attempts
	// lose their weight.
	shedDecayMillis = 500.0
	// shedHeadroom times the handled attempts is how many attempts cause no refusal: an
	// owner that handles at least half of them gets all.
	shedHeadroom = 2.0
	// shedMaxRefusal is the highest probability of a refusal: some attempts must reach the
	// owner to show that it handles them again.
	shedMaxRefusal = 0.9
	// shedMinAttempts is the number of recent attempts below which all are let through.
	shedMinAttempts = 10.0
)

// shedder refuses submissions at their origin while the owner is overloaded: the probability
// of a refusal follows the share of the recent attempts that the owner did not handle. It
// answers bursts beyond what the owner can decide on. It is safe for concurrent use.
type shedder struct {
	random func() float64

	mu        sync.Mutex
	attempts  float64
	handled   float64
	updatedAt fulmarclock.Millis
}

// newShedder returns a shedder that draws numbers between 0 and 1 from random.
func newShedder(random func() float64) *shedder { return &shedder{random: random} }

// allows reports whether to send a submission to the owner.
func (s *shedder) allows(now fulmarclock.Millis) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	if s.attempts < shedMinAttempts {
		return true
	}
	refusal := (s.attempts - shedHeadroom*s.handled) / s.attempts
	return s.random() >= min(refusal, shedMaxRefusal)
}

// record counts an attempt by its response. A missing owner says nothing about the load.
func (s *shedder) record(now fulmarclock.Millis, response fulmarowner.Response) {
	if response.Outcome == fulmarowner.NotOwner {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	s.attempts++
	if response.Outcome != fulmarowner.Unknown && !response.IsShed() {
		s.handled++
	}
}

// decay reduces the weight of the earlier attempts.
func (s *shedder) decay(now fulmarclock.Millis) {
	factor := math.Exp(-float64(now-s.updatedAt) / shedDecayMillis)
	s.attempts *= factor
	s.handled *= factor
	s.updatedAt = now
}
