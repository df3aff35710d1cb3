package fulmardispatch

import (
	"sort"

	"github.com/fulmardrum/fulmardrum/internal/fulmarsettings"
)

// Demand is another member's demand on a pool.
type Demand struct {
	// Requests is the number of the member's running and waiting requests.
	Requests int
	// Precedes reports whether the member's name sorts before this member's.
	Precedes bool
}

// FairShare returns how many of capacity slots this member may use under max-min
// fairness: no member gets more than its demand, and the slots that small demands
// leave are divided equally among the others. The remainder of the division goes
// to the first members by name, so that the shares add up to the capacity.
// If the demands do not exceed the capacity, each member may use all of it.
func FairShare(capacity, own int, others []Demand) int {
	total := own
	for _, other := range others {
		total += other.Requests
	}
	if total <= capacity {
		return capacity
	}
	remaining, unserved := serveSmallDemands(capacity, others)
	rank := 0
	for _, other := range unserved {
		if other.Precedes {
			rank++
		}
	}
	members := len(unserved) + 1
	if rank < remaining%members {
		return remaining/members + 1
	}
	return remaining / members
}

// serveSmallDemands grants in full the demands that do not exceed an equal share
// of the capacity. It returns the remaining slots and the demands not yet served.
func serveSmallDemands(capacity int, others []Demand) (remaining int, unserved []Demand) {
	unserved = append([]Demand(nil), others...)
	sort.Slice(unserved, func(i, j int) bool { return unserved[i].Requests < unserved[j].Requests })
	remaining = capacity
	for len(unserved) > 0 {
		smallest := unserved[0].Requests
		if smallest > remaining/(len(unserved)+1) {
			break
		}
		remaining -= smallest
		unserved = unserved[1:]
	}
	return remaining, unserved
}

// allowedSlots returns how many of the pool's slots this member may use, which
// depends on the sharing mode and the other members' demands.
func (s *Scheduler) allowedSlots() int {
	switch s.sharing {
	case fulmarsettings.SharingOptimistic:
		return s.totalSlots()
	case fulmarsettings.SharingStatic:
		return max(1, s.totalSlots()/max(1, s.members))
	}
	return FairShare(s.totalSlots(), s.running+s.queue.Len(), s.peerDemands)
}

// totalSlots returns the number of slots of the workers in use, but at least one
// per worker, so that probes remain possible when all workers are ejected.
func (s *Scheduler) totalSlots() int {
	slots := 0
	for _, w := range s.workers {
		if w.countsAsCapacity() {
			slots += w.assigned.Slots
		}
	}
	return max(slots, len(s.workers))
}
