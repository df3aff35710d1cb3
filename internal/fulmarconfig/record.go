package fulmarconfig

import (
	"encoding/json"
	"fmt"

	"github.com/gravitational/trace"
)

// RecordKey is the key of the newest record in the platform's key-value service.
const RecordKey = "fleet/config"

// maxHistoryChanges limits the changes listed in a record.
const maxHistoryChanges = 50

// Record is an accepted document with its generation. Its JSON form is stored under RecordKey.
type Record struct {
	Generation int64    `json:"generation"`
	Document   Document `json:"document"`
	// History lists the latest changes, newest first.
	History []Change `json:"history"`
}

// Change describes who made a generation, when and why.
type Change struct {
	Generation int64  `json:"generation"`
	Author     string `json:"author"`
	Reason     string `json:"reason"`
	UnixMillis int64  `json:"unix_ms"`
	// WriteID is unique to the write that made the generation, so that a writer whose
	// call got no response can find out whether the write was applied.
	WriteID string `json:"write_id"`
}

// StaleGenerationError means that a change is based on a generation that is no longer current.
type StaleGenerationError struct {
	base    int64
	current int64
}

// NewStaleGenerationError returns the error for a change based on one generation while another is current.
func NewStaleGenerationError(base, current int64) *StaleGenerationError {
	return &StaleGenerationError{base: base, current: current}
}

// Current returns the current generation.
func (e *StaleGenerationError) Current() int64 { return e.current }

// Error returns a message with both generations.
func (e *StaleGenerationError) Error() string {
	return fmt.Sprintf("the change is based on generation %d, but the current generation is %d", e.base, e.current)
}

// Next returns the record of the generation after previous, with document as its document.
func Next(previous Record, document Document, change Change) Record {
	change.Generation = previous.Generation + 1
	history := append([]Change{change}, previous.History...)
	if len(history) > maxHistoryChanges {
		history = history[:maxHistoryChanges]
	}
	return Record{Generation: change.Generation, Document: document, History: history}
}

// Encode returns the record as JSON.
func (r Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	return data, trace.Wrap(err)
}

// DecodeRecord parses an encoded record.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, trace.Wrap(err)
	}
	return r, nil
}

// ContainsWrite reports whether the history of a stored record contains a write, that is,
// whether the write made this generation or a recent earlier one.
func ContainsWrite(stored []byte, writeID string) bool {
	record, err := DecodeRecord(stored)
	if err != nil {
		return false
	}
	for _, change := range record.History {
		if change.WriteID == writeID {
			return true
		}
	}
	return false
}
