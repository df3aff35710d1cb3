package fulmarsched

import "github.com/fulmardrum/fulmardrum/internal/fulmarclock"

// leaseEnd returns a time by which the lease of a task's run on an executor has expired. A run that no report has shown,
// or a late attempt to start it, may be at a later incarnation, unless none is up.
func (s *Scheduler) leaseEnd(e *executor, t *task) fulmarclock.Millis {
	end := s.knownLeaseEnd(e)
	if e.hasEnded() && t.startSentAt < e.endedBefore && !s.isCutOff(e.info.ID) {
		return end
	}
	if !t.inherited {
		end = max(end, e.openStarts.presentUntil(t.startKey()))
	}
	if t.runningSince > 0 && (t.isStartSettled(s.now) || t.inherited) {
		return end
	}
	return max(end, e.laterLeasesEndBy)
}

// knownLeaseEnd returns a time by which the leases at the known incarnation of an executor have expired. One that has
// ended is given the time of a usual lease: what an owner knows of the crash by then decides where its tasks go.
func (s *Scheduler) knownLeaseEnd(e *executor) fulmarclock.Millis {
	if !e.hasEnded() {
		return e.leasesEndBy
	}
	usual := fulmarclock.Millis(float64(s.leaseDuration()) / minClockRate)
	return min(e.leasesEndBy, max(e.grantedUntil, e.lastResultAt+usual))
}

// hasEnded reports whether the platform's list of VMs shows that the incarnation that responded last has ended.
func (e *executor) hasEnded() bool { return e.endedBefore > e.lastResultAt }

// lastLeaseEnd returns a time by which the leases of all runs on an executor have expired.
func (s *Scheduler) lastLeaseEnd(e *executor) fulmarclock.Millis {
	last := e.leasesEndBy
	for _, t := range e.tasks {
		last = max(last, s.leaseEnd(e, t))
	}
	return last
}
