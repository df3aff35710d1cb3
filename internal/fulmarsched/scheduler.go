// Package fulmarsched decides where and when tasks run. It is a state machine
// without clock, network or randomness of its own: events go in with their time,
// orders come out, and what must last comes out as records for the journal.
//
// Usage:
//
//	scheduler := fulmarsched.New(bounds, token)
//	scheduler.Restore(now, records)           // what the journal holds
//	scheduler.Configure(now, configuration)
//	scheduler.SeeExecutor(now, executor)
//	verdict := scheduler.Submit(now, submission)
//	batch := scheduler.Plan(now, unix)        // places tasks
//	…append batch.Records to the journal…
//	scheduler.Committed(now, batch)
//	orders := scheduler.TakeOrders()          // carry them out, report the answers
//
// An order that needs the journal (a start, an acknowledged end, an upkeep) comes
// out only after the batch that holds its record was committed. So a later owner
// knows every place where a task can be running.
package fulmarsched

import (
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// Bounds are the deployment's figures that decisions depend on.
type Bounds struct {
	// MaxHold is the longest lease that an executor grants.
	MaxHold fulmarclock.Millis
	// StopWithin is how long a stop takes at most.
	StopWithin fulmarclock.Millis
	// StatusKept is how long the state of an ended job is owed.
	StatusKept fulmarclock.Millis
	// OwnerPause is how long a new owner waits before it orders VMs about.
	OwnerPause fulmarclock.Millis
	// Upkeep and Move are how long a VM is away for its upkeep and for a change of its pool.
	Upkeep fulmarclock.Millis
	Move   fulmarclock.Millis
	// ReportsPerSecond bounds the renewals at busy executors, which each cost the owner processor time; zero for no bound.
	ReportsPerSecond float64
}

// Logger takes one line for each decision; fields come in pairs.
type Logger interface {
	Decide(message string, fields ...any)
	Count(name, reason string)
}

// Scheduler holds all jobs and what is known of the executors.
type Scheduler struct {
	params Bounds
	token  int64
	log    Logger

	now           fulmarclock.Millis
	unixMillis    int64
	startedAt     fulmarclock.Millis
	poolsLoggedAt fulmarclock.Millis
	configuration *fulmarjob.Configuration
	jobs          map[string]*job
	jobList       []*job
	executors     map[string]*executor
	// byID holds the same executors in the order of their IDs.
	executorList     []*executor
	waves            map[int64]*wave
	durationModels   map[string]*durationModel
	modelsRecordedAt fulmarclock.Millis
	// summary is the state of the pools at the last tick.
	poolSummaries map[string]*poolSummary
	vms           map[string]fulmarjob.VM
	advice        map[stepKey]*advice
	// advising counts the questions to the advice service that are under way.
	adviceInFlight int
	moves          map[string]*vmMove
	// inherited holds the VMs that the owners before may have ordered about.
	inheritedVMs map[string]bool
	// barred holds the VMs and pools, with a blank between, that the platform does not let together.
	rejectedMoves map[string]bool
	demands       map[string]*demand
	rebalancedAt  fulmarclock.Millis
	// holdGap is the least time between two renewals at one executor, as of the last tick.
	renewalInterval fulmarclock.Millis
	// journaled is the time up to which the journal holds all that has changed.
	journaledUntil fulmarclock.Millis

	dirtyJobs             []*job
	placedTasks           []*task
	executorsWithFinished []*executor
	chosenVMs             []*vmMaintenance
	changedUnresponsive   []string
	endedJobs             []*job
	changedMoves          []*vmMove
	movingTasks           []*task
	commands              []Order
}

// New returns a scheduler whose orders bear token.
func New(now fulmarclock.Millis, params Bounds, token int64, log Logger) *Scheduler {
	return &Scheduler{
		params: params, token: token, log: log, now: now, startedAt: now,
		jobs: map[string]*job{}, executors: map[string]*executor{}, waves: map[int64]*wave{},
		durationModels: map[string]*durationModel{}, vms: map[string]fulmarjob.VM{}, advice: map[stepKey]*advice{}, moves: map[string]*vmMove{}, inheritedVMs: map[string]bool{},
		rejectedMoves: map[string]bool{}, demands: map[string]*demand{},
	}
}

// Token returns the fencing token of the orders.
func (s *Scheduler) Token() int64 { return s.token }

// Configure brings a configuration into force.
func (s *Scheduler) Configure(now fulmarclock.Millis, c *fulmarjob.Configuration) {
	s.now = now
	if s.configuration != nil && c.Version < s.configuration.Version {
		return
	}
	s.configuration = c
	for _, j := range s.jobList {
		if q, found := c.QueueNamed(j.queue.Name); found {
			j.queue = q
		}
	}
}

// Tick does what is due by time alone.
func (s *Scheduler) Tick(now fulmarclock.Millis, unixMillis int64) {
	s.now, s.unixMillis = now, unixMillis
	s.renewalInterval = s.computeRenewalInterval()
	for _, e := range s.allExecutors() {
		s.checkExecutor(e)
	}
	for _, j := range s.jobList {
		s.openOccurrences(j)
	}
	s.removeExpiredJobs()
	s.poolSummaries = s.summarizePools()
	s.advanceWaves()
	s.rebalance()
	s.logPools()
}

// Batch is what the journal must hold before its orders go out.
type Batch struct {
	Records []Record
	// planned is when the batch was put together.
	plannedAt   fulmarclock.Millis
	placedTasks []*task
	finished    []finishedCursor
	chosenVMs   []*vmMaintenance
	endedJobs   []*job
	moves       []*vmMove
	movingTasks []*task
}

// endCursor is how far the ends of an executor's life are part of a batch.
type finishedCursor struct {
	executor    *executor
	incarnation int64
	sequence    int64
}

// IsEmpty tells whether there is nothing to append.
func (b *Batch) IsEmpty() bool {
	return len(b.Records) == 0 && len(b.placedTasks) == 0 && len(b.finished) == 0 && len(b.chosenVMs) == 0
}

// Plan places tasks and returns all that has changed since the last batch, and
// the records of due, whose segments are to be replaced.
func (s *Scheduler) Plan(now fulmarclock.Millis, unixMillis int64, rewrite []string) *Batch {
	s.now, s.unixMillis = now, unixMillis
	s.place()
	b := &Batch{plannedAt: now, placedTasks: s.placedTasks, chosenVMs: s.chosenVMs, endedJobs: s.endedJobs, moves: s.changedMoves, movingTasks: s.movingTasks}
	b.Records = s.changedRecords(rewrite)
	for _, e := range s.executorsWithFinished {
		e.finishedQueued = false
		b.finished = append(b.finished, finishedCursor{executor: e, incarnation: e.info.Born, sequence: e.finishedSeen})
	}
	s.placedTasks, s.executorsWithFinished, s.chosenVMs, s.endedJobs, s.changedMoves = nil, nil, nil, nil, nil
	s.movingTasks = nil
	if b.IsEmpty() {
		s.journaledUntil = now
	}
	return b
}

// Committed releases the orders of a batch that the journal holds.
func (s *Scheduler) Committed(now fulmarclock.Millis, b *Batch) {
	s.now, s.journaledUntil = now, b.plannedAt
	s.commitUnresponsive(b.Records)
	for _, t := range b.placedTasks {
		t.journaled = true
		s.sendStart(t)
	}
	for _, f := range b.finished {
		if f.executor.info.Born == f.incarnation {
			f.executor.acknowledged = max(f.executor.acknowledged, f.sequence)
			s.scheduleRenewal(f.executor, 0)
		}
	}
	for _, m := range b.chosenVMs {
		m.journaled = true
	}
	s.commitMoves(b.moves)
	for _, t := range b.movingTasks {
		t.movingJournaled = t.moving
	}
	for _, j := range b.endedJobs {
		j.finalStateJournaled = true
	}
}

// TakeOrders returns the orders that are ready to be carried out.
func (s *Scheduler) TakeOrders() []Order {
	s.sendRenewals()
	commands := s.commands
	s.commands = nil
	return commands
}
