package fulmarquota

import "github.com/fulmardrum/fulmardrum/internal/fulmarjob"

// Ledger holds the sum of what each customer has reserved. It keeps nothing for a customer whose
// sum is zero, so it does not grow with customers that come and go.
type Ledger struct {
	used map[string]fulmarjob.Resources
}

// NewLedger returns a ledger without reservations.
func NewLedger() *Ledger { return &Ledger{used: map[string]fulmarjob.Resources{}} }

// Reserve adds resources to a customer's sum. Work without a customer is not counted.
func (l *Ledger) Reserve(customer string, resources fulmarjob.Resources) {
	if customer != "" {
		l.set(customer, l.used[customer].Add(resources))
	}
}

// Release subtracts resources that were reserved before.
func (l *Ledger) Release(customer string, resources fulmarjob.Resources) {
	if customer != "" {
		l.set(customer, l.used[customer].Sub(resources))
	}
}

func (l *Ledger) set(customer string, used fulmarjob.Resources) {
	if used == (fulmarjob.Resources{}) {
		delete(l.used, customer)
		return
	}
	l.used[customer] = used
}

// Used returns a customer's sum.
func (l *Ledger) Used(customer string) fulmarjob.Resources { return l.used[customer] }

// Fits reports whether a customer may reserve resources under a quota. A resource that the quota
// does not limit, or of which nothing is reserved, is not compared: after a quota was lowered, work
// that takes none of the exceeded resource still fits.
func (l *Ledger) Fits(customer string, quota, resources fulmarjob.Resources) bool {
	return fitsBeside(l.used[customer], quota, resources)
}

// Keeps reports whether reserved resources, which the sum includes, are within a quota. It compares as
// Fits does.
func (l *Ledger) Keeps(customer string, quota, reserved fulmarjob.Resources) bool {
	return fitsBeside(l.used[customer].Sub(reserved), quota, reserved)
}

// Exceeds reports whether resources are beyond a quota by themselves.
func Exceeds(quota, resources fulmarjob.Resources) bool {
	return !fitsBeside(fulmarjob.Resources{}, quota, resources)
}

func fitsBeside(used, quota, resources fulmarjob.Resources) bool {
	return fits(quota.MilliCPU, used.MilliCPU, resources.MilliCPU) &&
		fits(quota.MemoryMB, used.MemoryMB, resources.MemoryMB) &&
		fits(quota.GPUs, used.GPUs, resources.GPUs)
}

// fits compares without a sum of used and amount, which could overflow.
func fits(limit, used, amount int64) bool {
	return limit == 0 || amount == 0 || amount <= limit-used
}

// Headroom is what a quota leaves to a customer. It is a copy, from which a caller takes tentatively.
type Headroom struct {
	quota fulmarjob.Resources
	left  fulmarjob.Resources
}

// Headroom returns what a quota leaves beside a customer's sum.
func (l *Ledger) Headroom(customer string, quota fulmarjob.Resources) Headroom {
	return Headroom{quota: quota, left: quota.Sub(l.used[customer])}
}

// Take takes up to count times the resources, and returns how often they were taken.
func (h *Headroom) Take(resources fulmarjob.Resources, count int) int {
	taken := min(
		multiples(h.quota.MilliCPU, h.left.MilliCPU, resources.MilliCPU, count),
		multiples(h.quota.MemoryMB, h.left.MemoryMB, resources.MemoryMB, count),
		multiples(h.quota.GPUs, h.left.GPUs, resources.GPUs, count),
	)
	h.left = h.left.Sub(resources.Times(taken))
	return taken
}

// multiples returns how many times an amount, at most count, is left of a limited resource.
func multiples(limit, left, amount int64, count int) int {
	if limit == 0 || amount == 0 {
		return count
	}
	return int(min(max(left, 0)/amount, int64(count)))
}
