package fulmarsched

import (
	"encoding/json"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

// silenceKey is the prefix of the records of silent executors.
const unresponsiveKeyPrefix = "e/"

// silence is what the journal holds of an executor that does not answer: while
// the record stands nobody renews the executor's lease, so a later owner need not
// wait for the longest lease anew.
type unresponsiveState struct {
	// recorded tells that the journal holds, or will hold, a record; rest is the lease's rest in it.
	recorded  bool
	remaining fulmarclock.Millis
	// ending tells that the removal of the record is on its way to the journal.
	removing bool
}

// silenceRecord is a silence in the journal.
type unresponsiveRecord struct {
	Incarnation int64 `json:"b,omitempty"`
	// Rest is how much longer the lease can last, at the time of the record.
	Remaining fulmarclock.Millis `json:"r"`
}

// noteSilence records the rest of a silent executor's lease as it shrinks. An
// executor whose address is not known can't be asked and counts as silent.
func (s *Scheduler) recordUnresponsive(e *executor) {
	isUnresponsive := e.failedRenewals > 0 || e.info.Address == ""
	if !isUnresponsive || len(e.tasks) == 0 {
		return
	}
	remaining := max(e.leasesEndBy-s.now, 0)
	if e.unresponsive.recorded && remaining > e.unresponsive.remaining-unresponsiveRecordStep {
		return
	}
	e.unresponsive = unresponsiveState{recorded: true, remaining: remaining}
	s.changedUnresponsive = append(s.changedUnresponsive, e.info.ID)
}

// endSilence removes the record; leases are renewed again once the journal no longer holds it.
func (s *Scheduler) clearUnresponsive(e *executor) {
	if e.unresponsive.recorded && !e.unresponsive.removing {
		e.unresponsive.removing = true
		s.changedUnresponsive = append(s.changedUnresponsive, e.info.ID)
	}
}

// silenceRecords returns the records that have changed.
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
	return encodeRecord(unresponsiveKeyPrefix+id, unresponsiveRecord{Incarnation: e.info.Born, Remaining: e.unresponsive.remaining})
}

// settleSilences lets leases be renewed whose records the journal no longer holds.
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

// restoreSilence shortens the wait for a lease that the owners before did not renew.
func (s *Scheduler) restoreUnresponsive(id string, value json.RawMessage) error {
	var r unresponsiveRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return err
	}
	e := s.executors[id]
	if e == nil || e.info.Born != r.Incarnation {
		return nil
	}
	e.leasesEndBy = min(e.leasesEndBy, s.now+r.Remaining)
	e.unresponsive = unresponsiveState{recorded: true, remaining: r.Remaining}
	e.failedRenewals = 1
	return nil
}
