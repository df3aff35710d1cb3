package fulmarsched

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
	"github.com/fulmardrum/fulmardrum/internal/fulmarledger"
)

// Record is the newest value of a journal key; a nil value deletes the key.
type Record = fulmarledger.Record

// Prefixes of the journal keys of jobs, of their progress and of waves.
const (
	jobKeyPrefix      = "j/"
	progressKeyPrefix = "p/"
	waveKeyPrefix     = "w/"
)

// jobRecord is the journal record of a job's description, which never changes.
type jobRecord struct {
	Queue         fulmarjob.Queue         `json:"q"`
	Customer      string                  `json:"u,omitempty"`
	Accepted      int64                   `json:"a"`
	AcceptedLate  bool                    `json:"l,omitempty"`
	Specification fulmarjob.Specification `json:"s"`
}

// progressRecord is the journal record of a job's progress.
type progressRecord struct {
	Final             fulmarjob.State    `json:"f,omitempty"`
	EndedUnixMillis   int64              `json:"u,omitempty"`
	OpenedOccurrences int                `json:"o,omitempty"`
	DoneOccurrences   int                `json:"e,omitempty"`
	Active            []occurrenceRecord `json:"a,omitempty"`
	// Customer and Queue are what is kept of the description of an ended job when it is deleted. Queue is
	// set only for a queue that allows anonymous requests, which may see the queue's own jobs only.
	Customer string `json:"c,omitempty"`
	Queue    string `json:"q,omitempty"`
}

type occurrenceRecord struct {
	Number int            `json:"n,omitempty"`
	Steps  [][]taskRecord `json:"s"`
}

type taskRecord struct {
	State       taskState `json:"s,omitempty"`
	Run         int64     `json:"r,omitempty"`
	Attempts    int       `json:"a,omitempty"`
	FailedRun   int64     `json:"f,omitempty"`
	Executor    string    `json:"e,omitempty"`
	Incarnation int64     `json:"b,omitempty"`
	// VM is the VM of the executor: a later incarnation on the same VM ends this one.
	VM string `json:"v,omitempty"`
	// Settled means that no start of the run can be executed any more.
	Settled    bool   `json:"t,omitempty"`
	Checkpoint string `json:"c,omitempty"`
	Started    bool   `json:"g,omitempty"`
	Moving     bool   `json:"l,omitempty"`
	// Crashes, Suspicions and EarlyCrashes keep a task that crashes executors from starting anew
	// under a later owner.
	Crashes      int `json:"k,omitempty"`
	Suspicions   int `json:"y,omitempty"`
	EarlyCrashes int `json:"z,omitempty"`
	// CopyRun is the number of the last copy, Copy its placement while it runs beside the task's run.
	CopyRun int64       `json:"h,omitempty"`
	Copy    *copyRecord `json:"d,omitempty"`
}

// copyRecord is the placement of a copy.
type copyRecord struct {
	Executor    string `json:"e"`
	Incarnation int64  `json:"b,omitempty"`
	VM          string `json:"v,omitempty"`
	Settled     bool   `json:"t,omitempty"`
}

// changedRecords returns the records of everything that changed since the last batch, and of the
// keys in rewrite.
func (s *Scheduler) changedRecords(rewrite []string) []Record {
	var records []Record
	for _, j := range s.dirtyJobs {
		j.dirty = false
		records = s.appendJobRecords(records, j)
	}
	s.dirtyJobs = nil
	records = append(records, s.openStarts.changedRecords()...)
	records = append(records, s.changedUnresponsiveRecords()...)
	records = append(records, s.changedMoveRecords()...)
	records = append(records, s.changedModelRecords()...)
	for _, number := range s.waveNumbers() {
		if w := s.waves[number]; w.dirty {
			w.dirty = false
			records = append(records, encodeRecord(w.key(), w.record()))
		}
	}
	written := map[string]bool{}
	for _, r := range records {
		written[r.Key] = true
	}
	for _, key := range rewrite {
		if !written[key] {
			records = append(records, s.currentRecord(key))
		}
	}
	return records
}

