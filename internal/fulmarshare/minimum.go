package fulmarshare

const (
	// maxMinimums is the largest fraction of the capacity that is given out as minimums. The rest is
	// divided by weight.
	maxMinimums = 0.5
	// minimumRounds limits how often the capacity is divided again after shares were raised to
	// their minimum. Each round lowers the other shares a little, after which another one may be below
	// its minimum.
	minimumRounds = 4
)

// divideWithMinimums divides a capacity of 1 like Divide, but raises each share that is below the
// customer's minimum to it, unless its weight is 0. If the minimums are too many, none applies.
func divideWithMinimums(demands []Demand, minimums []float64) []float64 {
	plain := Divide(1, demands)
	shares, left := plain, 1.0
	raised := make([]bool, len(demands))
	remaining := append([]Demand(nil), demands...)
	for range minimumRounds {
		before := left
		for i := range demands {
			if !raised[i] && demands[i].Weight > 0 && shares[i] < minimums[i]-tolerance {
				raised[i] = true
				remaining[i].Amount = 0
				left -= minimums[i]
			}
		}
		if left == before {
			break
		}
		if left < 1-maxMinimums {
			return plain
		}
		shares = Divide(left, remaining)
		for i := range demands {
			if raised[i] {
				shares[i] = minimums[i]
			}
		}
	}
	return shares
}
