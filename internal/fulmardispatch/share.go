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
	left, rest := serveSmall(capacity, others)
	rank := 0
	for _, other := range rest {
		if other.Before {
			rank++
		}
	}
	members := len(rest) + 1
	if rank < left%members {
		return left/members + 1
	}
	return left / members
}

// serveSmall takes the demands that are below an equal part out of the
// capacity, and returns what is left for the other members and their demands.
func serveSmall(capacity int, others []Demand) (left int, rest []Demand) {
	rest = append([]Demand(nil), others...)
	sort.Slice(rest, func(i, j int) bool { return rest[i].Requests < rest[j].Requests })
	left = capacity
	for len(rest) > 0 {
		smallest := rest[0].Requests
		if smallest > left/(len(rest)+1) {
			break
		}
		left -= smallest
		rest = rest[1:]
	}
	return left, rest
}