func (s *Scheduler) appendJobRecords(records []Record, j *job) []Record {
	if s.jobs[j.id] != j {
		return append(records, Record{Key: progressKeyPrefix + j.id})
	}
	if !j.recorded {
		j.recorded = true
		records = append(records, encodeRecord(jobKeyPrefix+j.id, j.record()))
	}
	if j.state.IsFinal() && j.placedTasks == 0 {
		records = append(records, Record{Key: jobKeyPrefix + j.id})
	}
	return append(records, encodeRecord(progressKeyPrefix+j.id, j.progress()))
}

// currentRecord returns the record of a key as of now, without a value if the key is no longer
// needed.
func (s *Scheduler) currentRecord(key string) Record {
	if number, found := strings.CutPrefix(key, waveKeyPrefix); found {
		for _, w := range s.waves {
			if strconv.FormatInt(w.request.Number, 10) == number {
				return encodeRecord(key, w.record())
			}
		}
		return Record{Key: key}
	}
	if id, found := strings.CutPrefix(key, unresponsiveKeyPrefix); found {
		return s.encodeUnresponsive(id)
	}
	if id, found := strings.CutPrefix(key, openStartKeyPrefix); found {
		return s.openStarts.encode(id)
	}
	if modelKey, found := strings.CutPrefix(key, modelKeyPrefix); found && s.durationModels[modelKey] != nil {
		return encodeRecord(key, s.durationModels[modelKey].record())
	}
	if vm, found := strings.CutPrefix(key, moveKeyPrefix); found {
		return s.encodeMove(vm)
	}
	if id, found := strings.CutPrefix(key, jobKeyPrefix); found {
		if j := s.jobs[id]; j != nil && !(j.state.IsFinal() && j.placedTasks == 0) {
			return encodeRecord(key, j.record())
		}
		return Record{Key: key}
	}
	if j := s.jobs[strings.TrimPrefix(key, progressKeyPrefix)]; j != nil {
		return encodeRecord(key, j.progress())
	}
	return Record{Key: key}
}

func encodeRecord(key string, value any) Record {
	data, err := json.Marshal(value)
	if err != nil {
		panic("fulmarsched: can't encode a journal record: " + err.Error())
	}
	return Record{Key: key, Value: data}
}

func (j *job) record() jobRecord {
	return jobRecord{Queue: j.queue, Customer: j.customer, Accepted: j.accepted, AcceptedLate: j.acceptedLate, Specification: j.specification}
}

func (j *job) progress() progressRecord {
	p := progressRecord{OpenedOccurrences: j.openedOccurrences, DoneOccurrences: j.doneOccurrences}
	if j.state.IsFinal() {
		p.Final, p.EndedUnixMillis = j.state, j.endedUnixMillis
		if j.placedTasks == 0 {
			p.Customer = j.customer
			if j.queue.AllowAnonymous {
				p.Queue = j.queue.Name
			}
			return p
		}
	}
	for _, o := range j.activeOccurrences {
		p.Active = append(p.Active, o.record())
	}
	return p
}

func (o *occurrence) record() occurrenceRecord {
	r := occurrenceRecord{Number: o.number}
	for _, tasks := range o.steps {
		records := make([]taskRecord, len(tasks))
		for i, t := range tasks {
			records[i] = taskRecord{State: t.state, Run: t.run, Attempts: t.attempts, FailedRun: t.failedRun, Checkpoint: t.checkpoint, Started: t.job.started, Moving: t.moving, Crashes: t.crashes, Suspicions: t.suspicions, EarlyCrashes: t.earlyCrashes, CopyRun: t.copyRun, Copy: t.copyRecord()}
			if t.state == taskPlaced {
				records[i].Executor, records[i].Incarnation, records[i].VM = t.executor.info.ID, t.executor.info.Incarnation, t.executor.info.VM
				records[i].Settled = t.startAnswered
			}
		}
		r.Steps = append(r.Steps, records)
	}
	return r
}
