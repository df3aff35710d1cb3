package fulmarsched

import (
	"slices"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// run is one execution of a task on a played executor.
type run struct {
	task     fulmarjob.TaskID
	number   int64
	executor string
	began    fulmarclock.Millis
	ended    fulmarclock.Millis
	how      fulmarjob.Ending
}

// playedStop is how long a stop takes.
const playedStop = 300 * fulmarclock.Millis(1)

// playedExecutor follows the executors' contract.
type playedExecutor struct {
	world   *world
	info    fulmarjob.Executor
	alive   bool
	silent  bool
	bornAt  fulmarclock.Millis
	token   int64
	lease   fulmarclock.Millis
	running map[fulmarjob.TaskID]*playedRun
	highest map[fulmarjob.TaskID]int64
	ends    []fulmarjob.FinishedTask
	count   int64
	// lapsed is the number of the last end before the lease last ended; such ends no longer count as noted.
	lapsed int64
}

type playedRun struct {
	*run
	need   fulmarjob.Resources
	endsAt fulmarclock.Millis
	fails  bool
	// stopping runs end at endsAt by their stop; until then they are listed as they were.
	stopping bool
}

func (e *playedExecutor) clock() fulmarclock.Millis { return e.world.now - e.bornAt }

func (e *playedExecutor) used() fulmarjob.Resources {
	sum := fulmarjob.Resources{}
	for _, r := range e.running {
		sum = sum.Plus(r.need)
	}
	return sum
}

func (e *playedExecutor) start(s fulmarjob.Start) fulmarjob.Answer {
	if s.Token < e.token {
		return fulmarjob.AnswerFenced
	}
	e.token = s.Token
	if s.Deadline < e.clock() {
		return fulmarjob.AnswerLate
	}
	if r := e.running[s.Task]; r != nil && r.number == s.Run {
		return fulmarjob.AnswerDone
	}
	if s.Run <= e.highest[s.Task] {
		return fulmarjob.AnswerOld
	}
	e.lease = max(e.lease, s.Deadline)
	step := e.world.stepOf(s.Task)
	if !step.Counted().FitsIn(e.info.Capacity.Minus(e.used())) {
		e.world.noRoom++
		return fulmarjob.AnswerNoRoom
	}
	e.world.began(s, e)
	r := &run{task: s.Task, number: s.Run, executor: e.info.ID, began: e.world.now}
	e.world.runs = append(e.world.runs, r)
	length, fails := e.world.behave(s.Task, s.Run, e)
	e.running[s.Task] = &playedRun{run: r, need: step.Counted(), endsAt: e.world.now + length, fails: fails}
	e.highest[s.Task] = s.Run
	return fulmarjob.AnswerDone
}

func (e *playedExecutor) stop(id fulmarjob.TaskID, number, token int64) fulmarjob.Answer {
	if token < e.token {
		return fulmarjob.AnswerFenced
	}
	e.token = token
	e.highest[id] = max(e.highest[id], number)
	if r := e.running[id]; r != nil && r.number <= number {
		r.stopping, r.endsAt = true, e.world.now+playedStop
	}
	return fulmarjob.AnswerDone
}

func (e *playedExecutor) hold(o RenewCommand) (fulmarjob.Answer, fulmarjob.Report) {
	if o.Token < e.token {
		return fulmarjob.AnswerFenced, fulmarjob.Report{}
	}
	e.token = o.Token
	if o.Deadline > 0 {
		e.lease = max(e.lease, min(o.Deadline, e.clock()+testBounds.MaxLease))
	}
	e.world.noteAcknowledged(e, o.Acknowledged)
	e.ends = slices.DeleteFunc(e.ends, func(f fulmarjob.FinishedTask) bool { return f.Number <= o.Acknowledged })
	report := fulmarjob.Report{Born: e.info.Born, Clock: e.clock(), Finished: slices.Clone(e.ends)}
	for _, r := range e.running {
		percent := 50
		if e.world.stepOf(r.task).Lasting && e.world.now >= r.began+300 {
			percent = 100
		}
		report.Running = append(report.Running, fulmarjob.RunningTask{Task: r.task, Run: r.number, Percent: percent})
	}
	slices.SortFunc(report.Running, func(a, b fulmarjob.RunningTask) int { return compareTasks(a.Task, b.Task) })
	return fulmarjob.AnswerDone, report
}

func (e *playedExecutor) end(r *playedRun, how fulmarjob.Ending) {
	delete(e.running, r.task)
	r.ended, r.how = e.world.now, how
	e.count++
	e.ends = append(e.ends, fulmarjob.FinishedTask{Number: e.count, Task: r.task, Run: r.number, How: how})
}

// inOrder returns what runs by task, so that each play repeats.
func (e *playedExecutor) inOrder() []*playedRun {
	var runs []*playedRun
	for _, r := range e.running {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *playedRun) int { return compareTasks(a.task, b.task) })
	return runs
}

// advance ends what is due.
func (e *playedExecutor) advance() {
	if e.clock() > e.lease {
		e.lapsed = e.count
	}
	for _, r := range e.inOrder() {
		switch {
		case e.clock() > e.lease:
			e.end(r, fulmarjob.EndedLapsed)
		case e.world.now >= r.endsAt && r.stopping:
			e.end(r, fulmarjob.EndedStopped)
		case e.world.now >= r.endsAt && r.fails:
			e.end(r, fulmarjob.EndedFailed)
		case e.world.now >= r.endsAt:
			e.end(r, fulmarjob.EndedDone)
		}
	}
}

// crash loses all that the executor runs and knows.
func (e *playedExecutor) crash() {
	for _, r := range e.running {
		r.ended, r.how = e.world.now, "lost"
	}
	e.running, e.highest = map[fulmarjob.TaskID]*playedRun{}, map[fulmarjob.TaskID]int64{}
	e.ends, e.count, e.token, e.lease, e.lapsed = nil, 0, 0, 0, 0
	e.alive = false
}

// restart begins a new life.
func (e *playedExecutor) restart() {
	e.alive, e.bornAt = true, e.world.now
	e.info.Born = int64(e.world.now) + 1
	e.world.scheduler.UpdateExecutor(e.world.now, e.info)
}
