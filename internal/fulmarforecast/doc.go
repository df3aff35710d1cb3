// Package fulmarforecast estimates how much work callers submit, now and a short time ahead. Pools
// that change their size only after the load has changed get their VMs too late: a VM takes
// seconds to arrive.
//
// Usage:
//
//	var demand fulmarforecast.Demand
//	demand.Add(now, work)                    // for each submitted job
//	cpu := demand.Rate(now)                  // at present
//	cpu = demand.RateAfter(now, moveDuration) // when a VM that is moved now has arrived
//
// The estimates are pure functions of what was added.
package fulmarforecast
