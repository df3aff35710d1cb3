package fulmarsched

import (
	"maps"
	"slices"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// startKey identifies the starts of a run on an executor. Whichever incarnation has the executor's ID may
// execute them.
type startKey struct {
	executor string
	run      runKey
}

// openStarts are the starts of which an attempt may still be executed: by the incarnation that it was
// meant for, which ignores it, or by a later one, which knows nothing of the run and starts the task again. A
// start stays among them until a run that it began can't be present any more either.
// Starts of previous owners come from the journal: those of placed runs that it does not call settled,
// and those that it lists for an executor since the run was removed from there.
//
// Usage:
//
//	starts.noteSent(now, key, isGang)
//	settled := starts.noteResult(now, key, sentAt, attempts, result)
//	starts.noteRemoved(key)
//	keys := starts.before(now, key)
//	starts.noteReport(executor, sentAt)
type openStarts struct {
	maxLease fulmarclock.Millis
	reach    reach
	// now is the time of the last call of dropExpired.
	now    fulmarclock.Millis
	starts map[startKey]*openStart
	// ofTasks and atExecutors hold the keys of starts by task and by executor.
	ofTasks     map[fulmarjob.TaskID][]startKey
	atExecutors map[string][]startKey
	// strays is the number of stray runs by task.
	strays map[fulmarjob.TaskID]int
	// gangs is the number of those that are of members of gangs.
	gangs int
	// changed are the executors whose journal record is out of date.
	changed map[string]bool
}

// reach tells what is known of executors that don't respond.
type reach interface {
	// isExcluded reports whether the executor has ended, isCutOff whether it has not.
	isExcluded(executor string) bool
	isCutOff(executor string) bool
}

// openStart is a start with an attempt that has no answer, yet or for good, or whose run no report has shown.
//
//	event                                  may be executed  may have a run
//	sent, or inherited                     until            presentUntil
//	last attempt answered                  no               until a later report
//	13 s after the last command            no               until a later report
//	report requested later                 no               no, or as a stray run that it lists
//	lease of such a run has expired        no               no
//	executor retired                       no               no
//	13 s after the last command, and the   no               no
//	platform's list of VMs shows no
//	incarnation of a silent executor
type openStart struct {
	// unsettled is the number of start commands with such an attempt.
	unsettled int
	// since is when the first of them was sent.
	since fulmarclock.Millis
	// until is the time from which on none of their attempts can be executed any more, presentUntil the time by
	// which the lease of a run that one of them began has expired.
	until        fulmarclock.Millis
	presentUntil fulmarclock.Millis
	// inherited means that a previous owner may have sent one.
	inherited bool
	// gang means that the run is of a member of a gang.
	gang bool
	// begun means that an attempt may have been executed.
	begun bool
	// removed means that the run is not placed on the executor any more, since removedAt.
	removed   bool
	removedAt fulmarclock.Millis
	// holding are the executors with ends that must not be acknowledged before the start is settled.
	holding []string
}

func newOpenStarts(maxLease fulmarclock.Millis, r reach) *openStarts {
	return &openStarts{
		maxLease: maxLease, reach: r, starts: map[startKey]*openStart{}, ofTasks: map[fulmarjob.TaskID][]startKey{}, atExecutors: map[string][]startKey{},
		strays: map[fulmarjob.TaskID]int{}, changed: map[string]bool{},
	}
}

// noteSent records that a start command is sent now. A run may have several.
func (o *openStarts) noteSent(now fulmarclock.Millis, key startKey, gang bool) {
	start := o.starts[key]
	if start == nil {
		start = o.add(key, &openStart{since: now, gang: gang})
	}
	start.unsettled++
	o.extend(start, now)
}

// extend sets the times of a start for a command that is sent now.
func (o *openStarts) extend(start *openStart, now fulmarclock.Millis) {
	start.until = now + lateExecutionBound
	start.presentUntil = o.leaseEnd(start.until)
}

// leaseEnd returns by when the lease of a run that was begun at a time has expired.
func (o *openStarts) leaseEnd(begun fulmarclock.Millis) fulmarclock.Millis {
	return begun + fulmarclock.Millis(float64(o.maxLease)/minClockRate)
}

// noteResult records the result of a start command that was sent at sentAt. It returns the start if none of the run
// can be executed any more, or nil. The command is settled if its only attempt was answered, or never sent.
func (o *openStarts) noteResult(now fulmarclock.Millis, key startKey, sentAt fulmarclock.Millis, attempts int, result fulmarjob.CommandResult) *openStart {
	start := o.starts[key]
	if start == nil || sentAt < start.since {
		return nil
	}
	start.begun = start.begun || attempts > 1 || result == fulmarjob.ResultDone || result == fulmarjob.ResultUnknown
	if attempts > 1 || result == fulmarjob.ResultUnknown {
		return nil
	}
	return o.settle(now, key)
}

// noteSettled records that all attempts of a start command that was sent at sentAt were answered, or never sent, some
// of them after its result. It returns the start if none of the run can be executed any more, or nil.
func (o *openStarts) noteSettled(now fulmarclock.Millis, key startKey, sentAt fulmarclock.Millis) *openStart {
	start := o.starts[key]
	if start == nil || sentAt < start.since {
		return nil
	}
	start.begun = true
	return o.settle(now, key)
}

// settle ends one command of a start. A start that may have begun a run stays until a report that is requested later.
func (o *openStarts) settle(now fulmarclock.Millis, key startKey) *openStart {
	start := o.starts[key]
	start.unsettled--
	if start.unsettled > 0 {
		return nil
	}
	if !start.begun {
		o.remove(key)
		return start
	}
	start.until = min(start.until, now)
	start.presentUntil = min(start.presentUntil, o.leaseEnd(now))
	return start
}

// noteHolding records that an executor has an end that must not be acknowledged before a start is settled.
func (o *openStarts) noteHolding(key startKey, executor string) {
	if start := o.starts[key]; start != nil && !slices.Contains(start.holding, executor) {
		start.holding = append(start.holding, executor)
	}
}

// noteRemoved records that a run is not placed on its executor any more. While its start is open, the journal
// lists it for the executor.
func (o *openStarts) noteRemoved(key startKey) {
	if start := o.starts[key]; start != nil {
		start.removed, start.removedAt = true, o.now
		o.changed[key.executor] = true
	}
}

// noteInherited records a start of a previous owner that may be open. When it was sent is unknown.
func (o *openStarts) noteInherited(now fulmarclock.Millis, key startKey, gang, removed bool) {
	start := o.add(key, &openStart{since: now, unsettled: 1, inherited: true, gang: gang, begun: true, removed: removed, removedAt: now})
	o.extend(start, now)
}

func (o *openStarts) add(key startKey, start *openStart) *openStart {
	o.remove(key)
	o.starts[key] = start
	o.atExecutors[key.executor] = append(o.atExecutors[key.executor], key)
	o.ofTasks[key.run.task] = append(o.ofTasks[key.run.task], key)
	if start.gang {
		o.gangs++
	}
	return start
}

// openUntil returns until when a start of a run may be executed, zero if none may.
func (o *openStarts) openUntil(now fulmarclock.Millis, key startKey) fulmarclock.Millis {
	if start := o.starts[key]; start != nil && start.until > now {
		return start.until
	}
	return 0
}

// isOpen reports whether a start of a run may still be executed.
func (o *openStarts) isOpen(now fulmarclock.Millis, key startKey) bool {
	return o.openUntil(now, key) > 0
}

// latest returns until when one of several starts may be executed, zero if none may.
func (o *openStarts) latest(now fulmarclock.Millis, keys []startKey) fulmarclock.Millis {
	until := fulmarclock.Millis(0)
	for _, key := range keys {
		until = max(until, o.openUntil(now, key))
	}
	return until
}

// before returns the open starts that must not be executed after the end of a run: those of all runs of its task,
// and those of the other members of a gang, for which it stands.
func (o *openStarts) before(now fulmarclock.Millis, ended startKey) []startKey {
	keys := o.ofTask(now, ended.run.task)
	if o.gangs == 0 {
		return keys
	}
	for key, start := range o.starts {
		if start.gang && key.run.task != ended.run.task && sharesStep(key.run.task, ended.run.task) && o.isOpen(now, key) {
			keys = append(keys, key)
		}
	}
	return keys
}

// sharesStep reports whether two tasks are of the same step of an occurrence.
func sharesStep(a, b fulmarjob.TaskID) bool {
	a.Index = b.Index
	return a == b
}

// permits reports whether a new run of a task may be placed on an executor: no earlier one may be present, or may
// still be started.
func (o *openStarts) permits(task fulmarjob.TaskID, executor string, isLasting bool) bool {
	if o.strays[task] > 0 {
		return false
	}
	return !slices.ContainsFunc(o.ofTasks[task], func(key startKey) bool {
		return !o.permitsBeside(key, key.executor == executor, isLasting)
	})
}

// permitsBeside reports whether a new run may be placed beside a start. The executor of the start has one incarnation at
// a time, so that it may have the new run where a wait would cost too much: a task that lasts must run again soon, and
// a previous owner may not have sent the start at all.
func (o *openStarts) permitsBeside(key startKey, isSameExecutor, isLasting bool) bool {
	if isLasting && o.hasKeptWaiting(key) {
		return true
	}
	return isSameExecutor && (isLasting || o.starts[key].inherited)
}

// delaysStart reports whether a start of another run of a task may still be executed, beside one that is sent now.
func (o *openStarts) delaysStart(task fulmarjob.TaskID, run int64, isLasting bool) bool {
	return slices.ContainsFunc(o.ofTasks[task], func(key startKey) bool {
		return key.run.run != run && o.isOpen(o.now, key) && !(isLasting && o.hasKeptWaiting(key))
	})
}

// hasKeptWaiting reports whether a task that lasts has waited for a start for as long as it may: not at all for an
// executor that has ended, and until no run of it can be present any more for one that may run the task behind a cut.
func (o *openStarts) hasKeptWaiting(key startKey) bool {
	start := o.starts[key]
	if !start.removed || o.reach.isCutOff(key.executor) {
		return false
	}
	return o.reach.isExcluded(key.executor) || o.now > start.removedAt+maxLastingWait
}

// noteStray adds to the number of a task's stray runs.
func (o *openStarts) noteStray(task fulmarjob.TaskID, change int) {
	o.strays[task] += change
	if o.strays[task] <= 0 {
		delete(o.strays, task)
	}
}

// presentUntil returns by when a run that an open start began is certainly over, zero if no start of the run is
// open.
func (o *openStarts) presentUntil(key startKey) fulmarclock.Millis {
	if start := o.starts[key]; start != nil {
		return start.presentUntil
	}
	return 0
}

// noteReport drops the starts that could no longer be executed when a report of their executor was requested, as it
// lists the runs that they may have begun: those of runs that are placed there, or the others.
func (o *openStarts) noteReport(executor string, sentAt fulmarclock.Millis, placed bool) {
	for _, key := range slices.Clone(o.atExecutors[executor]) {
		if start := o.starts[key]; start.until < sentAt && start.removed != placed {
			o.remove(key)
		}
	}
}

// notePresent records that a report lists a run that is not placed on its executor, until one does not.
func (o *openStarts) notePresent(now fulmarclock.Millis, key startKey, gang bool) {
	start := o.starts[key]
	if start == nil {
		start = o.add(key, &openStart{since: now, begun: true, gang: gang, removed: true, removedAt: now})
		o.changed[key.executor] = true
	}
	start.until = max(start.until, now)
	start.presentUntil = max(start.presentUntil, o.leaseEnd(now))
}

// needReport returns the starts, at an executor or at all of them if it is empty, that can't be executed any more and
// may have begun a run that the next report shows.
func (o *openStarts) needReport(now fulmarclock.Millis, executor string) []startKey {
	var keys []startKey
	for _, key := range o.keysAt(executor) {
		if o.starts[key].until <= now {
			keys = append(keys, key)
		}
	}
	return keys
}

// keysAt returns the starts at an executor, or all of them if it is empty.
func (o *openStarts) keysAt(executor string) []startKey {
	if executor != "" {
		return o.atExecutors[executor]
	}
	return slices.Collect(maps.Keys(o.starts))
}

// executors returns the executors that have open starts.
func (o *openStarts) executors() []string { return slices.Sorted(maps.Keys(o.atExecutors)) }

// dropExecutor drops the starts at an executor that has ended for good: no later incarnation can execute them.
func (o *openStarts) dropExecutor(executor string) {
	for _, key := range slices.Clone(o.atExecutors[executor]) {
		o.remove(key)
	}
}

// dropExpired drops the starts of which no run can be present any more.
func (o *openStarts) dropExpired(now fulmarclock.Millis) {
	o.now = now
	for key, start := range o.starts {
		if start.presentUntil <= now {
			o.remove(key)
		}
	}
}

func (o *openStarts) remove(key startKey) {
	start := o.starts[key]
	if start == nil {
		return
	}
	if start.removed {
		o.changed[key.executor] = true
	}
	if start.gang {
		o.gangs--
	}
	delete(o.starts, key)
	removeKey(o.atExecutors, key.executor, key)
	removeKey(o.ofTasks, key.run.task, key)
}

// removeKey removes a start from an index, and the index's entry with its last start.
func removeKey[K comparable](index map[K][]startKey, entry K, key startKey) {
	others := slices.DeleteFunc(index[entry], func(other startKey) bool { return other == key })
	if len(others) == 0 {
		delete(index, entry)
		return
	}
	index[entry] = others
}

// ofTask returns the open starts of a task's runs.
func (o *openStarts) ofTask(now fulmarclock.Millis, task fulmarjob.TaskID) []startKey {
	var keys []startKey
	for _, key := range o.ofTasks[task] {
		if o.isOpen(now, key) {
			keys = append(keys, key)
		}
	}
	return keys
}
