package fulmarsched

import (
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// isOtherIncarnation reports whether an incarnation differs from the known one.
func (e *executor) isOtherIncarnation(incarnation int64) bool {
	return incarnation != 0 && e.info.Incarnation != 0 && incarnation != e.info.Incarnation
}

// hasClaim reports whether an entry of another incarnation waits for a report.
func (e *executor) hasClaim() bool { return e.claimed.ID != "" }

// isContacted reports whether renewals are sent to the executor: to a retired one only to settle a claim.
func (e *executor) isContacted() bool { return !e.retired || e.hasClaim() }

func (e *executor) clearClaim() { e.claimed = fulmarjob.Executor{} }

// mayHaveRuns reports whether runs may be present on the known incarnation of the executor.
func (e *executor) mayHaveRuns() bool {
	return !e.retired && (e.fence.accepted || len(e.tasks) > 0)
}

// isClaim reports whether only a report can settle what an entry says of the incarnation. That is so
// for any entry of a retired executor: it may not have ended, or may have another incarnation.
func (e *executor) isClaim(info fulmarjob.Executor) bool {
	return e.retired || e.isOtherIncarnation(info.Incarnation) && e.mayHaveRuns()
}

// claimIncarnation keeps an entry that names another incarnation than the known one, which may have
// runs, or a retired one, and asks the executor for a report. It may be wrong, as other writers can
// write the executor's entry, and an earlier start time may be the later one if a clock was set back.
func (s *Scheduler) claimIncarnation(e *executor, info fulmarjob.Executor) {
	e.listed = true
	e.info.Address = info.Address
	if e.hasClaim() && e.claimed.Incarnation == info.Incarnation {
		e.claimed = info
		// No request may be on its way: an executor that was not listed meanwhile gets none.
		s.scheduleProbe(e)
		return
	}
	s.log.Log("executor entry names another or a retired incarnation; requesting a report", "executor", e.info.ID, "born", info.Incarnation, "known", e.info.Incarnation, "tasks", len(e.tasks))
	e.claimed, e.claimedAt = info, s.now
	// A renewal in flight may wait for an incarnation that has ended.
	e.renewalInFlight = false
	s.scheduleRenewal(e, 0)
}

// resolveIncarnation applies the incarnation that a report names to an executor. A report that was
// requested at sentAt, after a claim, settles the claim.
func (s *Scheduler) resolveIncarnation(e *executor, incarnation int64, sentAt fulmarclock.Millis) {
	claimed := e.claimed
	if e.claimedAt <= sentAt {
		e.clearClaim()
	}
	if e.info.Incarnation == 0 {
		e.info.Incarnation = incarnation
	}
	if !e.isOtherIncarnation(incarnation) {
		s.readmit(e, claimed)
		return
	}
	s.replaceIncarnation(e, incarnation)
	if claimed.Incarnation != incarnation {
		e.awaitCapacity()
		return
	}
	e.clearClaim()
	s.applyEntry(e, claimed)
}

// settlesClaim reports whether the response to a renewal that was sent at sentAt may settle a claim.
func (e *executor) settlesClaim(sentAt fulmarclock.Millis) bool {
	return e.hasClaim() && e.claimedAt <= sentAt
}

// readmit uses a retired incarnation again that has responded since. The conclusion that it had ended
// was wrong, as the entries that it was drawn from are only claims. Its placements have ended: the runs
// that it still reports are stopped, and starts on their way to it must not follow later ones.
func (s *Scheduler) readmit(e *executor, claimed fulmarjob.Executor) {
	if !e.retired {
		return
	}
	s.log.Log("retired executor responds; using it again", "executor", e.info.ID, "vm", e.info.VM, "born", e.info.Incarnation)
	e.retired = false
	e.fence.beginIncarnation(s.revision)
	if claimed.Incarnation == e.info.Incarnation {
		s.applyEntry(e, claimed)
	}
}
