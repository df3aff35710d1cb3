package fulmarrig

import (
	"fmt"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

// capacityChange is a capacity of an executor and the time from which it applies.
type capacityChange struct {
	at       fulmarclock.Millis
	milliCPU int64
}

// SetCapacity changes the processor capacity of a VM's executor until its end. The executor
// changes its entry in the store; it doesn't reject starts.
func (r *Rig) SetCapacity(vm string, milliCPU int64) error {
	f := r.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.find(vm)
	if v == nil || v.executor == nil {
		return nil
	}
	v.executor.setCapacity(milliCPU)
	return f.register(v)
}

func (e *executor) setCapacity(milliCPU int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.capacities = append(e.capacities, capacityChange{at: e.rig.options.Clock.Now(), milliCPU: milliCPU})
}

// capacity returns the current capacity.
func (e *executor) capacity() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.capacities[len(e.capacities)-1].milliCPU
}

// recordLoad records in a new run the load with it and the largest capacity that applied
// within Options.CapacityNotice. The caller holds e.mu.
func (e *executor) recordLoad(run *Run) {
	demand := e.rig.options.Demand
	if demand == nil {
		return
	}
	run.Load = demand(run.Task)
	for key := range e.running {
		run.Load += demand(key.task)
	}
	for i, c := range e.capacities {
		replaced := i+1 < len(e.capacities) && e.capacities[i+1].at+e.rig.options.CapacityNotice < run.Started
		if !replaced {
			run.Capacity = max(run.Capacity, c.milliCPU)
		}
	}
}

// findOverloads returns a description of each start that brought an executor over its capacity.
func findOverloads(runs []Run) []string {
	var violations []string
	for _, r := range runs {
		if r.Load > r.Capacity {
			violations = append(violations, fmt.Sprintf("start over the capacity of the executor: %+v", r))
		}
	}
	return violations
}
