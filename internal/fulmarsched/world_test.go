package fulmarsched

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// worldStep is the resolution of a played world.
const worldStep = 10 * fulmarclock.Millis(1)

var testBounds = Parameters{
	MaxLease: 10000, StopTimeout: 400, StatusRetention: 120000, TakeoverDelay: 3000,
	MaintenanceDuration: 2000, MoveDuration: 1500,
}

const (
	testService = "web"
	testQueue   = "web-queue"
)

func testConfiguration() *fulmarjob.Configuration {
	return &fulmarjob.Configuration{
		Version: 1,
		Queues: []fulmarjob.Queue{{
			Name: testQueue, Service: testService, MaxAttempts: 3, Slack: 1.6, Aim: 600,
		}},
		Services: []fulmarjob.Service{{Name: testService, GuardsRoom: true}, {Name: "parked", Standby: true}},
	}
}

// delivery is an answer, or an order that is carried out, at a later time.
type delivery struct {
	at fulmarclock.Millis
	do func()
}

// world plays executors and a journal around a scheduler.
type world struct {
	t          *testing.T
	now        fulmarclock.Millis
	scheduler  *Scheduler
	token      int64
	executors  []*playedExecutor
	journal    map[string]json.RawMessage
	jobs       map[string]fulmarjob.Specification
	runs       []*run
	noted      map[fulmarjob.TaskID]bool
	noRoom     int
	deliveries []delivery
	batch      *Batch
	commitAt   fulmarclock.Millis
	storeDown  bool
	upkeeps    []string
	movesMade  []MoveCommand
	reports    []WaveReport
	generation int

	// behave returns how long a run takes and whether it fails.
	behave func(id fulmarjob.TaskID, number int64, e *playedExecutor) (fulmarclock.Millis, bool)
	// loses tells whether the answer to the n-th order is lost; lateBy delays the order itself.
	loses  func(n int) bool
	lateBy func(n int) fulmarclock.Millis
	orders int
	// inspect looks at the world between the answers and the decisions of each step.
	inspect func()
	// mayRun tells which executors the advice service allows.
	mayRun func(id string) bool
	// configuration is what each owner is told.
	configuration *fulmarjob.Configuration
}

func newWorld(t *testing.T, executors int) *world {
	w := &world{
		t: t, now: 1000, journal: map[string]json.RawMessage{}, jobs: map[string]fulmarjob.Specification{},
		noted: map[fulmarjob.TaskID]bool{},
		behave: func(fulmarjob.TaskID, int64, *playedExecutor) (fulmarclock.Millis, bool) {
			return 200, false
		},
		loses:   func(int) bool { return false },
		lateBy:  func(int) fulmarclock.Millis { return 0 },
		inspect: func() {}, mayRun: func(string) bool { return true }, configuration: testConfiguration(),
	}
	for i := range executors {
		w.addExecutor(fmt.Sprintf("x-%d", i), fmt.Sprintf("vm-%d", i))
	}
	w.newOwner()
	return w
}

func (w *world) addExecutor(id, vm string) *playedExecutor {
	e := &playedExecutor{
		world: w, alive: true, bornAt: w.now,
		info: fulmarjob.Executor{
			ID: id, Address: id, Service: testService, Born: int64(w.now), VM: vm,
			Capacity: fulmarjob.Resources{MilliCPU: 4000, MemoryMB: 4000},
		},
		running: map[fulmarjob.TaskID]*playedRun{}, highest: map[fulmarjob.TaskID]int64{},
	}
	w.executors = append(w.executors, e)
	if w.scheduler != nil {
		w.scheduler.UpdateExecutor(w.now, e.info)
	}
	return e
}

type quietLogger struct{}

func (quietLogger) Log(string, ...any)   {}
func (quietLogger) Count(string, string) {}

// newOwner lets another owner take over from the journal; answers to the former one are lost.
func (w *world) newOwner() {
	w.generation++
	w.token++
	w.batch = nil
	w.scheduler = New(w.now, testBounds, w.token, quietLogger{})
	var records []Record
	for _, key := range sortedKeys(w.journal) {
		records = append(records, Record{Key: key, Value: w.journal[key]})
	}
	if err := w.scheduler.Restore(w.now, w.unix(), records); err != nil {
		w.t.Fatal(err)
	}
	w.scheduler.SetConfiguration(w.now, w.configuration)
	for _, e := range w.executors {
		if e.alive {
			w.scheduler.UpdateExecutor(w.now, e.info)
		}
	}
}

func (w *world) unix() int64 { return 1_700_000_000_000 + int64(w.now) }

func (w *world) stepOf(id fulmarjob.TaskID) fulmarjob.Step { return w.jobs[id.Job].Steps[id.Step] }

func (w *world) submit(id string, steps ...fulmarjob.Step) Decision {
	w.jobs[id] = fulmarjob.Specification{Payload: id, Steps: steps}
	return w.scheduler.Submit(w.now, w.unix(), Submission{
		ID: id, Queue: w.configuration.Queues[0], Specification: w.jobs[id],
	})
}

