package fulmarsched

import (
	"slices"

	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// retireOlderIncarnations retires the executors on the VM of e that have started before e, which has
// sent a report. That does not prove on which VM it is: an older one that may still respond, or that the
// platform's list of VMs shows to be up, is asked first.
func (s *Scheduler) retireOlderIncarnations(e *executor) {
	for _, other := range s.allExecutors() {
		if other.retired || !e.isSuccessorOf(other) {
			continue
		}
		if (other.failedRenewals > 0 || other.info.Address == "") && !s.isCutOff(other.info.ID) {
			s.retireCrashed(other)
			continue
		}
		other.supersededAt = s.now
		// A renewal in flight may wait for an incarnation that has ended.
		other.renewalInFlight = false
		s.scheduleRenewal(other, 0)
	}
}

// isSuperseded reports whether the failure of a renewal shows that the executor has ended, as one
// that started later on its VM has reported. An unhealthy executor has not, nor has one that is cut off.
func (s *Scheduler) isSuperseded(e *executor, result fulmarjob.CommandResult) bool {
	isGone := result == fulmarjob.ResultUnknown || result == fulmarjob.ResultOtherIncarnation
	return isGone && !s.isCutOff(e.info.ID) && e.supersededAt > 0 && e.renewalSentAt >= e.supersededAt && s.hasSuccessor(e)
}

// hasSuccessor reports whether the entries still name a successor of the executor that has reported.
func (s *Scheduler) hasSuccessor(e *executor) bool {
	return slices.ContainsFunc(s.executorList, func(other *executor) bool { return other.fence.accepted && other.isSuccessorOf(e) })
}

// isSuccessorOf reports whether e has started later than other on the same VM. Only entries say that, so
// no entry of either incarnation may have named another VM.
func (e *executor) isSuccessorOf(other *executor) bool {
	return e != other && e.hasKnownVM() && other.hasKnownVM() && e.info.VM == other.info.VM && e.info.Incarnation > other.info.Incarnation
}
