package fulmarshare

import (
	"cmp"
	"slices"
)

// Demand is what one customer demands of a capacity.
type Demand struct {
	// Weight is the customer's share relative to the others. A customer of weight 0 gets only what
	// the others do not demand.
	Weight float64
	// Amount is in the unit of the capacity.
	Amount float64
}

// Divide returns the share of each demand in the capacity under weighted max-min fairness. Its cost
// is O(n log n).
func Divide(capacity float64, demands []Demand) []float64 {
	shares := make([]float64, len(demands))
	weighted := make([]claim, 0, len(demands))
	var unweighted []claim
	for i, d := range demands {
		switch {
		case d.Amount <= 0:
		case d.Weight > 0:
			weighted = append(weighted, newClaim(i, d.Weight, d.Amount))
		default:
			unweighted = append(unweighted, newClaim(i, 1, d.Amount))
		}
	}
	fill(fill(capacity, weighted, shares), unweighted, shares)
	return shares
}

// claim is a demand with its index and an effective weight above 0.
type claim struct {
	index  int
	weight float64
	amount float64
	// level is the amount per weight, at which the claim is met.
	level float64
}

func newClaim(index int, weight, amount float64) claim {
	return claim{index, weight, amount, amount / weight}
}

// fill divides a capacity among claims, writes their shares, and returns what is left over. The
// claims are met in the order in which a rising level, the share per weight, reaches them.
func fill(capacity float64, claims []claim, shares []float64) float64 {
	slices.SortFunc(claims, func(a, b claim) int {
		return cmp.Or(cmp.Compare(a.level, b.level), cmp.Compare(a.index, b.index))
	})
	weights := 0.0
	for _, c := range slices.Backward(claims) {
		weights += c.weight
	}
	left := max(capacity, 0)
	for _, c := range claims {
		// With the last claim, rounding may make its weight differ from the sum of what is left.
		fraction := 1.0
		if c.weight < weights {
			fraction = c.weight / weights
		}
		share := min(c.amount, left*fraction)
		shares[c.index] = share
		left -= share
		weights -= c.weight
	}
	return left
}
