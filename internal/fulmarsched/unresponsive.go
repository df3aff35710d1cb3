package fulmarsched

import (
	"encoding/json"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

// unresponsiveKeyPrefix is the prefix of the journal keys of unresponsive executors.
const unresponsiveKeyPrefix = "e/"

// unresponsiveState is the state of the journal record that an executor does not respond. While
// the record exists, no owner renews the executor's lease, so a new owner waits only for the
// recorded remainder instead of a lease of maximum length.
type unresponsiveState struct {
	// recorded means that the journal holds a record, or will with the next batch; remaining is
	// the remaining lease in that record.
	recorded  bool
	remaining fulmarclock.Millis
	// removing means that the record is being deleted from the journal.
	removing bool
}

// unresponsiveRecord is the journal record of an unresponsive executor.
type unresponsiveRecord struct {
	Incarnation int64 `json:"b,omitempty"`
	// Remaining is the longest time that the lease can still last as of this record.
	Remaining fulmarclock.Millis `json:"r"`
}

// isUnresponsive reports whether the executor has not responded to the last renewal. One without a known address
// can't be contacted and counts as unresponsive.
func (e *executor) isUnresponsive() bool { return e.failedRenewals > 0 || e.info.Address == "" }

// recordUnresponsive records the remaining lease of an unresponsive executor, again after each
// unresponsiveRecordStep.
func (s *Scheduler) recordUnresponsive(e *executor) {
	if !e.isUnresponsive() || len(e.tasks) == 0 {
		return
	}
	remaining := max(s.lastLeaseEnd(e)-s.now, 0)
	if e.unresponsive.recorded && remaining > e.unresponsive.remaining-unresponsiveRecordStep {
		return
	}
	e.unresponsive = unresponsiveState{recorded: true, remaining: remaining}
	s.changedUnresponsive = append(s.changedUnresponsive, e.info.ID)
}

// clearUnresponsive deletes the record. The lease is renewed again after the record has been
// deleted from the journal.
func (s *Scheduler) clearUnresponsive(e *executor) {
	if e.unresponsive.recorded && !e.unresponsive.removing {
		e.unresponsive.removing = true
		s.changedUnresponsive = append(s.changedUnresponsive, e.info.ID)
	}
}

// changedUnresponsiveRecords returns the records that changed.
func (s *Scheduler) changedUnresponsiveRecords() []Record {
	var records []Record
	for _, id := range s.changedUnresponsive {
		records = append(records, s.encodeUnresponsive(id))
	}
	s.changedUnresponsive = nil
	return records
}

func (s *Scheduler) encodeUnresponsive(id string) Record {
	e := s.executors[id]
	if e == nil || !e.unresponsive.recorded || e.unresponsive.removing {
		return Record{Key: unresponsiveKeyPrefix + id}
	}
	return encodeRecord(unresponsiveKeyPrefix+id, unresponsiveRecord{Incarnation: e.info.Incarnation, Remaining: e.unresponsive.remaining})
}

// commitUnresponsive resumes the lease renewals of executors whose record was deleted from the
// journal.
func (s *Scheduler) commitUnresponsive(records []Record) {
	for _, r := range records {
		if r.Value != nil || len(r.Key) <= len(unresponsiveKeyPrefix) || r.Key[:len(unresponsiveKeyPrefix)] != unresponsiveKeyPrefix {
			continue
		}
		if e := s.executors[r.Key[len(unresponsiveKeyPrefix):]]; e != nil && e.unresponsive.removing {
			e.unresponsive = unresponsiveState{}
			s.scheduleRenewal(e, 0)
		}
	}
}

// restoreUnresponsive limits the wait for an executor's lease to the recorded remainder, since no
// previous owner renewed it after the record.
func (s *Scheduler) restoreUnresponsive(id string, value json.RawMessage) error {
	var r unresponsiveRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return err
	}
	e := s.executors[id]
	if e == nil || e.info.Incarnation != r.Incarnation {
		// The record must not limit the leases of tasks that are placed there later.
		s.changedUnresponsive = append(s.changedUnresponsive, id)
		return nil
	}
	e.leasesEndBy = min(e.leasesEndBy, s.now+r.Remaining)
	e.unresponsive = unresponsiveState{recorded: true, remaining: r.Remaining}
	e.failedRenewals = 1
	return nil
}
