package fulmarstandin

import (
	"encoding/json"
	"net/http"
	"sync"
)

// Run is one execution of a request on a worker.
type Run struct {
	Worker          string `json:"worker"`
	RequestID       string `json:"request_id"`
	Key             string `json:"key,omitempty"`
	Method          string `json:"method"`
	Pool            string `json:"pool"`
	Epoch           string `json:"epoch"`
	StartUnixMillis int64  `json:"start_unix_ms"`
	// StartSequence and EndSequence number the starts and ends of all runs of a journal in one
	// sequence. EndSequence is zero while the request runs.
	StartSequence int64 `json:"begin"`
	EndSequence   int64 `json:"end"`
}

// Journal records the runs of one or more workers.
type Journal struct {
	mu   sync.Mutex
	runs []Run
	// lastSequence is the sequence number of the latest start or end.
	lastSequence int64
}

// Add appends a run that starts now. It returns a function to call when the run ends.
func (j *Journal) Add(run Run) (end func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lastSequence++
	run.StartSequence = j.lastSequence
	j.runs = append(j.runs, run)
	index := len(j.runs) - 1
	return func() { j.end(index) }
}

func (j *Journal) end(index int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lastSequence++
	j.runs[index].EndSequence = j.lastSequence
}

// Runs returns a copy of the list of runs.
func (j *Journal) Runs() []Run {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]Run(nil), j.runs...)
}

// CountByRequest returns the number of runs of each request ID.
func (j *Journal) CountByRequest() map[string]int {
	return j.countBy(func(r Run) string { return r.RequestID })
}

// CountByKey returns the number of runs of each idempotency key.
func (j *Journal) CountByKey() map[string]int {
	return j.countBy(func(r Run) string { return r.Key })
}

func (j *Journal) countBy(name func(Run) string) map[string]int {
	counts := map[string]int{}
	for _, run := range j.Runs() {
		if value := name(run); value != "" {
			counts[value]++
		}
	}
	return counts
}

func writeRuns(rw http.ResponseWriter, runs []Run) {
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(runs)
}
