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

// Parameters are the deployment's figures that decisions depend on.
type Parameters struct {
	// MaxLease is the longest lease that an executor grants.
	MaxLease fulmarclock.Millis
	// StopTimeout is how long a stop takes at most.
	StopTimeout fulmarclock.Millis
	// StatusRetention is how long the state of an ended job is owed.
	StatusRetention fulmarclock.Millis
	// TakeoverDelay is how long a new owner waits before it orders VMs about.
	TakeoverDelay fulmarclock.Millis
	// MaintenanceDuration and Move are how long a VM is away for its upkeep and for a change of its pool.
	MaintenanceDuration fulmarclock.Millis
	MoveDuration        fulmarclock.Millis
	// RenewalsPerSecond bounds the renewals at busy executors, which each cost the owner processor time; zero for no bound.
	RenewalsPerSecond float64
}

// Logger takes one line for each decision; fields come in pairs.
type Logger interface {
	Log(message string, fields ...any)
	Count(name, reason string)
}

// Scheduler holds all jobs and what is known of the executors.
type Scheduler struct {
	bounds Parameters
	token  int64
	log    Logger

	now           fulmarclock.Millis
	unix          int64
	openedAt      fulmarclock.Millis
	pooledAt      fulmarclock.Millis
	configuration *fulmarjob.Configuration
	jobs          map[string]*job
	order         []*job
	executors     map[string]*executor
	// byID holds the same executors in the order of their IDs.
	byID      []*executor
	waves     map[int64]*wave
	learned   map[string]*forecast
	learnedAt fulmarclock.Millis
	// summary is the state of the pools at the last tick.
	summary map[string]*pool
	vms     map[string]fulmarjob.VM
	advice  map[stepKey]*advice
	// advising counts the questions to the advice service that are under way.
	advising int
	moves    map[string]*vmMove
	// inherited holds the VMs that the owners before may have ordered about.
	inherited map[string]bool
	// barred holds the VMs and pools, with a blank between, that the platform does not let together.
	barred     map[string]bool
	demands    map[string]*demand
	balancedAt fulmarclock.Millis
	// holdGap is the least time between two renewals at one executor, as of the last tick.
	holdGap fulmarclock.Millis
	// journaled is the time up to which the journal holds all that has changed.
	journaled fulmarclock.Millis

	dirty   []*job
	starts  []*task
	seen    []*executor
	waved   []*vmUpkeep
	silent  []string
	ended   []*job
	moved   []*vmMove
	leavers []*task
	orders  []Command
}

// New returns a scheduler whose orders bear token.
func New(now fulmarclock.Millis, bounds Parameters, token int64, log Logger) *Scheduler {
	return &Scheduler{
		bounds: bounds, token: token, log: log, now: now, openedAt: now,
		jobs: map[string]*job{}, executors: map[string]*executor{}, waves: map[int64]*wave{},
		learned: map[string]*forecast{}, vms: map[string]fulmarjob.VM{}, advice: map[stepKey]*advice{}, moves: map[string]*vmMove{}, inherited: map[string]bool{},
		barred: map[string]bool{}, demands: map[string]*demand{},
	}
}

// Token returns the fencing token of the orders.
func (s *Scheduler) Token() int64 { return s.token }

// SetConfiguration brings a configuration into force.
func (s *Scheduler) SetConfiguration(now fulmarclock.Millis, c *fulmarjob.Configuration) {
	s.now = now
	if s.configuration != nil && c.Version < s.configuration.Version {
		return
	}
	s.configuration = c
	for _, j := range s.order {
		if q, found := c.QueueNamed(j.queue.Name); found {
			j.queue = q
		}
	}
}

// Tick does what is due by time alone.
func (s *Scheduler) Tick(now fulmarclock.Millis, unix int64) {
	s.now, s.unix = now, unix
	s.holdGap = s.reportGap()
	for _, e := range s.sorted() {
		s.watchOver(e)
	}
	for _, j := range s.order {
		s.openOccurrences(j)
	}
	s.forgetEnded()
	s.summary = s.pools()
	s.driveWaves()
	s.balance()
	s.reportPools()
}

// Batch is what the journal must hold before its orders go out.
type Batch struct {
	Records []Record
	// planned is when the batch was put together.
	planned fulmarclock.Millis
	starts  []*task
	ends    []endCursor
	waves   []*vmUpkeep
	ended   []*job
	moves   []*vmMove
	leavers []*task
}

// endCursor is how far the ends of an executor's life are part of a batch.
type endCursor struct {
	executor *executor
	born     int64
	number   int64
}

// IsEmpty tells whether there is nothing to append.
func (b *Batch) IsEmpty() bool {
	return len(b.Records) == 0 && len(b.starts) == 0 && len(b.ends) == 0 && len(b.waves) == 0
}

// Plan places tasks and returns all that has changed since the last batch, and
// the records of due, whose segments are to be replaced.
func (s *Scheduler) Plan(now fulmarclock.Millis, unix int64, due []string) *Batch {
	s.now, s.unix = now, unix
	s.place()
	b := &Batch{planned: now, starts: s.starts, waves: s.waved, ended: s.ended, moves: s.moved, leavers: s.leavers}
	b.Records = s.records(due)
	for _, e := range s.seen {
		e.queued = false
		b.ends = append(b.ends, endCursor{executor: e, born: e.info.Born, number: e.seen})
	}
	s.starts, s.seen, s.waved, s.ended, s.moved = nil, nil, nil, nil, nil
	s.leavers = nil
	if b.IsEmpty() {
		s.journaled = now
	}
	return b
}

// Committed releases the orders of a batch that the journal holds.
func (s *Scheduler) Committed(now fulmarclock.Millis, b *Batch) {
	s.now, s.journaled = now, b.planned
	s.settleSilences(b.Records)
	for _, t := range b.starts {
		t.stored = true
		s.sendStart(t)
	}
	for _, c := range b.ends {
		if c.executor.info.Born == c.born {
			c.executor.acknowledged = max(c.executor.acknowledged, c.number)
			s.scheduleHold(c.executor, 0)
		}
	}
	for _, u := range b.waves {
		u.stored = true
	}
	s.settleMoves(b.moves)
	for _, t := range b.leavers {
		t.leavingStored = t.leaving
	}
	for _, j := range b.ended {
		j.settled = true
	}
}

// TakeCommands returns the orders that are ready to be carried out.
func (s *Scheduler) TakeCommands() []Command {
	s.sendHolds()
	orders := s.orders
	s.orders = nil
	return orders
}
