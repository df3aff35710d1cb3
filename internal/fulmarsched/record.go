package fulmarsched

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
	"github.com/fulmardrum/fulmardrum/internal/fulmarledger"
)

// Record is the newest state of one thing that lasts.
type Record = fulmarledger.Record

// Keys of the journal's records: what a job is, how far it is, how far a wave is.
const (
	jobKey      = "j/"
	progressKey = "p/"
	waveKey     = "w/"
)

// jobRecord is what a job is; it never changes.
type jobRecord struct {
	Queue         fulmarjob.Queue         `json:"q"`
	Accepted      int64                   `json:"a"`
	Specification fulmarjob.Specification `json:"s"`
}

// progressRecord is how far a job is.
type progressRecord struct {
	Final  fulmarjob.State    `json:"f,omitempty"`
	Unix   int64              `json:"u,omitempty"`
	Opened int                `json:"o,omitempty"`
	Ended  int                `json:"e,omitempty"`
	Active []occurrenceRecord `json:"a,omitempty"`
}

type occurrenceRecord struct {
	Number int            `json:"n,omitempty"`
	Steps  [][]taskRecord `json:"s"`
}

type taskRecord struct {
	State    taskState `json:"s,omitempty"`
	Run      int64     `json:"r,omitempty"`
	Attempts int       `json:"a,omitempty"`
	Executor string    `json:"e,omitempty"`
	Born     int64     `json:"b,omitempty"`
	// VM is the executor's VM, as a later life on it ends the executor's.
	VM      string `json:"v,omitempty"`
	Saved   string `json:"c,omitempty"`
	Begun   bool   `json:"g,omitempty"`
	Leaving bool   `json:"l,omitempty"`
}

// records returns the records of all that changed and of due keys.
func (s *Scheduler) records(due []string) []Record {
	var records []Record
	for _, j := range s.dirty {
		j.dirty = false
		records = s.appendJob(records, j)
	}
	s.dirty = nil
	records = append(records, s.silenceRecords()...)
	records = append(records, s.moveRecords()...)
	records = append(records, s.forecastRecords()...)
	for _, number := range s.waveNumbers() {
		if w := s.waves[number]; w.dirty {
			w.dirty = false
			records = append(records, encode(w.key(), w.record()))
		}
	}
	written := map[string]bool{}
	for _, r := range records {
		written[r.Key] = true
	}
	for _, key := range due {
		if !written[key] {
			records = append(records, s.recordOf(key))
		}
	}
	return records
}

func (s *Scheduler) appendJob(records []Record, j *job) []Record {
	if s.jobs[j.id] != j {
		return append(records, Record{Key: progressKey + j.id})
	}
	if !j.stored {
		j.stored = true
		records = append(records, encode(jobKey+j.id, j.record()))
	}
	if j.state.IsFinal() && j.placed == 0 {
		records = append(records, Record{Key: jobKey + j.id})
	}
	return append(records, encode(progressKey+j.id, j.progress()))
}

// recordOf returns the present record of a key.
func (s *Scheduler) recordOf(key string) Record {
	if number, found := strings.CutPrefix(key, waveKey); found {
		for _, w := range s.waves {
			if strconv.FormatInt(w.wave.Number, 10) == number {
				return encode(key, w.record())
			}
		}
		return Record{Key: key}
	}
	if id, found := strings.CutPrefix(key, silenceKey); found {
		return s.silenceRecord(id)
	}
	if learned, found := strings.CutPrefix(key, forecastKey); found && s.learned[learned] != nil {
		return encode(key, s.learned[learned].record())
	}
	if vm, found := strings.CutPrefix(key, moveKey); found {
		return s.moveRecord(vm)
	}
	if id, found := strings.CutPrefix(key, jobKey); found {
		if j := s.jobs[id]; j != nil && !(j.state.IsFinal() && j.placed == 0) {
			return encode(key, j.record())
		}
		return Record{Key: key}
	}
	if j := s.jobs[strings.TrimPrefix(key, progressKey)]; j != nil {
		return encode(key, j.progress())
	}
	return Record{Key: key}
}

func encode(key string, value any) Record {
	data, err := json.Marshal(value)
	if err != nil {
		panic("fulmarsched: a record of plain fields can't be encoded: " + err.Error())
	}
	return Record{Key: key, Value: data}
}

func (j *job) record() jobRecord {
	return jobRecord{Queue: j.queue, Accepted: j.accepted, Specification: j.specification}
}

func (j *job) progress() progressRecord {
	p := progressRecord{Opened: j.opened, Ended: j.ended}
	if j.state.IsFinal() {
		p.Final, p.Unix = j.state, j.endedUnix
		if j.placed == 0 {
			return p
		}
	}
	for _, o := range j.active {
		p.Active = append(p.Active, o.record())
	}
	return p
}

