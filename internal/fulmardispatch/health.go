package fulmardispatch

import (
	"math/bits"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

const (
	// healthWindow is the number of last results that are kept for a worker.
	healthWindow = 16
	// healthEvidence is the least number of results for a judgement.
	healthEvidence = 6
	// failingShare is the share of failures from which a worker is suspect.
	failingShare = 0.5
	// blameRatio is how many times more often a worker must fail than the rest of its pool.
	blameRatio = 2.0
	// probesToReturn is the number of answers in a row that ends an ejection.
	probesToReturn = 3
	// nonIdempotentProbeWaits is how many more ejection times pass before a request that cannot be repeated is a probe.
	nonIdempotentProbeWaits = 2

	ejectFirst = 2 * fulmarclock.Second
	ejectMost  = 30 * fulmarclock.Second
	// unreachableFirst is the first ejection of a worker that refuses connections.
	unreachableFirst = 250 * fulmarclock.Millis(1)
)

// Verdict is the state of a worker in its member's eyes.
type Verdict int

// Verdicts. A suspect worker is used after all healthy ones; an ejected one is only probed.
const (
	Healthy Verdict = iota
	Suspect
	Ejected
)

// String returns the verdict's name in status tables.
func (v Verdict) String() string { return [...]string{"healthy", "suspect", "ejected"}[v] }

// Health keeps the last results of one worker.
type Health struct {
	results  uint32
	seen     int
	verdict  Verdict
	until    fulmarclock.Millis
	ejection fulmarclock.Millis
	probed   int
	// unreachable tells that the last ejection was for want of a connection.
	unreachable bool
}

// Add records a result.
func (h *Health) Add(failed bool) {
	h.results <<= 1
	if failed {
		h.results |= 1
	}
	h.results &= 1<<healthWindow - 1
	h.seen = min(h.seen+1, healthWindow)
}

// Failures returns the failures among the last Seen results.
func (h *Health) Failures() int { return bits.OnesCount32(h.results) }

// Seen returns how many results are kept.
func (h *Health) Seen() int { return h.seen }

// Verdict returns the worker's state.
func (h *Health) Verdict() Verdict { return h.verdict }

// IsProbeDue tells whether an ejected worker may be tried with one request.
// A request that cannot be sent again waits longer, unless the worker was only
// unreachable: then a failed probe has not run.
func (h *Health) IsProbeDue(now fulmarclock.Millis, idempotent bool) bool {
	due := h.until
	if !idempotent && !h.unreachable {
		due += nonIdempotentProbeWaits * h.ejection
	}
	return h.verdict == Ejected && now >= due
}

// EjectUnreachable takes a worker out of use to which no connection could be made.
func (h *Health) EjectUnreachable(now fulmarclock.Millis) {
	h.Eject(now, unreachableFirst)
	h.unreachable = true
}

// Eject takes the worker out of use for a time that doubles with each ejection in a row.
func (h *Health) Eject(now, first fulmarclock.Millis) {
	h.unreachable = false
	if h.ejection == 0 {
		h.ejection = first
	} else {
		h.ejection = min(2*h.ejection, ejectMost)
	}
	h.verdict = Ejected
	h.until = now + h.ejection
	h.probed = 0
}

// ProbeEnded records the result of a probe and returns the worker after enough answers in a row.
func (h *Health) ProbeEnded(now fulmarclock.Millis, failed bool) {
	if failed {
		h.Eject(now, ejectFirst)
		return
	}
	h.probed++
	if h.probed >= probesToReturn {
		*h = Health{}
	}
}

func (h *Health) setSuspect(suspect bool) {
	switch {
	case h.verdict == Ejected:
	case suspect:
		h.verdict = Suspect
	default:
		h.verdict = Healthy
	}
}

// IsToBlame tells whether a worker fails by its own fault: it fails at least
// half of its requests, and the rest of its pool fails much less often. When
// all workers fail alike, the requests or what lies behind the workers are to blame.
func IsToBlame(h *Health, restFailures, restSeen int) bool {
	if h.seen < healthEvidence {
		return false
	}
	share := float64(h.Failures()) / float64(h.seen)
	if share < failingShare {
		return false
	}
	if restSeen == 0 {
		return false
	}
	return share >= blameRatio*float64(restFailures)/float64(restSeen)
}

// EjectionBudget returns how many of a pool's workers may be out of use by ejection.
func EjectionBudget(workers int, availableShare float64) int {
	return int(float64(workers) * (1 - availableShare))
}
