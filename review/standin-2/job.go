package main

import (
	"strconv"
	"strings"
	"time"
)

// step is a step of a job as a client submits it; the lower part is only for the executors.
type step struct {
	Count          int    `json:"count"`
	CPU            int64  `json:"cpu"`
	Memory         int64  `json:"task_memory_mb"`
	Estimate       int64  `json:"estimated_duration_ms"`
	After          []int  `json:"after,omitempty"`
	Gang           bool   `json:"all_or_nothing,omitempty"`
	AntiAffinity   int    `json:"anti_affinity,omitempty"`
	Lasting        bool   `json:"long_running,omitempty"`
	Saves          bool   `json:"saves_progress,omitempty"`
	Target         int64  `json:"target_ms,omitempty"`
	Fills          bool   `json:"fills,omitempty"`
	MaxUnavailable *int   `json:"max_unavailable,omitempty"`
	Label          string `json:"requirements,omitempty"`

	// duration is how long a sound executor works on a task, fails whether a run fails at its end.
	duration time.Duration
	fails    func(task string, run int64) bool
}

// job is a job that a client submits.
type job struct {
	Specification string `json:"specification"`
	Steps         []step `json:"steps"`
	StartTime     int64  `json:"start_time_ms,omitempty"`
	Interval      int64  `json:"interval_ms,omitempty"`
	Repetitions   int    `json:"repetitions,omitempty"`

	id    string
	queue string
}

// taskOf splits the name of a task into its job, occurrence, step and index.
func taskOf(name string) (id string, occurrence, step, index int) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return name, 0, 0, 0
	}
	occurrence, _ = strconv.Atoi(parts[1])
	step, _ = strconv.Atoi(parts[2])
	index, _ = strconv.Atoi(parts[3])
	return parts[0], occurrence, step, index
}
