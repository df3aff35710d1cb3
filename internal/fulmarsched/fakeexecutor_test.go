package fulmarsched

import (
	"fmt"
	"slices"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// taskRun is one run of a task on a fake executor.
type taskRun struct {
	task     fulmarjob.TaskID
	number   int64
	executor string
	// incarnation is the executor's incarnation.
	incarnation int64
	startedAt   fulmarclock.Millis
	endedAt     fulmarclock.Millis
	outcome     fulmarjob.RunOutcome
}

// fakeStopDuration is how long a fake executor takes to stop a run.
const fakeStopDuration = 300 * fulmarclock.Millis(1)

// restartClockFraction is what the clock of an incarnation shows at its start, in percent of its predecessor's clock. A
// deadline on the clock of an incarnation is far ahead on that of the next one.
const restartClockFraction = 80

// fakeExecutor behaves as the scheduler expects of an executor.
type fakeExecutor struct {
	sim  *simulation
	info fulmarjob.Executor
	// entry is what the store lists of the executor.
	entry        fulmarjob.Executor
	alive        bool
	unresponsive bool
	// unlisted means that the store has no entry of the executor.
	unlisted  bool
	startedAt fulmarclock.Millis
	// clockOrigin is what the clock of the present incarnation showed at its start.
	clockOrigin fulmarclock.Millis
	// hasSlowClock means that the clock runs at minClockRate.
	hasSlowClock  bool
	token         int64
	lease         fulmarclock.Millis
	running       map[fulmarjob.TaskID]*fakeRun
	highestRun    map[fulmarjob.TaskID]int64
	finished      []fulmarjob.FinishedTask
	finishedCount int64
	// expiredThrough is the sequence number of the last run that had finished when the lease last
	// expired. An acknowledgement of such a run does not count as the end of its task, which may
	// already be placed elsewhere.
	expiredThrough int64
	// capacities are the capacities that the executor had, the present one last.
	capacities []capacityChange
	// held are the calls of the downtime, which the next incarnation executes.
	held []func()
}

type fakeRun struct {
	*taskRun
	resources fulmarjob.Resources
	endsAt    fulmarclock.Millis
	fails     bool
	// stopping runs end at endsAt because of a stop; until then they are reported as before.
	stopping bool
}

func (e *fakeExecutor) clock() fulmarclock.Millis {
	uptime := e.sim.now - e.startedAt
	if e.hasSlowClock {
		uptime = fulmarclock.Millis(float64(uptime) * minClockRate)
	}
	return e.clockOrigin + uptime
}

func (e *fakeExecutor) used() fulmarjob.Resources {
	sum := fulmarjob.Resources{}
	for _, r := range e.running {
		sum = sum.Add(r.resources)
	}
	return sum
}

func (e *fakeExecutor) start(start fulmarjob.StartRequest) fulmarjob.CommandResult {
	if start.Token < e.token {
		return fulmarjob.ResultFenced
	}
	e.token = start.Token
	if start.Deadline < e.clock() {
		return fulmarjob.ResultDeadlineExceeded
	}
	if r := e.running[start.Task]; r != nil && r.number == start.Run {
		return fulmarjob.ResultDone
	}
	if start.Run <= e.highestRun[start.Task] {
		return fulmarjob.ResultStaleRun
	}
	if a := e.sim.advisor; a != nil && !a.accepts(e, start) {
		e.sim.ticketRefusals++
		return fulmarjob.ResultNoTicket
	}
	e.lease = max(e.lease, min(start.Deadline, e.clock()+testParameters.MaxLease))
	step := e.sim.stepOf(start.Task)
	if e.sim.withoutAdmissionControl {
		e.checkRoom(start, step.Reserved())
	} else if !step.Reserved().FitsIn(e.info.Capacity.Sub(e.used())) {
		e.sim.capacityRefusals++
		return fulmarjob.ResultNoCapacity
	}
	e.sim.checkStart(start, e)
	r := &taskRun{task: start.Task, number: start.Run, executor: e.info.ID, incarnation: e.info.Incarnation, startedAt: e.sim.now}
	e.sim.runs = append(e.sim.runs, r)
	duration, fails := e.sim.runBehavior(start.Task, start.Run, e)
	e.running[start.Task] = &fakeRun{taskRun: r, resources: step.Reserved(), endsAt: e.sim.now + duration, fails: fails}
	e.highestRun[start.Task] = start.Run
	e.sim.quotas.checkStart(start.Task)
	if e.sim.crashesExecutor != nil && e.sim.crashesExecutor(start.Task) {
		e.sim.crashAfterStart(e)
	}
	return fulmarjob.ResultDone
}

func (e *fakeExecutor) stop(id fulmarjob.TaskID, number, token int64) fulmarjob.CommandResult {
	if token < e.token {
		return fulmarjob.ResultFenced
	}
	e.token = token
	e.highestRun[id] = max(e.highestRun[id], number)
	if r := e.running[id]; r != nil && r.number <= number {
		r.stopping, r.endsAt = true, e.sim.now+fakeStopDuration
	}
	return fulmarjob.ResultDone
}

func (e *fakeExecutor) renewLease(c RenewCommand) (fulmarjob.CommandResult, fulmarjob.Report) {
	if c.Token < e.token {
		return fulmarjob.ResultFenced, fulmarjob.Report{}
	}
	e.token = c.Token
	if c.Deadline > 0 {
		e.lease = max(e.lease, min(c.Deadline, e.clock()+testParameters.MaxLease))
	}
	e.sim.recordAcknowledged(e, c.Acknowledged)
	e.finished = slices.DeleteFunc(e.finished, func(f fulmarjob.FinishedTask) bool { return f.Sequence <= c.Acknowledged })
	return fulmarjob.ResultDone, e.report()
}

func (e *fakeExecutor) report() fulmarjob.Report {
	listed := e.finished[:min(len(e.finished), e.sim.maxListedFinished)]
	report := fulmarjob.Report{Incarnation: e.info.Incarnation, ClockTime: e.clock(), Finished: slices.Clone(listed)}
	report.MoreFinished = len(listed) == e.sim.maxListedFinished
	for _, r := range e.running {
		percent := 50
		if e.sim.stepOf(r.task).LongRunning && e.sim.now >= r.startedAt+300 {
			percent = 100
		}
		report.Running = append(report.Running, fulmarjob.RunningTask{Task: r.task, Run: r.number, ProgressPercent: percent})
	}
	slices.SortFunc(report.Running, func(a, b fulmarjob.RunningTask) int { return compareTaskIDs(a.Task, b.Task) })
	return report
}

func (e *fakeExecutor) endRun(r *fakeRun, outcome fulmarjob.RunOutcome) {
	delete(e.running, r.task)
	r.endedAt, r.outcome = e.sim.now, outcome
	e.finishedCount++
	e.finished = append(e.finished, fulmarjob.FinishedTask{Sequence: e.finishedCount, Task: r.task, Run: r.number, Outcome: outcome})
}

// sortedRuns returns the running tasks in a fixed order, so that simulations are reproducible.
func (e *fakeExecutor) sortedRuns() []*fakeRun {
	var runs []*fakeRun
	for _, r := range e.running {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *fakeRun) int { return compareTaskIDs(a.task, b.task) })
	return runs
}