func (o *occurrence) record() occurrenceRecord {
	r := occurrenceRecord{Number: o.number}
	for _, tasks := range o.steps {
		rows := make([]taskRecord, len(tasks))
		for i, t := range tasks {
			rows[i] = taskRecord{State: t.state, Run: t.run, Attempts: t.attempts, Saved: t.saved, Begun: t.job.begun, Leaving: t.leaving}
			if t.state == taskPlaced {
				rows[i].Executor, rows[i].Born, rows[i].VM = t.executor.info.ID, t.executor.info.Born, t.executor.info.VM
			}
		}
		r.Steps = append(r.Steps, rows)
	}
	return r
}

// Restore takes in the journal of the owners before.
func (s *Scheduler) Restore(now fulmarclock.Millis, unix int64, records []Record) error {
	s.now, s.unix = now, unix
	if err := s.restoreForecasts(records); err != nil {
		return err
	}
	progress := map[string]json.RawMessage{}
	for _, r := range records {
		if id, found := strings.CutPrefix(r.Key, progressKey); found {
			progress[id] = r.Value
		}
	}
	for _, r := range records {
		if err := s.restoreRecord(r, progress); err != nil {
			return &fulmarjob.FormatError{What: r.Key, Cause: err}
		}
	}
	for _, r := range records {
		if id, found := strings.CutPrefix(r.Key, silenceKey); found {
			if err := s.restoreSilence(id, r.Value); err != nil {
				return &fulmarjob.FormatError{What: r.Key, Cause: err}
			}
		}
	}
	if err := s.restoreMoves(records); err != nil {
		return err
	}
	for id, value := range progress {
		if err := s.restoreEnded(id, value); err != nil {
			return &fulmarjob.FormatError{What: progressKey + id, Cause: err}
		}
	}
	s.log.Log("journal restored", "records", len(records), "jobs", len(s.jobs), "executors", len(s.executors))
	return nil
}

func (s *Scheduler) restoreRecord(r Record, progress map[string]json.RawMessage) error {
	if strings.HasPrefix(r.Key, waveKey) {
		return s.restoreWave(r.Value)
	}
	id, found := strings.CutPrefix(r.Key, jobKey)
	if !found {
		return nil
	}
	var w jobRecord
	if err := json.Unmarshal(r.Value, &w); err != nil {
		return err
	}
	j := newJob(id, w.Queue, w.Specification)
	j.accepted, j.stored = w.Accepted, true
	j.received = s.now - fulmarclock.Millis(max(s.unix-w.Accepted, 0))
	s.enter(j)
	value, known := progress[id]
	delete(progress, id)
	if !known {
		return nil
	}
	return s.restoreProgress(j, value)
}

// restoreEnded keeps the state of a job whose description is no longer stored.
func (s *Scheduler) restoreEnded(id string, value json.RawMessage) error {
	j := newJob(id, fulmarjob.Queue{}, fulmarjob.Specification{})
	j.stored = true
	s.jobs[id] = j
	s.order = append(s.order, j)
	return s.restoreProgress(j, value)
}

func (s *Scheduler) restoreProgress(j *job, value json.RawMessage) error {
	var p progressRecord
	if err := json.Unmarshal(value, &p); err != nil {
		return err
	}
	j.opened, j.ended = p.Opened, p.Ended
	for _, r := range p.Active {
		o := newOccurrence(j, r.Number)
		j.active = append(j.active, o)
		s.restoreTasks(j, o, r)
	}
	if p.Final != "" {
		j.state, j.endedUnix, j.settled = p.Final, p.Unix, true
	}
	return nil
}

func (s *Scheduler) restoreTasks(j *job, o *occurrence, r occurrenceRecord) {
	for i, rows := range r.Steps {
		for k, row := range rows {
			t := o.steps[i][k]
			t.run, t.attempts, t.saved = row.Run, row.Attempts, row.Saved
			j.begun = j.begun || row.Begun
			switch row.State {
			case taskDone:
				t.state = taskDone
				o.left[i]--
			case taskPlaced:
				s.restorePlaced(t, row)
			}
		}
	}
}

// restorePlaced notes that a run may be present at an executor until the longest lease has passed.
func (s *Scheduler) restorePlaced(t *task, row taskRecord) {
	e := s.executors[row.Executor]
	if e == nil {
		e = s.newExecutor(row.Executor)
		e.info.Born, e.info.VM = row.Born, row.VM
		e.deadBy = longestFrom(s.now, s.bounds.MaxLease)
	}
	e.add(t)
	t.stored = true
	t.leaving, t.leavingStored = row.Leaving, row.Leaving
}
