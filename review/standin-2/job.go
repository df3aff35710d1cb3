package main

import (
	"strconv"
	"strings"
	"time"
)

// step is a step of a job as a client submits it; duration is how long a sound executor works on a task,
// and spread how much longer on each further one of the step.
type step struct {
	Count        int   `json:"count"`
	CPU          int64 `json:"cpu"`
	Memory       int64 `json:"task_memory_mb"`
	Estimate     int64 `json:"estimated_duration_ms"`
	AntiAffinity int   `json:"anti_affinity,omitempty"`
	Lasting      bool  `json:"long_running,omitempty"`

	duration time.Duration
	spread   time.Duration
}

// job is a job that a client submits.
type job struct {
	Specification string `json:"specification"`
	Steps         []step `json:"steps"`

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
