package fulmarsched

import (
	"slices"
	"strings"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
	"github.com/fulmardrum/fulmardrum/internal/fulmarquota"
	"github.com/fulmardrum/fulmardrum/pkg/fulmarapi"
)

// executor is the known state of an executor and the tasks placed on it.
type executor struct {
	// info is the executor's entry in the store.
	info fulmarjob.Executor
	// listed means that the store has an entry for the executor.
	listed bool
	// unlistedAt is when that last changed to false, or when the executor was added.
	unlistedAt fulmarclock.Millis
	// namedVMs are the VMs that entries of the present incarnation, or the journal, have named. Which of
	// several it runs on is unknown.
	namedVMs []string
	// tasks are the tasks placed on the executor; used is the sum of their reserved resources.
	tasks map[fulmarjob.TaskID]*task
	used  fulmarjob.Resources
	// changes is incremented when a task is placed on the executor or removed, or its run changes. A cached
	// timeline is valid for one value.
	changes int
	// strayRuns are the other runs that may be present on the executor.
	strayRuns map[runKey]strayRun
	// openStarts are those of the scheduler.
	openStarts *openStarts
	// ledger counts the tasks and stray runs towards their customers' quotas.
	ledger *fulmarquota.Ledger

	// clock is the executor's own clock at the scheduler's time clockAt.
	clock    fulmarclock.Millis
	clockAt  fulmarclock.Millis
	hasClock bool
	// leasesEndBy is a time by which every lease and start command sent so far has expired at this
	// incarnation, laterLeasesEndBy at any later one that got the commands instead: its clock starts
	// anew, so a deadline is as far ahead as leases may last.
	leasesEndBy      fulmarclock.Millis
	laterLeasesEndBy fulmarclock.Millis
	// grantedUntil is the part of leasesEndBy that this owner has granted itself.
	grantedUntil fulmarclock.Millis
	// lastDeadline is the latest deadline sent to this incarnation, on its clock.
	lastDeadline fulmarclock.Millis
	fence        fence

	renewalInFlight bool
	// renewalDue is when the next renewal is sent; zero for none.
	renewalDue    fulmarclock.Millis
	renewalSentAt fulmarclock.Millis
	// requestedAcknowledgement is the number up to which the last renewal was to acknowledge finished runs.
	requestedAcknowledgement int64
	// lastResultAt is when the executor last sent a report or confirmed a start.
	lastResultAt fulmarclock.Millis
	// endedBefore is when the newest list of VMs was requested by which the executor had ended, zero if none says so.
	endedBefore fulmarclock.Millis
	// reportSentAt is when the renewal was sent that got the last report.
	reportSentAt fulmarclock.Millis
	// reportedAt is when that report arrived.
	reportedAt fulmarclock.Millis
	// isReporting means that a report of the executor is being applied, which may still show runs.
	isReporting bool
	// failedRenewals is the number of failed renewals since the last report.
	failedRenewals int
	// finishedSeen is the sequence number of the last finished run that was reported, acknowledged
	// of the last one that the journal holds, acknowledgementConfirmed of the last one whose
	// acknowledgement the executor has confirmed. finishedQueued means that the next batch records
	// the first. countsFromStart means that this owner knows the incarnation from its first finished
	// run on.
	finishedSeen             int64
	finishedQueued           bool
	acknowledged             int64
	acknowledgementConfirmed int64
	countsFromStart          bool
	// heldEnds are finished runs that may not be acknowledged yet, oldest first.
	heldEnds []heldEnd
	// unacknowledged are the finished runs whose acknowledgement the executor has not confirmed, oldest first.
	unacknowledged []unacknowledgedEnd
	// moreFinished means that the last report may not have listed all finished runs. What it does not
	// list may have finished.
	moreFinished bool

	// claimed is the newest entry of another incarnation that no report has shown, received at
	// claimedAt; without an ID there is none.
	claimed   fulmarjob.Executor
	claimedAt fulmarclock.Millis

	// unresponsive is the state of the journal record that the executor does not respond.
	unresponsive unresponsiveState

	// avoidUntil is the time until which no tasks are placed on the executor.
	avoidUntil fulmarclock.Millis
	// failedJobs are the jobs of the tasks that failed here since the last success.
	failedJobs []string
	// retired incarnations count as ended, although the store may still list them. One that responds to
	// a later request has not.
	retired bool
	// cordoned executors get no new tasks because their VM is about to be maintained or moved.
	cordoned bool
	// isolatedFor is the trial whose suspects have the executor to themselves, reservedFor one whose
	// suspects wait until the executor has no other unproven tasks.
	isolatedFor trial
	reservedFor trial
	// isUnstable means that the executor's VM has crashed recently, as of the last placement.
	isUnstable bool
	// trialRoom is how many more suspects that last the executor may take, if it is isolated for them.
	trialRoom int
	// lookAhead is the state of look-ahead placement of the executor's service as of the last placement,
	// nil if there is none. hold is a reservation of the present placement.
	lookAhead *lookAhead
	hold      hold
	timeline  cachedTimeline
	// idleSince is when a task was last removed from the executor, or when the executor was added.
	idleSince fulmarclock.Millis
	// supersededAt is when an executor that started later on the same VM has reported; zero if none
	// has, or if this one has responded since.
	supersededAt fulmarclock.Millis
	// throttledAt is when the speeds of best-effort tasks were last adjusted.
	throttledAt fulmarclock.Millis
}

