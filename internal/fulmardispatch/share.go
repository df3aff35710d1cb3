package fulmardispatch

import "sort"

// Demand is what another member asks of a pool.
type Demand struct {
	// Requests counts those that run and those that wait.
	Requests int
	// Before tells whether the member's name comes before this member's own.
	Before bool
}

// FairShare returns how many of capacity slots this member may use when all
// demands share them max-min fairly: nobody gets more than it asks for, and what
// one leaves over goes to the rest in equal parts. The slots that do not divide
// go to the first members by name, so that the shares add up to the capacity.
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
		if other.Before {
			rank++
		}
	}
	members := len(unserved) + 1
	if rank < remaining%members {
		return remaining/members + 1
	}
	return remaining / members
}

// serveSmallDemands takes the demands that are below an equal part out of the
// capacity, and returns what is left for the other members and their demands.
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
