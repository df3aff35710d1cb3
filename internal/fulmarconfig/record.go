package fulmarconfig

import (
	"encoding/json"
	"fmt"

	"github.com/gravitational/trace"
)

// RecordKey is the key of the current record in the platform's key-value service.
const RecordKey = "fleet/config"

// historyKept bounds the changes listed in a record.
const historyKept = 50

// Record is one accepted generation of the configuration.
type Record struct {
	Generation int64    `json:"generation"`
	Document   Document `json:"document"`
	History    []Change `json:"history"`
}

// Change tells who made a generation, when and why.
type Change struct {
	Generation int64  `json:"generation"`
	Author     string `json:"author"`
	Reason     string `json:"reason"`
	UnixMillis int64  `json:"unix_ms"`
	// WriteID is unique to the write that made the generation.
	WriteID string `json:"write_id"`
}

// GenerationError is the refusal of a change made against an old generation.
type GenerationError struct {
	read    int64
	current int64
}

// NewGenerationError returns the refusal of a change read at one generation while another is current.
func NewGenerationError(read, current int64) *GenerationError {
	return &GenerationError{read: read, current: current}
}

// Current returns the generation in force.
func (e *GenerationError) Current() int64 { return e.current }

// Error names both generations.
func (e *GenerationError) Error() string {
	return fmt.Sprintf("the change was made against generation %d, but generation %d is in force", e.read, e.current)
}

// Next returns the record that follows previous with document in force.
func Next(previous Record, document Document, change Change) Record {
	change.Generation = previous.Generation + 1
	history := append([]Change{change}, previous.History...)
	if len(history) > historyKept {
		history = history[:historyKept]
	}
	return Record{Generation: change.Generation, Document: document, History: history}
}

// Encode returns the record's stored form.
func (r Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	return data, trace.Wrap(err)
}

// DecodeRecord parses a record's stored form.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, trace.Wrap(err)
	}
	return r, nil
}

// HasWrite tells whether a stored record or one before it was made by a write.
func HasWrite(stored []byte, writeID string) bool {
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