func (s *Scheduler) newExecutor(id string) *executor {
	e := &executor{tasks: map[fulmarjob.TaskID]*task{}, lastResultAt: s.now, idleSince: s.now, unlistedAt: s.now, fence: s.newFence(), ledger: s.quotas.ledger, openStarts: s.openStarts}
	e.info.ID = id
	s.executors[id] = e
	at, _ := slices.BinarySearchFunc(s.executorList, id, compareID)
	s.executorList = slices.Insert(s.executorList, at, e)
	s.serviceIndex = nil
	return e
}

// ExecutorCount returns the number of known executors.
func (s *Scheduler) ExecutorCount() int { return len(s.executorList) }

func compareID(e *executor, id string) int { return strings.Compare(e.info.ID, id) }

// allExecutors returns all executors sorted by ID, so that the same events produce the same
// commands. It returns a copy: callers may add and delete executors while they iterate.
func (s *Scheduler) allExecutors() []*executor { return slices.Clone(s.executorList) }

// deleteExecutor removes an executor from the scheduler's state.
func (s *Scheduler) deleteExecutor(e *executor) {
	delete(s.executors, e.info.ID)
	s.deletedToken = max(s.deletedToken, e.fence.token)
	s.expireTickets(e.info.ID)
	if at, found := slices.BinarySearchFunc(s.executorList, e.info.ID, compareID); found {
		s.executorList = slices.Delete(s.executorList, at, at+1)
		s.serviceIndex = nil
	}
}

func (e *executor) target() Target {
	return Target{ID: e.info.ID, Address: e.info.Address, Incarnation: e.info.Incarnation}
}

// freeCapacity returns the capacity that the placed tasks and the stray runs leave unused.
func (e *executor) freeCapacity() fulmarjob.Resources { return e.capacityBesideStrays().Sub(e.used) }

// isSchedulable reports whether new tasks may be placed on the executor. One with more finished runs
// than it lists is left to catch up.
func (e *executor) isSchedulable(now fulmarclock.Millis) bool {
	return e.unschedulableReason(now) == ""
}

// unschedulableReason returns why no new tasks may be placed on the executor, empty if they may.
func (e *executor) unschedulableReason(now fulmarclock.Millis) fulmarapi.ExclusionReason {
	switch {
	case !e.listed:
		return fulmarapi.ExcludedUnlisted
	case e.retired || e.supersededAt != 0:
		return fulmarapi.ExcludedReplaced
	case e.info.Draining:
		return fulmarapi.ExcludedDraining
	case e.cordoned:
		return fulmarapi.ExcludedCordoned
	case e.failedRenewals != 0:
		return fulmarapi.ExcludedUnresponsive
	case !e.fence.accepted || e.hasClaim() || e.moreFinished:
		return fulmarapi.ExcludedUnconfirmed
	case now < e.avoidUntil:
		return fulmarapi.ExcludedAfterFailure
	}
	return ""
}

// clockLowerBound returns a lower bound of the executor's clock at the scheduler's time now.
func (e *executor) clockLowerBound(now fulmarclock.Millis) fulmarclock.Millis {
	return e.clock + fulmarclock.Millis(float64(now-e.clockAt)*minClockRate)
}

// extendLeaseBound raises leasesEndBy for a deadline on the executor's clock that is sent at now.
func (e *executor) extendLeaseBound(now, deadline, maxLease fulmarclock.Millis) {
	e.lastDeadline = max(e.lastDeadline, deadline)
	end := e.clockAt + fulmarclock.Millis(float64(deadline-e.clock)/minClockRate)
	e.laterLeasesEndBy = maxLeaseEnd(now, maxLease)
	e.grantedUntil = max(e.grantedUntil, min(end, e.laterLeasesEndBy))
	e.leasesEndBy = max(e.leasesEndBy, e.grantedUntil)
}

