package fulmardispatch

import "sort"

// FairShare returns how many of capacity slots the first demand may use when
// all demands share them max-min fairly: nobody gets more than it asks for, and
// what one leaves over goes to the rest in equal parts, rounded up.
func FairShare(capacity, own int, others []int) int {
	total := own
	for _, demand := range others {
		total += demand
	}
	if total <= capacity {
		return capacity
	}
	sorted := append([]int(nil), others...)
	sort.Ints(sorted)
	left, members := capacity, len(sorted)+1
	for _, demand := range sorted {
		equal := (left + members - 1) / members
		if demand >= equal {
			break
		}
		left -= demand
		members--
	}
	return (left + members - 1) / members
}
