package fulmarsched

import (
	"encoding/json"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

// silenceKey is the prefix of the records of silent executors.
const silenceKey = "e/"

// silence is what the journal holds of an executor that does not answer: while
// the record stands nobody renews the executor's lease, so a later owner need not
// wait for the longest lease anew.
type silence struct {
	// recorded tells that the journal holds, or will hold, a record; rest is the lease's rest in it.
	recorded bool
	rest     fulmarclock.Millis
	// ending tells that the removal of the record is on its way to the journal.
	ending bool
}

// silenceRecord is a silence in the journal.
type silenceRecord struct {
	Born int64 `json:"b,omitempty"`
	// Rest is how much longer the lease can last, at the time of the record.
	Rest fulmarclock.Millis `json:"r"`
}

// noteSilence records the rest of a silent executor's lease as it shrinks. An
// executor whose address is not known can't be asked and counts as silent.
func (s *Scheduler) noteSilence(e *executor) {
	isSilent := e.failures > 0 || e.info.Address == ""
	if !isSilent || len(e.tasks) == 0 {
		return
	}
	rest := max(e.deadBy-s.now, 0)
	if e.silence.recorded && rest > e.silence.rest-silenceStep {
		return
	}
	e.silence = silence{recorded: true, rest: rest}
	s.silent = append(s.silent, e.info.ID)
}

// endSilence removes the record; leases are renewed again once the journal no longer holds it.
func (s *Scheduler) endSilence(e *executor) {
	if e.silence.recorded && !e.silence.ending {
		e.silence.ending = true
		s.silent = append(s.silent, e.info.ID)
	}
}

// silenceRecords returns the records that have changed.
func (s *Scheduler) silenceRecords() []Record {
	var records []Record
	for _, id := range s.silent {
		records = append(records, s.silenceRecord(id))
	}
	s.silent = nil
	return records
}

func (s *Scheduler) silenceRecord(id string) Record {
	e := s.executors[id]
	if e == nil || !e.silence.recorded || e.silence.ending {
		return Record{Key: silenceKey + id}
	}
	return encode(silenceKey+id, silenceRecord{Born: e.info.Born, Rest: e.silence.rest})
}

// settleSilences lets leases be renewed whose records the journal no longer holds.
func (s *Scheduler) settleSilences(records []Record) {
	for _, r := range records {
		if r.Value != nil || len(r.Key) <= len(silenceKey) || r.Key[:len(silenceKey)] != silenceKey {
			continue
		}
		if e := s.executors[r.Key[len(silenceKey):]]; e != nil && e.silence.ending {
			e.silence = silence{}
			s.scheduleHold(e, 0)
		}
	}
}

// restoreSilence shortens the wait for a lease that the owners before did not renew.
func (s *Scheduler) restoreSilence(id string, value json.RawMessage) error {
	var r silenceRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return err
	}
	e := s.executors[id]
	if e == nil || e.info.Born != r.Born {
		return nil
	}
	e.deadBy = min(e.deadBy, s.now+r.Rest)
	e.silence = silence{recorded: true, rest: r.Rest}
	e.failures = 1
	return nil
}