// maxLeaseEnd returns a time by which a lease of maximum length, granted after a command sent at
// now, has expired.
func maxLeaseEnd(now, maxLease fulmarclock.Millis) fulmarclock.Millis {
	return now + startValidity + fulmarclock.Millis(float64(maxLease)/minClockRate)
}

// setClock records that the executor's clock showed at least clock at the scheduler's time now.
func (e *executor) setClock(clock, now fulmarclock.Millis) {
	e.clock, e.clockAt, e.hasClock = clock, now, true
}

func (e *executor) addTask(t *task) {
	t.setState(taskPlaced)
	t.executor = e
	e.tasks[t.id] = t
	e.used = e.used.Add(t.step.Reserved())
	e.reserveQuota(t.charge())
	e.changes++
	t.job.placedTasks++
}

func (e *executor) removeTask(t *task) {
	delete(e.tasks, t.id)
	e.used = e.used.Sub(t.step.Reserved())
	e.releaseQuota(t.charge())
	e.openStarts.noteRemoved(t.startKey())
	e.changes++
	t.executor = nil
	t.job.placedTasks--
}

// UpdateExecutor adds or updates an executor from its entry in the store. An entry only claims what
// it says of the incarnation: nothing that runs ends before the executor has confirmed it.
func (s *Scheduler) UpdateExecutor(now fulmarclock.Millis, info fulmarjob.Executor) {
	s.now = now
	e := s.executors[info.ID]
	if e == nil {
		e = s.newExecutor(info.ID)
	}
	if info.Incarnation == 0 {
		info.Incarnation = e.info.Incarnation
	}
	if e.isClaim(info) {
		s.claimIncarnation(e, info)
		return
	}
	if e.isOtherIncarnation(info.Incarnation) {
		// A listed executor is kept when its last placement ends.
		e.listed = true
		s.replaceIncarnation(e, info.Incarnation)
	}
	e.clearClaim()
	s.applyEntry(e, info)
}

// applyEntry applies an entry of the executor's present incarnation.
func (s *Scheduler) applyEntry(e *executor, info fulmarjob.Executor) {
	changed := !e.listed || e.info.Incarnation != info.Incarnation || e.info.Draining != info.Draining
	if e.info.Service != info.Service {
		s.serviceIndex = nil
	}
	keepsVM := len(e.namedVMs) > 0 && (e.fence.accepted || info.VM == "")
	e.noteVM(info.VM)
	if keepsVM {
		// An incarnation keeps its VM.
		info.VM = e.info.VM
	}
	if e.info.Incarnation != info.Incarnation {
		// The result of a renewal in flight no longer counts.
		e.renewalInFlight = false
	}
	e.info, e.listed = info, true
	if changed {
		s.log.Log("executor listed in the store", "executor", info.ID, "service", info.Service, "vm", info.VM, "born", info.Incarnation, "draining", info.Draining)
		e.failedRenewals = 0
		s.scheduleRenewal(e, 0)
	}
	if e.fence.accepted {
		s.confirmEntry(e)
	}
}

// confirmEntry draws the conclusions from the entry of an incarnation that has sent a report.
func (s *Scheduler) confirmEntry(e *executor) {
	s.retireOlderIncarnations(e)
	s.resolveLapse(e)
	s.handleReturnedVM(e)
	s.handleArrivedVM(e)
}

// RemoveExecutor handles the removal of an executor's entry from the store. The executor gets no new
// tasks, but its lease is renewed as long as it has tasks and responds. If it stops responding, its
// placements end once its lease has expired. Without tasks, it is deleted.
func (s *Scheduler) RemoveExecutor(now fulmarclock.Millis, id string) {
	s.now = now
	if e := s.executors[id]; e != nil && e.listed {
		e.listed, e.unlistedAt = false, s.now
		s.log.Log("executor no longer listed in the store; placing no new tasks on it, but renewing its lease while it has tasks and responds", "executor", id, "tasks", len(e.tasks), "lease_ends_in_ms", e.leasesEndBy-now)
		s.deleteIfUnused(e)
	}
}

// deleteIfUnused deletes an executor that is no longer listed and has no tasks or stray runs.
func (s *Scheduler) deleteIfUnused(e *executor) {
	if !e.listed && !e.isReporting && len(e.tasks) == 0 && len(e.strayRuns) == 0 {
		s.clearUnresponsive(e)
		s.deleteExecutor(e)
	}
}
