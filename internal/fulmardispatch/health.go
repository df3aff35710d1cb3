package fulmardispatch

import (
	"math/bits"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

const (
	// healthWindow is the number of last results that are kept for a worker.
	healthWindow = 16
	// minHealthSamples is the least number of results for a judgement.
	minHealthSamples = 6
	// outlierFailureFraction is the share of failures from which a worker is suspect.
	outlierFailureFraction = 0.5
	// outlierFailureRatio is how many times more often a worker must fail than the rest of its pool.
	outlierFailureRatio = 2.0
	// probesToRestore is the number of answers in a row that ends an ejection.
	probesToRestore = 3
	// nonIdempotentProbeDelay is how many more ejection times pass before a request that cannot be repeated is a probe.
	nonIdempotentProbeDelay = 2

	initialEjection = 2 * fulmarclock.Second
	maxEjection     = 30 * fulmarclock.Second
	// initialUnreachableEjection is the first ejection of a worker that refuses connections.
	initialUnreachableEjection = 250 * fulmarclock.Millis(1)
)

// HealthState is the state of a worker in its member's eyes.
type HealthState int

// Verdicts. A suspect worker is used after all healthy ones; an ejected one is only probed.
const (
	Healthy HealthState = iota
	Suspect
	Ejected
)

// String returns the verdict's name in status tables.
func (v HealthState) String() string { return [...]string{"healthy", "suspect", "ejected"}[v] }

// Health keeps the last results of one worker.
type Health struct {
	failureBits  uint32
	samples      int
	state        HealthState
	ejectedUntil fulmarclock.Millis
	ejectionTime fulmarclock.Millis
	probesPassed int
	// unreachable tells that the last ejection was for want of a connection.
	unreachable bool
}

// Record records a result.
func (h *Health) Record(failed bool) {
	h.failureBits <<= 1
	if failed {
		h.failureBits |= 1
	}
	h.failureBits &= 1<<healthWindow - 1
	h.samples = min(h.samples+1, healthWindow)
}

// Failures returns the failures among the last Seen results.
func (h *Health) Failures() int { return bits.OnesCount32(h.failureBits) }

// Samples returns how many results are kept.
func (h *Health) Samples() int { return h.samples }

// State returns the worker's state.
func (h *Health) State() HealthState { return h.state }

// IsProbeDue tells whether an ejected worker may be tried with one request.
// A request that cannot be sent again waits longer, unless the worker was only
// unreachable: then a failed probe has not run.
func (h *Health) IsProbeDue(now fulmarclock.Millis, idempotent bool) bool {
	due := h.ejectedUntil
	if !idempotent && !h.unreachable {
		due += nonIdempotentProbeDelay * h.ejectionTime
	}
	return h.state == Ejected && now >= due
}

// EjectUnreachable takes a worker out of use to which no connection could be made.
func (h *Health) EjectUnreachable(now fulmarclock.Millis) {
	h.Eject(now, initialUnreachableEjection)
	h.unreachable = true
}

// Eject takes the worker out of use for a time that doubles with each ejection in a row.
func (h *Health) Eject(now, first fulmarclock.Millis) {
	h.unreachable = false
	if h.ejectionTime == 0 {
		h.ejectionTime = first
	} else {
		h.ejectionTime = min(2*h.ejectionTime, maxEjection)
	}
	h.state = Ejected
	h.ejectedUntil = now + h.ejectionTime
	h.probesPassed = 0
}

// RecordProbe records the result of a probe and returns the worker after enough answers in a row.
func (h *Health) RecordProbe(now fulmarclock.Millis, failed bool) {
	if failed {
		h.Eject(now, initialEjection)
		return
	}
	h.probesPassed++
	if h.probesPassed >= probesToRestore {
		*h = Health{}
	}
}

func (h *Health) setSuspect(suspect bool) {
	switch {
	case h.state == Ejected:
	case suspect:
		h.state = Suspect
	default:
		h.state = Healthy
	}
}

// IsOutlier tells whether a worker fails by its own fault: it fails at least
// half of its requests, and the rest of its pool fails much less often. When
// all workers fail alike, the requests or what lies behind the workers are to blame.
func IsOutlier(h *Health, otherFailures, otherSamples int) bool {
	if h.samples < minHealthSamples {
		return false
	}
	failureFraction := float64(h.Failures()) / float64(h.samples)
	if failureFraction < outlierFailureFraction {
		return false
	}
	if otherSamples == 0 {
		return false
	}
	return failureFraction >= outlierFailureRatio*float64(otherFailures)/float64(otherSamples)
}

// MaxEjected returns how many of a pool's workers may be out of use by ejection.
func MaxEjected(workers int, availableShare float64) int {
	return int(float64(workers) * (1 - availableShare))
}