// endDueRuns ends the runs that are due, and all runs once the lease has expired.
func (e *fakeExecutor) endDueRuns() {
	if e.clock() > e.lease {
		e.expiredThrough = e.finishedCount
	}
	for _, r := range e.sortedRuns() {
		switch {
		case e.clock() > e.lease:
			e.endRun(r, fulmarjob.RunLeaseExpired)
		case e.sim.now >= r.endsAt && r.stopping:
			e.endRun(r, fulmarjob.RunStopped)
		case e.sim.now >= r.endsAt && r.fails:
			e.endRun(r, fulmarjob.RunFailed)
		case e.sim.now >= r.endsAt:
			e.endRun(r, fulmarjob.RunDone)
		}
	}
}

// crash ends all runs and resets the executor's state.
func (e *fakeExecutor) crash() {
	for _, r := range e.running {
		r.endedAt, r.outcome = e.sim.now, "lost"
	}
	e.running, e.highestRun = map[fulmarjob.TaskID]*fakeRun{}, map[fulmarjob.TaskID]int64{}
	e.finished, e.finishedCount, e.token, e.lease, e.expiredThrough = nil, 0, 0, 0, 0
	e.alive = false
}

// crashAfterStart crashes an executor the simulation's crashDelay after the start of a run. Its VM returns with
// another executor.
func (s *simulation) crashAfterStart(e *fakeExecutor) {
	incarnation := e.info.Incarnation
	s.events = append(s.events, event{at: s.now + s.crashDelay, run: func() {
		if e.alive && e.info.Incarnation == incarnation {
			s.crashVM(e)
		}
	}})
}

// crashVM crashes an executor. Its VM returns with another one after the simulation's crashDowntime.
func (s *simulation) crashVM(e *fakeExecutor) {
	for id := range e.running {
		s.crashesUnder[id] = append(s.crashesUnder[id], s.now)
	}
	for _, f := range e.finished {
		s.endsLost[f.Task]++
	}
	e.crash()
	id := fmt.Sprintf("%s-%d", e.info.VM, s.now)
	s.events = append(s.events, event{at: s.now + s.crashDowntime, run: func() { s.returnVM(id, e.info.VM) }})
}

// returnVM adds an executor on a VM, unless the VM has returned already.
func (s *simulation) returnVM(id, vm string) {
	for _, e := range s.executors {
		if e.alive && e.info.VM == vm {
			return
		}
	}
	s.addExecutor(id, vm)
}

// restart starts a new incarnation under the same ID, which the store lists at once.
func (e *fakeExecutor) restart() { e.restartUnlisted(0) }

// restartUnlisted starts a new incarnation under the same ID, which the store lists after a delay.
func (e *fakeExecutor) restartUnlisted(delay fulmarclock.Millis) {
	e.clockOrigin = e.clock() * restartClockFraction / fullPercent
	e.alive, e.startedAt = true, e.sim.now
	e.info.Incarnation = int64(e.sim.now) + 1
	for _, call := range e.held {
		call()
	}
	e.held = nil
	if delay == 0 {
		e.list()
		return
	}
	e.sim.listLater(e, delay)
}

// list stores the executor's entry, of which the scheduler learns at once.
func (e *fakeExecutor) list() {
	e.entry, e.unlisted = e.info, false
	if e.sim.scheduler != nil {
		e.sim.scheduler.UpdateExecutor(e.sim.now, e.entry)
	}
}

// refreshEntry updates the entry, unless it is still that of an earlier incarnation.
func (e *fakeExecutor) refreshEntry() {
	if e.entry.Incarnation == e.info.Incarnation {
		e.entry = e.info
	}
}
