package fulmarjob

import (
	"fmt"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

// Limits of an accepted job.
const (
	MaxPayloadBytes = 4000
	MaxSteps        = 64
	MaxTasksPerStep = 2000
)

// Resources is an amount of CPU, memory and GPUs.
type Resources struct {
	// MilliCPU is in thousandths of a core.
	MilliCPU int64 `json:"c,omitempty"`
	MemoryMB int64 `json:"m,omitempty"`
	GPUs     int64 `json:"g,omitempty"`
}

// Add returns r + other.
func (r Resources) Add(other Resources) Resources {
	return Resources{r.MilliCPU + other.MilliCPU, r.MemoryMB + other.MemoryMB, r.GPUs + other.GPUs}
}

// Sub returns r - other.
func (r Resources) Sub(other Resources) Resources {
	return Resources{r.MilliCPU - other.MilliCPU, r.MemoryMB - other.MemoryMB, r.GPUs - other.GPUs}
}

// FitsIn reports whether r is at most capacity in every resource.
func (r Resources) FitsIn(capacity Resources) bool {
	return r.MilliCPU <= capacity.MilliCPU && r.MemoryMB <= capacity.MemoryMB && r.GPUs <= capacity.GPUs
}

// Step is a group of identical tasks of a job.
type Step struct {
	// Count is the number of tasks.
	Count int `json:"n"`
	// Resources is the resources that each task takes.
	Resources Resources `json:"r"`
	// EstimatedDuration is the caller's estimate of a task's duration.
	EstimatedDuration fulmarclock.Millis `json:"e,omitempty"`
	// DependsOn lists the indices of the steps whose tasks must all be done first.
	DependsOn []int `json:"a,omitempty"`
	// SavesProgress tasks write checkpoints, from which a later run resumes.
	SavesProgress bool `json:"s,omitempty"`
	// Gang tasks run and end only together.
	Gang bool `json:"t,omitempty"`
	// SameRack tasks are slower when they run on several racks.
	SameRack bool `json:"k,omitempty"`
	// Label is a label that the executor must have, empty for none.
	Label string `json:"l,omitempty"`
	// DataRack is the rack that holds the step's data, empty for none.
	DataRack string `json:"d,omitempty"`
	// MaxPerExecutor is the most tasks of the step on one executor; 0 means no limit.
	MaxPerExecutor int `json:"x,omitempty"`
	// Speculative tasks may have several runs at the same time.
	Speculative bool `json:"p,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool   `json:"o,omitempty"`
	Image       string `json:"i,omitempty"`
	// TailLatencyTarget is the target tail latency of a latency-sensitive task; 0 for other tasks.
	TailLatencyTarget fulmarclock.Millis `json:"q,omitempty"`
	// BestEffort tasks use the CPU that other tasks leave idle and reserve none.
	BestEffort bool `json:"f,omitempty"`
	// MaxUnavailable is the most long-running tasks of the step that the scheduler's own
	// commands may make unavailable at the same time; it applies if HasMaxUnavailable is set.
	MaxUnavailable    int  `json:"u,omitempty"`
	HasMaxUnavailable bool `json:"v,omitempty"`
}

// Reserved returns the resources that a task of the step reserves on its executor.
func (s Step) Reserved() Resources {
	if !s.BestEffort {
		return s.Resources
	}
	return Resources{MemoryMB: s.Resources.MemoryMB, GPUs: s.Resources.GPUs}
}

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

// SpecificationError means that a job specification is invalid.
type SpecificationError struct{ detail string }

// Error returns what is invalid.
func (e *SpecificationError) Error() string { return "job specification: " + e.detail }

func specificationErrorf(format string, args ...any) error {
	return &SpecificationError{detail: fmt.Sprintf(format, args...)}
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

// Validate returns a SpecificationError if the job can't be run as described.
func (s Specification) Validate() error {
	if len(s.Payload) > MaxPayloadBytes {
		return specificationErrorf("the payload has %d bytes; the maximum is %d", len(s.Payload), MaxPayloadBytes)
	}
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		return specificationErrorf("the job has %d steps; it must have between 1 and %d", len(s.Steps), MaxSteps)
	}
	for i, step := range s.Steps {
		if err := step.validate(i, len(s.Steps)); err != nil {
			return err
		}
	}
	if s.Repetitions < 0 || s.Interval < 0 {
		return specificationErrorf("repetitions and interval must not be negative")
	}
	return s.checkAcyclic()
}

func (s Step) validate(index, steps int) error {
	if s.Count < 1 || s.Count > MaxTasksPerStep {
		return specificationErrorf("step %d has %d tasks; it must have between 1 and %d", index, s.Count, MaxTasksPerStep)
	}
	if s.Resources.MilliCPU < 0 || s.Resources.MemoryMB < 0 || s.Resources.GPUs < 0 {
		return specificationErrorf("step %d requests a negative amount of a resource", index)
	}
	for _, dependency := range s.DependsOn {
		if dependency < 0 || dependency >= steps {
			return specificationErrorf("step %d depends on step %d, which does not exist", index, dependency)
		}
	}
	return nil
}

// checkAcyclic marks steps whose dependencies are all marked, once per step. A step
// that is still unmarked depends on a cycle.
func (s Specification) checkAcyclic() error {
	marked := make([]bool, len(s.Steps))
	for range s.Steps {
		for i, step := range s.Steps {
			marked[i] = marked[i] || allTrue(marked, step.DependsOn)
		}
	}
	for i := range marked {
		if !marked[i] {
			return specificationErrorf("step %d is part of a dependency cycle or depends on one", i)
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
