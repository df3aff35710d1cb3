// Package fulmarsched decides where and when tasks run. It is a deterministic state machine: it
// has no clock, network access or randomness of its own. The caller passes events together with
// their time and receives commands to execute and records to append to the journal.
//
// Usage:
//
//	scheduler := fulmarsched.New(now, params, token, log)
//	scheduler.Restore(now, unixMillis, records)        // the contents of the journal
//	scheduler.SetConfiguration(now, configuration)
//	scheduler.UpdateExecutor(now, executor)
//	decision := scheduler.Submit(now, unixMillis, submission)
//	batch := scheduler.Plan(now, unixMillis, rewrite)  // places tasks
//	…append batch.Records to the journal…
//	scheduler.Committed(now, batch, journal.Revision())
//	commands := scheduler.TakeCommands()               // execute them and pass back the results
//
// A command that depends on a record (a start, the acknowledgement of a finished run, maintenance
// or a move of a VM) is released only after the batch with that record is committed. A later owner
// therefore knows every executor on which a task may be running.
package fulmarsched

import (
	"math"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarforecast"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// Parameters are the settings of the deployment that affect decisions.
type Parameters struct {
	// MaxLease is the longest lease that an executor grants.
	MaxLease fulmarclock.Millis
	// StopTimeout is the time within which an executor ends a run after a stop command.
	StopTimeout fulmarclock.Millis
	// StatusRetention is how long the state of an ended job must stay available to callers.
	StatusRetention fulmarclock.Millis
	// AcknowledgeTimeout is how long the ends of runs may stay unacknowledged, but for a few.
	AcknowledgeTimeout fulmarclock.Millis
	// TakeoverDelay is how long a new owner waits before it sends a command for a VM that a
	// previous owner may have sent one for.
	TakeoverDelay fulmarclock.Millis
	// MaintenanceDuration and MoveDuration are how long a VM is unavailable during maintenance and
	// during a move to another pool.
	MaintenanceDuration fulmarclock.Millis
	MoveDuration        fulmarclock.Millis
	// RenewalsPerSecond limits the lease renewals to busy executors, since each costs the owner CPU
	// time; zero means no limit.
	RenewalsPerSecond float64
	// ForecastDemand sizes pools for the load that is expected when their VMs arrive.
	ForecastDemand bool
	// LookAhead reserves capacity for tasks that fit on no executor (lookahead.go).
	LookAhead bool
}

// Logger receives a log line for each decision, with fields as key-value pairs, and counts events
// by name and reason.
type Logger interface {
	Log(message string, fields ...any)
	Count(name, reason string)
}

// Scheduler holds all jobs, and the known state of executors and VMs.
type Scheduler struct {
	params Parameters
	// token is the fencing token of the commands about VMs, and the lowest one of those to executors.
	token int64
	// revision is the revision of the newest append to the journal, or token before the first one.
	revision int64
	// deletedToken is the highest token of the executors that were deleted.
	deletedToken int64
	log          Logger

	// now and unixMillis are the times of the latest event.
	now        fulmarclock.Millis
	unixMillis int64
	// startedAt is when the scheduler was created, that is when its owner took over.
	startedAt     fulmarclock.Millis
	poolsLoggedAt fulmarclock.Millis
	configuration *fulmarjob.Configuration
	quotas        quotaTable
	jobs          map[string]*job
	// jobList holds the same jobs, in the order of their arrival.
	jobList []*job
	// activeJobs holds the jobs that have not ended, in the same order. A job that has ended stays
	// until the next Tick.
	activeJobs []*job
	// serviceIndex is nil while it is out of date.
	serviceIndex *serviceIndex
	executors    map[string]*executor
	// executorList holds the same executors, sorted by ID.
	executorList []*executor
	openStarts   *openStarts
	waves        map[int64]*wave
	// durationModels holds a model for each estimateKey.
	durationModels   map[string]*durationModel
	modelsRecordedAt fulmarclock.Millis
	// poolSummaries is the state of the pools at the last Tick, by service.
	poolSummaries map[string]*poolSummary
	vmList        vmListing
	advice        map[stepKey]*advice
	// adviceInFlight means that a call to the placement advisor has no response yet.
	adviceInFlight bool
	// adviceWants are the steps that wait for such a call, as of the present placement.
	adviceWants []adviceWant
	adviceShare allowedShare
	// shares is nil if the configuration has no customers.
	shares *fairShares
	moves  map[string]*vmMove
	// lapses are the executors whose lease has expired, by VM.
	lapses map[string]*crash
	// crashedVMs is when the executors of VMs last crashed, as far as that is recent.
	crashedVMs map[string]fulmarclock.Millis
	// isolating means that an executor is isolated or reserved.
	isolating bool
	// lastingTrials are the trials of suspects that last, by service.
	lastingTrials map[string]*lastingTrial
	// inheritedVMs are the VMs for which a previous owner may have sent a maintenance or move
	// command.
	inheritedVMs map[string]bool
	// rejectedMoves are the moves that the platform rejected for good, as "VM pool".
	rejectedMoves map[string]bool
	demands       map[string]*fulmarforecast.Demand
	// speculatedAt is when the runs were last searched for slow ones.
	speculatedAt fulmarclock.Millis
	// lookAheads is the state of look-ahead placement, by service.
	lookAheads   map[string]*lookAhead
	rebalancedAt fulmarclock.Millis
	// renewalInterval is the minimum time between two lease renewals at one executor, as of the
	// last Tick.
	renewalInterval fulmarclock.Millis
	// journaledUntil is the time up to which the journal holds all changes.
	journaledUntil fulmarclock.Millis

	// placementsLeft is how many more tasks may be placed.
	placementsLeft int

	// The changes since the last batch. settledJobs are jobs with starts that have been settled since settledSince.
	dirtyJobs             []*job
	settledJobs           []*job
	settledSince          fulmarclock.Millis
	placedTasks           []*task
	executorsWithFinished []*executor
	chosenVMs             []*vmMaintenance
	changedUnresponsive   []string
	endedJobs             []*job
	changedMoves          []*vmMove
	movingTasks           []*task
	// commands are ready to be executed.
	commands []Command
}

// New returns a scheduler whose commands carry the fencing token, or a higher one to executors that have
// restarted.
func New(now fulmarclock.Millis, params Parameters, token int64, log Logger) *Scheduler {
	s := &Scheduler{
		params: params, token: token, revision: token, log: log, now: now, startedAt: now,
		jobs:           map[string]*job{},
		executors:      map[string]*executor{},
		waves:          map[int64]*wave{},
		durationModels: map[string]*durationModel{},
		vmList:         newVMListing(),
		advice:         map[stepKey]*advice{},
		moves:          map[string]*vmMove{},
		lapses:         map[string]*crash{},
		crashedVMs:     map[string]fulmarclock.Millis{},
		lastingTrials:  map[string]*lastingTrial{},
		inheritedVMs:   map[string]bool{},
		rejectedMoves:  map[string]bool{},
		demands:        map[string]*fulmarforecast.Demand{},
		quotas:         newQuotaTable(),
		lookAheads:     map[string]*lookAhead{},
		placementsLeft: math.MaxInt,
	}
	s.openStarts = newOpenStarts(params.MaxLease, s)
	return s
}

// Token returns the fencing token of the commands about VMs.
func (s *Scheduler) Token() int64 { return s.token }

// SetConfiguration applies a configuration, unless a newer version is already in use.
func (s *Scheduler) SetConfiguration(now fulmarclock.Millis, c *fulmarjob.Configuration) {
	s.now = now
	if s.configuration != nil && c.Version < s.configuration.Version {
		return
	}
	s.configuration, s.serviceIndex = c, nil
	s.quotas.update(c, s.jobList)
	s.shares = newFairShares(c, s.shares)
	for _, j := range s.jobList {
		if q, found := c.QueueByName(j.queue.Name); found {
			j.queue = q
		}
	}
}

// Tick does everything that depends only on the time, such as expiring leases and opening
// occurrences.
func (s *Scheduler) Tick(now fulmarclock.Millis, unixMillis int64) {
	s.now, s.unixMillis = now, unixMillis
	s.renewalInterval = s.computeRenewalInterval()
	for _, e := range s.allExecutors() {
		s.checkExecutor(e)
	}
	s.dropEndedJobs()
	s.openStarts.dropExpired(now)
	s.requestReports()
	s.dropLapses()
	s.dropCrashedVMs()
	for _, j := range s.activeJobs {
		s.openOccurrences(j)
	}
	s.removeExpiredJobs()
	s.updateIsolation()
	s.poolSummaries = s.summarizePools()
	s.advanceWaves()
	s.rebalance()
	s.logPools()
}

// Batch is a set of records that must be in the journal before the commands that depend on them
// are released.
type Batch struct {
	Records []Record
	// plannedAt is when the batch was created.
	plannedAt   fulmarclock.Millis
	placedTasks []*task
	finished    []finishedCursor
	chosenVMs   []*vmMaintenance
	endedJobs   []*job
	moves       []*vmMove
	movingTasks []*task
}

// finishedCursor is the last finished run of an executor that a batch records.
type finishedCursor struct {
	executor    *executor
	incarnation int64
	sequence    int64
}

// IsEmpty reports whether there is nothing to append.
func (b *Batch) IsEmpty() bool {
	return len(b.Records) == 0 && len(b.placedTasks) == 0 && len(b.finished) == 0 && len(b.chosenVMs) == 0
}

// LimitPlacements limits how many tasks the next Plan places, less the starts that are ready to be sent.
// A gang is placed whole if any are left.
func (s *Scheduler) LimitPlacements(limit int) {
	s.placementsLeft = limit
	for _, c := range s.commands {
		if _, isStart := c.(StartCommand); isStart {
			s.placementsLeft--
		}
	}
}

// Plan places tasks and returns all changes since the last batch. The batch also includes the
// current records of the keys in rewrite, whose journal segments are about to be deleted.
func (s *Scheduler) Plan(now fulmarclock.Millis, unixMillis int64, rewrite []string) *Batch {
	s.now, s.unixMillis = now, unixMillis
	s.place()
	s.speculate()
	s.recordSettledStarts()
	b := &Batch{plannedAt: now, placedTasks: s.placedTasks, chosenVMs: s.chosenVMs, endedJobs: s.endedJobs, moves: s.changedMoves, movingTasks: s.movingTasks}
	b.Records = s.changedRecords(rewrite)
	for _, e := range s.executorsWithFinished {
		e.finishedQueued = false
		b.finished = append(b.finished, finishedCursor{executor: e, incarnation: e.info.Incarnation, sequence: e.finishedSeen})
	}
	s.placedTasks, s.executorsWithFinished, s.chosenVMs, s.endedJobs, s.changedMoves = nil, nil, nil, nil, nil
	s.movingTasks = nil
	if b.IsEmpty() {
		s.journaledUntil = now
	}
	return b
}

// Committed releases the commands that depend on a batch, once the batch is in the journal. revision is
// the journal's revision since then.
func (s *Scheduler) Committed(now fulmarclock.Millis, b *Batch, revision int64) {
	s.now, s.journaledUntil = now, b.plannedAt
	s.revision = max(s.revision, revision)
	s.commitUnresponsive(b.Records)
	for _, t := range b.placedTasks {
		t = t.placedRun()
		t.journaled = true
		s.sendStart(t)
	}
	for _, f := range b.finished {
		if f.executor.info.Incarnation == f.incarnation {
			f.executor.acknowledged = max(f.executor.acknowledged, f.sequence)
			s.scheduleAcknowledgement(f.executor)
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

// TakeCommands returns the commands that are ready to be executed.
func (s *Scheduler) TakeCommands() []Command {
	s.sendRenewals()
	commands := s.commands
	s.commands = nil
	return commands
}
