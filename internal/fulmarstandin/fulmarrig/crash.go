package fulmarrig

import (
	"fmt"
	"strings"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

const (
	// runLost and runCrashed are the outcomes of runs that end with their executor: in a move or
	// maintenance of the VM, and in a crash. The executor doesn't report them.
	runLost    = "lost"
	runCrashed = "crashed"
	// crashesUntilAlone is the number of executors that a task may crash before it must run without
	// tasks of other jobs. Starts may be on their way while the crashes become known.
	crashesUntilAlone = 3
	// crashDelay is the time from the start of a task that crashes its executor to the crash.
	crashDelay = 10 * fulmarclock.Millis(1)
)

// Crash ends the executor of a VM and its runs, and starts the next executor after downtime.
func (r *Rig) Crash(vm string, downtime fulmarclock.Millis) { r.fleet.crash(vm, downtime) }

// scheduleCrash crashes the executor after crashDelay if its task does so and the run is still
// in progress then.
func (e *executor) scheduleCrash(run *Run) {
	crashes := e.rig.options.CrashesExecutor
	if crashes == nil || !crashes(run.Task) {
		return
	}
	e.rig.options.Clock.AfterFunc(crashDelay, func() { e.rig.fleet.crashByRun(e, run) })
}

func (e *executor) isActive(run *Run) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endExpiredRuns()
	active := e.running[runKey{run.Task, run.Number}]
	return active != nil && active.run == run
}

func (f *fleet) crash(name string, downtime fulmarclock.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if v := f.find(name); v != nil && v.state == vmUp {
		f.takeDown(v, vmDown, runCrashed, downtime)
	}
}

// crashByRun crashes an executor because of a run, unless either has ended.
func (f *fleet) crashByRun(e *executor, run *Run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.find(e.vm)
	if f.closed || v.executor != e || !e.isActive(run) {
		return
	}
	f.rig.recordCrashCause(run, f.rig.options.Clock.Now()+f.rig.options.CrashDowntime)
	f.takeDown(v, vmDown, runCrashed, f.rig.options.CrashDowntime)
}

func (r *Rig) recordCrashCause(run *Run, downUntil fulmarclock.Millis) {
	r.mu.Lock()
	run.CausedCrash, run.DownUntil = true, downUntil
	r.mu.Unlock()
}

// findCrashLoops returns a description of each run that started while the VM that its task had
// crashed before was still down: a task must take down one executor at a time.
func findCrashLoops(runs []Run) []string {
	var violations []string
	downUntil := map[string]fulmarclock.Millis{}
	for _, r := range runs {
		if r.Started < downUntil[r.Task] {
			violations = append(violations, fmt.Sprintf("started before %d ms, when the VM that the task crashed is back: %+v", downUntil[r.Task], r))
		}
		if r.CausedCrash {
			downUntil[r.Task] = r.DownUntil
		}
	}
	return violations
}

// findLostNeighbours returns a description of each run of another job that ended in a crash because of
// a task that had crashed crashesUntilAlone executors before.
func findLostNeighbours(runs []Run) []string {
	var violations []string
	crashes := map[string]int{}
	for _, cause := range runs {
		if !cause.CausedCrash {
			continue
		}
		crashes[cause.Task]++
		if crashes[cause.Task] <= crashesUntilAlone {
			continue
		}
		for _, r := range runs {
			if r.isLostWith(cause) {
				violations = append(violations, fmt.Sprintf("lost in crash %d because of %s: %+v", crashes[cause.Task], cause.Task, r))
			}
		}
	}
	return violations
}

// isLostWith reports whether the run is of another job and ended in the crash that a run caused.
func (r Run) isLostWith(cause Run) bool {
	isSameCrash := r.Outcome == runCrashed && r.Executor == cause.Executor && r.Incarnation == cause.Incarnation
	return isSameCrash && jobOf(r.Task) != jobOf(cause.Task)
}

func jobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}