// began checks what must hold at each start.
func (w *world) began(s fulmarjob.Start, e *playedExecutor) {
	w.t.Helper()
	if w.noted[s.Task] {
		w.t.Errorf("%v at %d ms: run %d started after an acknowledged end", s.Task, w.now, s.Run)
	}
	for _, o := range w.executors {
		if r := o.running[s.Task]; r != nil {
			w.t.Errorf("%v at %d ms: run %d started on %s while run %d is on %s", s.Task, w.now, s.Run, e.info.ID, r.number, o.info.ID)
		}
	}
	for _, before := range w.stepOf(s.Task).After {
		for i := range w.jobs[s.Task.Job].Steps[before].Count {
			if !w.hasDone(fulmarjob.TaskID{Job: s.Task.Job, Step: before, Index: i}) {
				w.t.Errorf("%v at %d ms: started before step %d was done", s.Task, w.now, before)
			}
		}
	}
}

func (w *world) hasDone(id fulmarjob.TaskID) bool {
	return slices.ContainsFunc(w.runs, func(r *run) bool { return r.task == id && r.how == fulmarjob.EndedDone })
}

func (w *world) noteAcknowledged(e *playedExecutor, number int64) {
	for _, f := range e.ends {
		if f.Number <= number && f.Number > e.lapsed && f.How == fulmarjob.EndedDone {
			w.noted[f.Task] = true
			w.checkNotStartedSince(e, f)
		}
	}
}

// checkNotStartedSince fails when a task whose end is acknowledged was started again after that end.
func (w *world) checkNotStartedSince(e *playedExecutor, f fulmarjob.FinishedTask) {
	i := slices.IndexFunc(w.runs, func(r *run) bool {
		return r.task == f.Task && r.number == f.Run && r.executor == e.info.ID && r.how == fulmarjob.EndedDone
	})
	for _, r := range w.runs {
		if i >= 0 && r.task == f.Task && r.began > w.runs[i].ended {
			w.t.Errorf("%v: run %d began at %d ms, after run %d had ended as done at %d ms", f.Task, r.number, r.began, f.Run, w.runs[i].ended)
		}
	}
}

// play advances the world until a time.
func (w *world) play(until fulmarclock.Millis) {
	for w.now < until {
		w.step()
	}
}

// playUntil advances the world until a condition holds, and fails at the limit.
func (w *world) playUntil(limit fulmarclock.Millis, what string, holds func() bool) {
	w.t.Helper()
	for w.now < limit {
		if holds() {
			return
		}
		w.step()
	}
	w.t.Fatalf("not within %d ms: %s", limit, what)
}

func (w *world) step() {
	w.now += worldStep
	for _, e := range w.executors {
		if e.alive {
			e.advance()
		}
	}
	w.deliver()
	w.inspect()
	w.scheduler.Tick(w.now, w.unix())
	w.commit()
	for _, o := range w.scheduler.TakeCommands() {
		w.carryOut(o)
	}
}

func (w *world) deliver() {
	due := w.deliveries
	w.deliveries = nil
	for _, d := range due {
		if d.at > w.now {
			w.deliveries = append(w.deliveries, d)
			continue
		}
		d.do()
	}
}

// commit ends the append under way and begins the next.
func (w *world) commit() {
	if w.storeDown {
		return
	}
	if w.batch != nil && w.now >= w.commitAt {
		w.apply(w.batch)
		b := w.batch
		w.batch = nil
		w.scheduler.Committed(w.now, b)
	}
	if w.batch == nil {
		if b := w.scheduler.Plan(w.now, w.unix(), nil); !b.IsEmpty() {
			w.batch, w.commitAt = b, w.now+worldStep
		}
	}
}

func (w *world) apply(b *Batch) {
	for _, r := range b.Records {
		if r.Value == nil {
			delete(w.journal, r.Key)
			continue
		}
		w.journal[r.Key] = r.Value
	}
}

func (w *world) find(t Target) *playedExecutor {
	for _, e := range w.executors {
		if e.info.ID == t.ID {
			return e
		}
	}
	return nil
}

