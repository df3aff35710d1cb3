package fulmarstandin

import (
	"sync"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

// FaultTable lists the faults that the platform's stand-in shows now.
type FaultTable struct {
	// Down refuses every call with status 503.
	Down bool `json:"down"`
	// SlowMillis delays every call.
	SlowMillis fulmarclock.Millis `json:"slow_ms"`
	// LoseAnswers carries out that many writes and cuts the connection in place of an answer.
	LoseAnswers int `json:"lose_answers"`
	// NoLeases refuses new leases.
	NoLeases bool `json:"no_leases"`
	// EmptyList leaves every VM out of the list, as after an outage in which no VM could report.
	EmptyList bool `json:"empty_list"`
}

// Faults holds the current fault table.
type Faults struct {
	mu    sync.Mutex
	table FaultTable
}

// Set replaces the fault table.
func (f *Faults) Set(table FaultTable) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table = table
}

// Table returns the fault table.
func (f *Faults) Table() FaultTable {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table
}

func (f *Faults) consumeLostResponse() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.table.LoseAnswers == 0 {
		return false
	}
	f.table.LoseAnswers--
	return true
}
