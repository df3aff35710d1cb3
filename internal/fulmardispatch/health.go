package fulmardispatch

import (
	"math/bits"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

const (
	// healthWindow is the number of most recent results that are kept for a worker.
	healthWindow = 16
	// probesToRestore is the number of consecutive successful probes that ends an ejection.
	probesToRestore = 3
	// nonIdempotentProbeDelay is the number of additional ejection times to wait before probing with a non-idempotent request.
	nonIdempotentProbeDelay = 2

	initialEjection = 2 * fulmarclock.Second
	maxEjection     = 30 * fulmarclock.Second
	// initialUnreachableEjection is the first ejection time of a worker to which no connection could be made.
	initialUnreachableEjection = 250 * fulmarclock.Millis(1)
)

// HealthState is a worker's health as this member observes it.
type HealthState int

// Health states. A suspect worker is used only if no healthy one is free; an
// ejected one gets only probes.
const (
	Healthy HealthState = iota
	Suspect
	Ejected
)

// String returns the state's name in status reports.
func (s HealthState) String() string { return [...]string{"healthy", "suspect", "ejected"}[s] }

// Health tracks the most recent results of one worker and its ejection.
type Health struct {
	failureBits  uint32
	samples      int
	state        HealthState
	ejectedUntil fulmarclock.Millis
	ejectionTime fulmarclock.Millis
	probesPassed int
	// unreachable is set if the last ejection was because no connection could be made.
	unreachable bool
}

// Record adds a result and drops the oldest one if the window is full.
func (h *Health) Record(failed bool) {
	h.failureBits <<= 1
	if failed {
		h.failureBits |= 1
	}
	h.failureBits &= 1<<healthWindow - 1
	h.samples = min(h.samples+1, healthWindow)
}

// Failures returns the number of failures among the recorded results.
func (h *Health) Failures() int { return bits.OnesCount32(h.failureBits) }

// Samples returns the number of recorded results, at most healthWindow.
func (h *Health) Samples() int { return h.samples }

// State returns the worker's health state.
func (h *Health) State() HealthState { return h.state }

// IsProbeDue reports whether an ejected worker may be probed with one request.
// A non-idempotent request waits longer, because it cannot be retried if the
// probe fails. This does not apply if the worker was unreachable: a request that
// finds it still unreachable has not run.
func (h *Health) IsProbeDue(now fulmarclock.Millis, idempotent bool) bool {
	probeTime := h.ejectedUntil
	if !idempotent && !h.unreachable {
		probeTime += nonIdempotentProbeDelay * h.ejectionTime
	}
	return h.state == Ejected && now >= probeTime
}

// EjectUnreachable ejects a worker to which no connection could be made.
func (h *Health) EjectUnreachable(now fulmarclock.Millis) {
	h.Eject(now, initialUnreachableEjection)
	h.unreachable = true
}

// Eject ejects the worker for the time first, or, if it has been ejected before
// and not restored since, for twice the last time, up to maxEjection.
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

// RecordProbe records the result of a probe. A failure ejects the worker again;
// enough consecutive successes make it healthy.
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
