package fulmarjob

import (
	"fmt"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

// Bounds of a job that is accepted.
const (
	MaxPayloadBytes = 4000
	MaxSteps        = 64
	MaxTasksPerStep = 2000
)

// Resources is an amount of processor, memory and accelerators.
type Resources struct {
	// MilliCPU is in thousandths of a core.
	MilliCPU int64 `json:"c,omitempty"`
	MemoryMB int64 `json:"m,omitempty"`
	GPUs     int64 `json:"g,omitempty"`
}

// Plus returns the sum of both amounts.
func (r Resources) Plus(other Resources) Resources {
	return Resources{r.MilliCPU + other.MilliCPU, r.MemoryMB + other.MemoryMB, r.GPUs + other.GPUs}
}

// Minus returns what is left of r without other.
func (r Resources) Minus(other Resources) Resources {
	return Resources{r.MilliCPU - other.MilliCPU, r.MemoryMB - other.MemoryMB, r.GPUs - other.GPUs}
}

// FitsIn tells whether room holds r.
func (r Resources) FitsIn(room Resources) bool {
	return r.MilliCPU <= room.MilliCPU && r.MemoryMB <= room.MemoryMB && r.GPUs <= room.GPUs
}

// Step is a group of equal tasks of a job.
type Step struct {
	Count int `json:"n"`
	// Need is what each task takes.
	Need Resources `json:"r"`
	// Estimate is the caller's rough guess of a task's duration.
	Estimate fulmarclock.Millis `json:"e,omitempty"`
	// After lists the steps whose tasks must all be done first.
	After         []int `json:"a,omitempty"`
	SavesProgress bool  `json:"s,omitempty"`
	// Gang tasks run and end only together.
	Gang bool `json:"t,omitempty"`
	// SameRack tasks are slower when they run on several racks.
	SameRack bool `json:"k,omitempty"`
	// Label is one that the executor must have; empty for none.
	Label string `json:"l,omitempty"`
	// NearRack is the rack with the data; empty for none.
	NearRack string `json:"d,omitempty"`
	// MaxPerExecutor bounds the tasks of the step on one executor; zero for no bound.
	MaxPerExecutor int `json:"x,omitempty"`
	// Speculative tasks may run in several copies.
	Speculative bool `json:"p,omitempty"`
	// Lasting tasks run until the job is cancelled.
	Lasting bool   `json:"o,omitempty"`
	Image   string `json:"i,omitempty"`
	// TailTarget bounds the tail of the response times of a serving task.
	TailTarget fulmarclock.Millis `json:"q,omitempty"`
	// Fills tasks use what the others leave unused; their processor need does not count.
	Fills bool `json:"f,omitempty"`
	// MaxUnavailable bounds how many lasting tasks may be away by the scheduler's own orders.
	// HasMaxUnavailable tells whether the step has such a bound.
	MaxUnavailable    int  `json:"u,omitempty"`
	HasMaxUnavailable bool `json:"v,omitempty"`
}

// Counted returns what a task of the step takes of an executor's room.
func (s Step) Counted() Resources {
	if !s.Fills {
		return s.Need
	}
	return Resources{MemoryMB: s.Need.MemoryMB, GPUs: s.Need.GPUs}
}

// Specification is a job as its caller describes it.
type Specification struct {
	// Payload is passed to the executors as it is.
	Payload string `json:"b,omitempty"`
	Steps   []Step `json:"s"`
	// Repetitions above zero let the steps run that many times; occurrence K is due
	// at FirstDue + K × Interval, in milliseconds since 1970.
	Repetitions int                `json:"n,omitempty"`
	FirstDue    int64              `json:"f,omitempty"`
	Interval    fulmarclock.Millis `json:"i,omitempty"`
}

// SpecificationError tells what is wrong with a job.
type SpecificationError struct{ detail string }

// Error returns the detail.
func (e *SpecificationError) Error() string { return "job specification: " + e.detail }

func invalid(format string, values ...any) error {
	return &SpecificationError{detail: fmt.Sprintf(format, values...)}
}

// Occurrences returns how many times the steps run.
func (s Specification) Occurrences() int { return max(s.Repetitions, 1) }

// IsLasting tells whether the job has tasks that run until it is cancelled.
func (s Specification) IsLasting() bool {
	for _, step := range s.Steps {
		if step.Lasting {
			return true
		}
	}
	return false
}

// Check returns a SpecificationError when the job could never be carried out as described.
func (s Specification) Check() error {
	if len(s.Payload) > MaxPayloadBytes {
		return invalid("the payload has %d bytes, at most %d are allowed", len(s.Payload), MaxPayloadBytes)
	}
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		return invalid("%d steps, between 1 and %d are allowed", len(s.Steps), MaxSteps)
	}
	for i, step := range s.Steps {
		if err := step.check(i, len(s.Steps)); err != nil {
			return err
		}
	}
	if s.Repetitions < 0 || s.Interval < 0 {
		return invalid("negative repetitions or interval")
	}
	return s.checkCycles()
}

func (s Step) check(index, steps int) error {
	if s.Count < 1 || s.Count > MaxTasksPerStep {
		return invalid("step %d has %d tasks, between 1 and %d are allowed", index, s.Count, MaxTasksPerStep)
	}
	if s.Need.MilliCPU < 0 || s.Need.MemoryMB < 0 || s.Need.GPUs < 0 {
		return invalid("step %d needs a negative amount", index)
	}
	for _, a := range s.After {
		if a < 0 || a >= steps {
			return invalid("step %d waits for step %d, which does not exist", index, a)
		}
	}
	return nil
}

// checkCycles removes steps without open predecessors until none is left.
func (s Specification) checkCycles() error {
	done := make([]bool, len(s.Steps))
	for range s.Steps {
		for i, step := range s.Steps {
			done[i] = done[i] || allTrue(done, step.After)
		}
	}
	for i := range done {
		if !done[i] {
			return invalid("step %d waits for itself through the steps before it", i)
		}
	}
	return nil
}

func allTrue(flags []bool, indices []int) bool {
	for _, i := range indices {
		if !flags[i] {
			return false
		}
	}
	return true
}
