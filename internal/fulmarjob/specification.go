package fulmarjob

import "github.com/fulmardrum/fulmardrum/internal/fulmarclock"

// Specification is a job as its caller describes it.
type Specification struct {
	// Payload is passed to the executors unchanged.
	Payload string `json:"b,omitempty"`
	Steps   []Step `json:"s"`
	// Repetitions above 0 run the steps that many times; occurrence K is due at
	// FirstDue + K × Interval, in Unix milliseconds.
	Repetitions int                `json:"n,omitempty"`
	FirstDue    int64              `json:"f,omitempty"`
	Interval    fulmarclock.Millis `json:"i,omitempty"`
}

// Occurrences returns how many times the steps run.
func (s Specification) Occurrences() int { return max(s.Repetitions, 1) }

// IsLongRunning reports whether any step is long-running.
func (s Specification) IsLongRunning() bool {
	for _, step := range s.Steps {
		if step.LongRunning {
			return true
		}
	}
	return false
}
