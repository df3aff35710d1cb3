package fulmarstandin

import (
	"sync"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

// FaultTable lists the faults that the simulated platform injects.
type FaultTable struct {
	// Down rejects every call with status 503.
	Down bool `json:"down"`
	// DelayMillis delays every call.
	DelayMillis fulmarclock.Millis `json:"slow_ms"`
	// LoseResponses is the number of writes to apply whose connection is then closed without a
	// response.
	LoseResponses int `json:"lose_answers"`
	// RejectLeases rejects requests for new leases with status 503.
	RejectLeases bool `json:"no_leases"`
	// EmptyVMList returns an empty VM list, as after an outage in which no VM could register.
	EmptyVMList bool `json:"empty_list"`
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

// consumeLostResponse reports whether to lose the response to this write, and decrements the
// number of responses to lose.
func (f *Faults) consumeLostResponse() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.table.LoseResponses == 0 {
		return false
	}
	f.table.LoseResponses--
	return true
}