// carryOut plays an order: it arrives after a step, its answer after another.
func (w *world) carryOut(o Command) {
	w.orders++
	n, owner := w.orders, w.generation
	lost := w.loses(n)
	answer := func(at fulmarclock.Millis, do func()) {
		w.deliveries = append(w.deliveries, delivery{at: at, do: func() {
			if owner == w.generation {
				do()
			}
		}})
	}
	switch o := o.(type) {
	case StartCommand:
		w.carryOutStart(o, n, lost, answer)
	case StopCommand:
		e := w.find(o.Target)
		if !e.alive || e.silent || lost {
			answer(w.now+800, func() { w.scheduler.HandleStopResult(w.now, o.Target, o.Task, o.Run, fulmarjob.AnswerUnknown) })
			return
		}
		result := e.stop(o.Task, o.Run, o.Token)
		answer(w.now+worldStep, func() { w.scheduler.HandleStopResult(w.now, o.Target, o.Task, o.Run, result) })
	case RenewCommand:
		w.carryOutHold(o, lost, answer)
	case MaintenanceCommand:
		if !slices.Contains(w.upkeeps, o.VM) {
			w.upkeeps = append(w.upkeeps, o.VM)
			w.takeDown(o.VM, testBounds.MaintenanceDuration, testService)
		}
		answer(w.now+worldStep, func() { w.scheduler.HandleMaintenanceResult(w.now, o.VM, o.Wave, true, false) })
	case MoveCommand:
		w.movesMade = append(w.movesMade, o)
		w.takeDown(o.VM, testBounds.MoveDuration, o.Pool)
		answer(w.now+worldStep, func() { w.scheduler.HandleMoveResult(w.now, o.VM, o.Pool, true, false) })
	case AdviseCommand:
		tickets := map[string]string{}
		for _, id := range o.Executors {
			if w.mayRun(id) {
				tickets[id] = "ticket-" + id
			}
		}
		sent := w.now
		answer(w.now+50, func() { w.scheduler.HandleAdvice(w.now, sent, o, tickets, 1000, true) })
	case WaveReport:
		w.reports = append(w.reports, o)
	}
}

func (w *world) carryOutStart(o StartCommand, n int, lost bool, answer func(fulmarclock.Millis, func())) {
	e := w.find(o.Target)
	if !e.alive || e.silent {
		answer(w.now+800, func() {
			w.scheduler.HandleStartResult(w.now, o.Target, o.Start.Task, o.Start.Run, fulmarjob.AnswerUnknown)
		})
		return
	}
	carry := func() fulmarjob.Answer {
		if !e.alive || e.info.Born != o.Target.Born {
			return fulmarjob.AnswerOtherLife
		}
		return e.start(o.Start)
	}
	if lost {
		w.deliveries = append(w.deliveries, delivery{at: w.now + w.lateBy(n), do: func() { carry() }})
		answer(w.now+800, func() {
			w.scheduler.HandleStartResult(w.now, o.Target, o.Start.Task, o.Start.Run, fulmarjob.AnswerUnknown)
		})
		return
	}
	result := carry()
	answer(w.now+worldStep, func() { w.scheduler.HandleStartResult(w.now, o.Target, o.Start.Task, o.Start.Run, result) })
}

func (w *world) carryOutHold(o RenewCommand, lost bool, answer func(fulmarclock.Millis, func())) {
	e, sent := w.find(o.Target), w.now
	if !e.alive || e.silent || lost {
		answer(w.now+o.Wait+800, func() { w.scheduler.HandleRenewalFailure(w.now, o.Target, fulmarjob.AnswerUnknown) })
		return
	}
	result, report := e.hold(o)
	if result != fulmarjob.AnswerDone {
		answer(w.now+worldStep, func() { w.scheduler.HandleRenewalFailure(w.now, o.Target, result) })
		return
	}
	answer(w.now+worldStep, func() { w.scheduler.HandleRenewal(w.now, sent, o.Target, report) })
}

// takeDown ends all on a VM; its executor comes back under another ID in a pool.
func (w *world) takeDown(vm string, away fulmarclock.Millis, pool string) {
	for _, e := range w.executors {
		if e.info.VM != vm || !e.alive {
			continue
		}
		for _, r := range e.running {
			if w.stepOf(r.task).Lasting {
				w.t.Errorf("%v at %d ms: ended by an order on %s", r.task, w.now, vm)
			}
		}
		e.crash()
	}
	id := fmt.Sprintf("%s-%d", vm, w.now)
	w.deliveries = append(w.deliveries, delivery{at: w.now + away, do: func() {
		if pool == testService {
			w.addExecutor(id, vm)
		}
	}})
}

// state returns a job's state as callers see it.
func (w *world) state(id string) fulmarjob.State {
	state, known := w.scheduler.JobState(id)
	if !known {
		return "unknown"
	}
	return state
}

// allEnded tells whether all jobs that were accepted have ended.
func (w *world) allEnded() bool {
	for id := range w.jobs {
		if state, known := w.scheduler.JobState(id); known && !state.IsFinal() {
			return false
		}
	}
	return true
}

func (w *world) allCompleted() bool {
	for id := range w.jobs {
		if w.state(id) != fulmarjob.Completed {
			return false
		}
	}
	return true
}

func step(count int, after ...int) fulmarjob.Step {
	return fulmarjob.Step{Count: count, Need: fulmarjob.Resources{MilliCPU: 1000, MemoryMB: 500}, Estimate: 200, After: after}
}

func lasting(count, maxUnavailable int) fulmarjob.Step {
	s := step(count)
	s.Lasting, s.MaxPerExecutor, s.HasMaxUnavailable, s.MaxUnavailable = true, 1, true, maxUnavailable
	return s
}
