package fulmarsched

import (
	"math"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

// A crash makes suspects of all the young tasks that it ended, and one crash is weak evidence against each
// of many. Suspects that end soon run in isolation job by job. Those that last would hold their executors
// for as long as they are watched, and others of them would wait meanwhile: they run in isolation
// together, spread evenly over some executors, so that a further crash names few of them.

// spreadDelay is how long suspects wait so that they are spread evenly.
const spreadDelay = 1500 * fulmarclock.Millis(1)

// trial names the suspects that may run together in isolation. The zero value names none.
type trial struct {
	// job means the suspects of a job.
	job *job
	// isLasting means the suspects of all jobs that last, with one suspicion each.
	isLasting bool
}

// isBefore reports whether a trial comes before another one in a fixed order.
func (r trial) isBefore(other trial) bool {
	if r.isLasting || other.isLasting {
		return r.isLasting && !other.isLasting
	}
	return r.job.id < other.job.id
}

// includes reports whether a task may run beside the suspects of a trial.
func (r trial) includes(t *task) bool {
	if r.isLasting {
		return t.isOnLastingTrial()
	}
	return t.job == r.job
}

// trial returns the trial that the task belongs to while it is a suspect.
func (t *task) trial() trial {
	if t.isOnLastingTrial() {
		return trial{isLasting: true}
	}
	return trial{job: t.job}
}

// isOnLastingTrial reports whether the task runs, or has to run, in isolation with other suspects that last.
func (t *task) isOnLastingTrial() bool {
	return t.step.LongRunning && !t.step.Gang && t.isSuspect() && !t.isRepeatSuspect()
}

// lastingTrial is the trial of a service's suspects that last.
type lastingTrial struct {
	// placed and waiting are the numbers of suspects.
	placed, waiting int
	// isLate means that a suspect has waited for spreadDelay.
	isLate bool
	// executors is the number of executors that are isolated for the trial.
	executors int
}

// wantedExecutors returns on how many executors the suspects are best tried: the more, the fewer are
// named by a further crash, and the fewer executors are left to others.
func (l *lastingTrial) wantedExecutors() int {
	return int(math.Ceil(math.Sqrt(float64(l.placed + l.waiting))))
}

// maxPerExecutor returns how many suspects an executor may take.
func (l *lastingTrial) maxPerExecutor() int {
	wanted := l.wantedExecutors()
	if l.isLate || wanted == 0 {
		return math.MaxInt
	}
	return (l.placed + l.waiting + wanted - 1) / wanted
}

// needsExecutor reports whether the suspects would better be tried on more executors.
func (l *lastingTrial) needsExecutor() bool {
	return l.executors < l.wantedExecutors() || l.isLate
}

// updateLastingTrials counts the suspects that last, by service.
func (s *Scheduler) updateLastingTrials() {
	s.lastingTrials = map[string]*lastingTrial{}
	for _, j := range s.activeJobs {
		if j.suspects == 0 || j.state.IsFinal() {
			continue
		}
		j.eachTask(func(t *task) {
			if t.isOnLastingTrial() && !s.isHeldBack(t) {
				s.lastingTrialOf(j.queue.Service).add(t, s.now)
			}
		})
	}
}

// lastingTrialOf returns the trial of a service.
func (s *Scheduler) lastingTrialOf(service string) *lastingTrial {
	l := s.lastingTrials[service]
	if l == nil {
		l = &lastingTrial{}
		s.lastingTrials[service] = l
	}
	return l
}

func (l *lastingTrial) add(t *task, now fulmarclock.Millis) {
	switch {
	case t.state == taskPlaced && !t.isStoppedStart():
		l.placed++
	case t.state == taskWaiting && now >= t.retryAt:
		l.waiting++
		l.isLate = l.isLate || now >= t.suspectedAt+spreadDelay
	}
}

// countOnTrial returns how many of the executor's tasks are suspects that last.
func (e *executor) countOnTrial() int {
	count := 0
	for _, t := range e.tasks {
		if t.isOnLastingTrial() {
			count++
		}
	}
	return count
}
