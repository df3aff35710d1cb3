package fulmarsched

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// recordMismatchError means that the journal has more records of a job's parts than the job's
// description has parts.
type recordMismatchError struct {
	What      string
	Recorded  int
	Described int
}

// Error returns a text with both numbers.
func (e *recordMismatchError) Error() string {
	return fmt.Sprintf("%d %s are recorded, %d described", e.Recorded, e.What, e.Described)
}

// Restore loads the state that previous owners wrote to the journal.
func (s *Scheduler) Restore(now fulmarclock.Millis, unixMillis int64, records []Record) error {
	s.now, s.unixMillis = now, unixMillis
	if err := s.restoreModels(records); err != nil {
		return err
	}
	progress := map[string]json.RawMessage{}
	for _, r := range records {
		if id, found := strings.CutPrefix(r.Key, progressKeyPrefix); found {
			progress[id] = r.Value
		}
	}
	for _, r := range records {
		if err := s.restoreRecord(r, progress); err != nil {
			return malformedRecord(r.Key, err)
		}
	}
	for _, r := range records {
		if id, found := strings.CutPrefix(r.Key, openStartKeyPrefix); found {
			if err := s.openStarts.restore(s.now, id, r.Value); err != nil {
				return &fulmarjob.FormatError{What: r.Key, Cause: err}
			}
		}
		if id, found := strings.CutPrefix(r.Key, unresponsiveKeyPrefix); found {
			if err := s.restoreUnresponsive(id, r.Value); err != nil {
				return &fulmarjob.FormatError{What: r.Key, Cause: err}
			}
		}
	}
	if err := s.restoreMoves(records); err != nil {
		return err
	}
	for id, value := range progress {
		if err := s.restoreEndedJob(id, value); err != nil {
			return err
		}
	}
	s.log.Log("state restored from the journal", "records", len(records), "jobs", len(s.jobs), "executors", len(s.executors))
	return nil
}

// malformedRecord returns a FormatError for a key, unless err names a key already.
func malformedRecord(key string, err error) error {
	var malformed *fulmarjob.FormatError
	if errors.As(err, &malformed) {
		return err
	}
	return &fulmarjob.FormatError{What: key, Cause: err}
}

func (s *Scheduler) restoreRecord(r Record, progress map[string]json.RawMessage) error {
	if strings.HasPrefix(r.Key, waveKeyPrefix) {
		return s.restoreWave(r.Value)
	}
	id, found := strings.CutPrefix(r.Key, jobKeyPrefix)
	if !found {
		return nil
	}
	var record jobRecord
	if err := json.Unmarshal(r.Value, &record); err != nil {
		return err
	}
	j := newJob(id, record.Queue, record.Specification)
	j.customer, j.accepted, j.acceptedLate, j.recorded = record.Customer, record.Accepted, record.AcceptedLate, true
	j.receivedAt = s.now - fulmarclock.Millis(max(s.unixMillis-record.Accepted, 0))
	s.setDeadline(j)
	s.addToLists(j)
	value, known := progress[id]
	delete(progress, id)
	if !known {
		return nil
	}
	return s.restoreProgress(j, value)
}

// restoreEndedJob restores the state of an ended job whose description has been deleted.
func (s *Scheduler) restoreEndedJob(id string, value json.RawMessage) error {
	j := newJob(id, fulmarjob.Queue{}, fulmarjob.Specification{})
	j.recorded = true
	s.addToLists(j)
	return s.restoreProgress(j, value)
}

func (s *Scheduler) restoreProgress(j *job, value json.RawMessage) error {
	var progress progressRecord
	if err := json.Unmarshal(value, &progress); err != nil {
		return malformedRecord(progressKeyPrefix+j.id, err)
	}
	j.openedOccurrences, j.doneOccurrences = progress.OpenedOccurrences, progress.DoneOccurrences
	for _, r := range progress.Active {
		o := newOccurrence(j, r.Number)
		j.activeOccurrences = append(j.activeOccurrences, o)
		if err := s.restoreTasks(o, r); err != nil {
			return malformedRecord(progressKeyPrefix+j.id, err)
		}
	}
	if j.customer == "" {
		j.customer = progress.Customer
	}
	if progress.Queue != "" {
		j.queue.Name, j.queue.AllowAnonymous = progress.Queue, true
	}
	if progress.Final != "" {
		j.state, j.endedUnixMillis, j.finalStateJournaled = progress.Final, progress.EndedUnixMillis, true
	}
	return nil
}

// restoreTasks restores the tasks of an occurrence. It fails if the record has other steps or
// tasks than the job's description.
func (s *Scheduler) restoreTasks(o *occurrence, r occurrenceRecord) error {
	if len(r.Steps) > len(o.steps) {
		return &recordMismatchError{What: "steps", Recorded: len(r.Steps), Described: len(o.steps)}
	}
	for i, records := range r.Steps {
		if len(records) > len(o.steps[i]) {
			return &recordMismatchError{What: "tasks of step " + strconv.Itoa(i), Recorded: len(records), Described: len(o.steps[i])}
		}
		for k, record := range records {
			t := o.steps[i][k]
			t.run, t.attempts, t.failedRun, t.checkpoint = record.Run, record.Attempts, record.FailedRun, record.Checkpoint
			t.job.started = t.job.started || record.Started
			t.crashes, t.earlyCrashes, t.copyRun = record.Crashes, record.EarlyCrashes, record.CopyRun
			switch record.State {
			case taskDone:
				t.setState(taskDone)
				o.remaining[i]--
			case taskPlaced:
				s.restorePlacement(t, record)
				s.restoreCopy(t, record.Copy)
			}
			t.setSuspicions(record.Suspicions)
			s.delayRetry(t)
		}
	}
	return nil
}

// restorePlacement assumes that a run is present on its executor until a lease of maximum length
// has expired.
func (s *Scheduler) restorePlacement(t *task, record taskRecord) {
	e := s.executors[record.Executor]
	if e == nil {
		e = s.newExecutor(record.Executor)
		e.leasesEndBy = maxLeaseEnd(s.now, s.params.MaxLease)
	}
	// A placement that outlived a restart of its executor is recorded with the earlier incarnation.
	if record.Incarnation > e.info.Incarnation {
		e.doubtPlacements()
	}
	t.uncertain = record.Incarnation < e.info.Incarnation
	if record.Incarnation > e.info.Incarnation {
		e.namedVMs = nil
	}
	if record.Incarnation >= e.info.Incarnation {
		e.noteVM(record.VM)
		e.info.Incarnation, e.info.VM = record.Incarnation, record.VM
	}
	e.addTask(t)
	t.journaled, t.inherited, t.startAnswered = true, true, record.Settled
	if !record.Settled {
		s.openStarts.noteInherited(s.now, t.startKey(), t.step.Gang, false)
	}
	t.moving, t.movingJournaled = record.Moving, record.Moving
}

// doubtPlacements marks all tasks on the executor as uncertain.
func (e *executor) doubtPlacements() {
	for _, t := range e.tasks {
		t.uncertain = true
	}
}
