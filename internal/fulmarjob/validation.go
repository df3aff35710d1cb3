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
	// MaxNameBytes bounds labels, racks and images.
	MaxNameBytes = 256
	// MaxResource bounds the millicores, the megabytes and the GPUs of a task and of an executor,
	// so that the sums over all tasks of many jobs and over all executors don't overflow.
	MaxResource = 1 << 32
	// MaxDuration is a hundred years. It bounds durations and intervals, so that the sums over
	// all steps or repetitions don't overflow.
	MaxDuration = 100 * 365 * 24 * 60 * fulmarclock.Minute
)

// SpecificationError means that a job specification is invalid.
type SpecificationError struct{ detail string }

// Error returns what is invalid.
func (e *SpecificationError) Error() string { return "job specification: " + e.detail }

func specificationErrorf(format string, args ...any) error {
	return &SpecificationError{detail: fmt.Sprintf(format, args...)}
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
	if err := s.checkSchedule(); err != nil {
		return err
	}
	return s.checkAcyclic()
}

// checkSchedule checks the repetitions. The steps are valid.
func (s Specification) checkSchedule() error {
	if s.Repetitions < 0 {
		return specificationErrorf("the job has %d repetitions; the number must not be negative", s.Repetitions)
	}
	if s.FirstDue < 0 {
		return specificationErrorf("the start time of %d ms is negative", s.FirstDue)
	}
	if !IsDuration(s.Interval) {
		return specificationErrorf("the interval is %d ms; it must be between 0 and %d ms", s.Interval, MaxDuration)
	}
	return nil
}

func (s Step) validate(index, steps int) error {
	if s.Count < 1 || s.Count > MaxTasksPerStep {
		return specificationErrorf("step %d has %d tasks; it must have between 1 and %d", index, s.Count, MaxTasksPerStep)
	}
	if err := s.checkAmounts(index); err != nil {
		return err
	}
	if err := s.checkNames(index); err != nil {
		return err
	}
	return s.checkDependencies(index, steps)
}

// checkAmounts checks the resources, the limits and the durations of a step.
func (s Step) checkAmounts(index int) error {
	switch {
	case !s.Resources.InRange():
		return specificationErrorf("step %d requests %d millicores, %d MB and %d GPUs; each must be between 0 and %d",
			index, s.Resources.MilliCPU, s.Resources.MemoryMB, s.Resources.GPUs, int64(MaxResource))
	case s.MaxPerExecutor < 0:
		return specificationErrorf("step %d allows %d tasks on an executor; 0 means no limit", index, s.MaxPerExecutor)
	case s.MaxUnavailable < 0:
		return specificationErrorf("step %d allows %d unavailable tasks", index, s.MaxUnavailable)
	case !IsDuration(s.EstimatedDuration):
		return specificationErrorf("step %d has an estimated duration of %d ms", index, s.EstimatedDuration)
	case !IsDuration(s.TailLatencyTarget):
		return specificationErrorf("step %d has a tail latency target of %d ms", index, s.TailLatencyTarget)
	}
	return nil
}

// InRange reports whether each amount is between 0 and MaxResource.
func (r Resources) InRange() bool {
	return min(r.MilliCPU, r.MemoryMB, r.GPUs) >= 0 && max(r.MilliCPU, r.MemoryMB, r.GPUs) <= MaxResource
}

// IsDuration reports whether a duration is between 0 and MaxDuration.
func IsDuration(d fulmarclock.Millis) bool { return d >= 0 && d <= MaxDuration }

func (s Step) checkNames(index int) error {
	switch {
	case len(s.Label) > MaxNameBytes:
		return specificationErrorf("step %d has a label of %d bytes; the maximum is %d", index, len(s.Label), MaxNameBytes)
	case len(s.DataRack) > MaxNameBytes:
		return specificationErrorf("step %d has a data rack of %d bytes; the maximum is %d", index, len(s.DataRack), MaxNameBytes)
	case len(s.Image) > MaxNameBytes:
		return specificationErrorf("step %d has an image of %d bytes; the maximum is %d", index, len(s.Image), MaxNameBytes)
	}
	return nil
}

func (s Step) checkDependencies(index, steps int) error {
	if len(s.DependsOn) > MaxSteps {
		return specificationErrorf("step %d names %d dependencies; the maximum is %d", index, len(s.DependsOn), MaxSteps)
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
