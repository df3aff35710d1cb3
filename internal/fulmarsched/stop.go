package fulmarsched

import "github.com/fulmardrum/fulmardrum/internal/fulmarjob"

// stopReason is why a run is stopped, as logs and counters show it.
type stopReason string

// The reasons for stops.
const (
	stopJobEnded       stopReason = "its job has ended"
	stopTaskDone       stopReason = "an earlier run of its task is done"
	stopTaskMoves      stopReason = "its task moves to another executor"
	stopGangEnded      stopReason = "another member of its gang ended"
	stopNewIncarnation stopReason = "its executor has a new incarnation"
	stopNotReported    stopReason = "its executor does not report the uncertain run"
	stopOtherRunDone   stopReason = "another run of its task is done"
	stopSuspectedCopy  stopReason = "its task is suspected of a crash"
	stopCapacityShrunk stopReason = "its executor's capacity has shrunk"
	stopDraining       stopReason = "its executor drains before its start is confirmed"
	stopBeyondQuota    stopReason = "its customer's quota was lowered"
)

// stopRun sends a command to stop a task's run. The executor then reports the run as finished, or
// confirms that the run can't start any more.
func (s *Scheduler) stopRun(t *task, reason stopReason) {
	s.logStop(t, reason)
	t.stopping = true
	s.sendStop(t)
}

// sendStop sends the stop command of a run, which may be a repeated one.
func (s *Scheduler) sendStop(t *task) {
	t.stopSentAt = s.now
	e := t.executor
	s.commands = append(s.commands, StopCommand{Target: e.target(), Task: t.id, Run: t.run, Token: e.fence.token})
	s.scheduleRenewal(e, s.now+minRenewalInterval)
}

// logStop logs a stop, and counts it if more tasks of the step are then unavailable than may be.
func (s *Scheduler) logStop(t *task, reason stopReason) {
	unavailable := t.unavailableBeside()
	isBeyondLimit := t.step.HasMaxUnavailable && t.isAtWork() && unavailable >= t.step.MaxUnavailable
	if isBeyondLimit && t.job.state != fulmarjob.Cancelled {
		s.log.Log("stop exceeds the limit on unavailable tasks", "job", t.id.Job, "step", t.id.Step, "why", reason, "others_unavailable", unavailable, "max_unavailable", t.step.MaxUnavailable)
		s.log.Count("stops_beyond_limit", string(reason))
	}
	s.log.Log("stopping run", "job", t.id.Job, "step", t.id.Step, "index", t.id.Index, "run", t.run, "executor", t.executor.info.ID, "why", reason, "progress", t.progress)
}

// unavailableBeside returns how many other tasks of a task's step are not available.
func (t *task) unavailableBeside() int {
	unavailable := 0
	for _, other := range t.occurrence.steps[t.id.Step] {
		if other != t && !other.isAvailable() {
			unavailable++
		}
	}
	return unavailable
}
