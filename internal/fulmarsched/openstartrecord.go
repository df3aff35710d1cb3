package fulmarsched

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// openStartKeyPrefix is the prefix of the journal keys of open starts, by executor.
const openStartKeyPrefix = "s/"

// openStartRecord is an open start in the journal record of its executor.
type openStartRecord struct {
	Job        string `json:"j"`
	Occurrence int    `json:"o,omitempty"`
	Step       int    `json:"s,omitempty"`
	Index      int    `json:"i,omitempty"`
	Run        int64  `json:"r"`
	Gang       bool   `json:"g,omitempty"`
}

func newOpenStartRecord(r runKey, gang bool) openStartRecord {
	return openStartRecord{Job: r.task.Job, Occurrence: r.task.Occurrence, Step: r.task.Step, Index: r.task.Index, Run: r.run, Gang: gang}
}

func (r openStartRecord) key(executor string) startKey {
	task := fulmarjob.TaskID{Job: r.Job, Occurrence: r.Occurrence, Step: r.Step, Index: r.Index}
	return startKey{executor, runKey{task, r.Run}}
}

// changedRecords returns the records of the executors that changed.
func (o *openStarts) changedRecords() []Record {
	var records []Record
	for _, executor := range slices.Sorted(maps.Keys(o.changed)) {
		records = append(records, o.encode(executor))
	}
	clear(o.changed)
	return records
}

// encode returns the record of an executor, without a value if no start is listed.
func (o *openStarts) encode(executor string) Record {
	var runs []runKey
	for key, start := range o.starts {
		if key.executor == executor && start.removed {
			runs = append(runs, key.run)
		}
	}
	if len(runs) == 0 {
		return Record{Key: openStartKeyPrefix + executor}
	}
	slices.SortFunc(runs, func(a, b runKey) int { return cmp.Or(compareTaskIDs(a.task, b.task), cmp.Compare(a.run, b.run)) })
	listed := make([]openStartRecord, len(runs))
	for i, r := range runs {
		listed[i] = newOpenStartRecord(r, o.starts[startKey{executor, r}].gang)
	}
	return encodeRecord(openStartKeyPrefix+executor, listed)
}

// restore loads the record of an executor.
func (o *openStarts) restore(now fulmarclock.Millis, executor string, value json.RawMessage) error {
	var listed []openStartRecord
	if err := json.Unmarshal(value, &listed); err != nil {
		return err
	}
	for _, r := range listed {
		o.noteInherited(now, r.key(executor), r.Gang, true)
	}
	return nil
}
