package fulmarjob

import "github.com/fulmardrum/fulmardrum/internal/fulmarclock"

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
