package fulmarshare

import "github.com/fulmardrum/fulmardrum/internal/fulmarjob"

// tolerance is the rounding error of a division, as a fraction of the capacity.
const tolerance = 1e-9

// Division divides CPU and memory among customers. The amount of a customer is its dominant
// resource: the larger of its fractions of the CPU and of the memory.
type Division struct {
	capacity fulmarjob.Resources
	accounts []*Account
}

// NewDivision returns a division without customers.
func NewDivision() *Division { return &Division{} }

// Open makes an account part of the division, without any jobs, unless it is already.
func (d *Division) Open(a *Account) {
	if a.division != d {
		*a = Account{division: d, customer: a.customer, weight: a.weight}
		d.accounts = append(d.accounts, a)
	}
}

// Divide sets the shares of all accounts in a capacity. It reports whether they bind: if all demands
// fit into the capacity, each account's share is its demand and no job is beyond it.
func (d *Division) Divide(capacity fulmarjob.Resources) bool {
	d.capacity = capacity
	total := fulmarjob.Resources{}
	for _, a := range d.accounts {
		total = total.Add(a.held).Add(a.wanted)
	}
	binds := total.MilliCPU > d.capacity.MilliCPU || total.MemoryMB > d.capacity.MemoryMB
	demands, minimums := make([]Demand, len(d.accounts)), make([]float64, len(d.accounts))
	for i, a := range d.accounts {
		a.demand = d.dominant(a.held.Add(a.wanted))
		a.share = a.demand
		demands[i] = Demand{a.weight, a.demand}
		minimums[i] = d.dominant(a.largestJob)
	}
	if binds {
		for i, share := range divideWithMinimums(demands, minimums) {
			d.accounts[i].share = share
		}
	}
	return binds
}

// Beyond returns the accounts with a job beyond their share.
func (d *Division) Beyond() []*Account {
	var beyond []*Account
	for _, a := range d.accounts {
		if a.isBeyond {
			beyond = append(beyond, a)
		}
	}
	return beyond
}

// dominant returns the larger of the fractions of the CPU and of the memory.
func (d *Division) dominant(r fulmarjob.Resources) float64 {
	return max(fraction(r.MilliCPU, d.capacity.MilliCPU), fraction(r.MemoryMB, d.capacity.MemoryMB))
}

// fraction returns an amount as a fraction of a capacity. Of a resource that does not exist, any
// amount is more than everything.
func fraction(amount, capacity int64) float64 {
	switch {
	case amount <= 0:
		return 0
	case capacity <= 0:
		return 1 + float64(amount)
	}
	return float64(amount) / float64(capacity)
}

// Account is what a customer holds and wants, and its share. It is part of one division at a time, and
// can be used for another one afterwards.
type Account struct {
	division *Division
	customer string
	weight   float64
	held     fulmarjob.Resources
	wanted   fulmarjob.Resources
	// largestJob is the most CPU and the most memory that a job holds and wants. A share is at least
	// that: otherwise a customer with a small weight could never run a job as a whole.
	largestJob fulmarjob.Resources
	// taken is what the jobs want for which Take was called.
	taken fulmarjob.Resources
	// demand and share are fractions of the capacity.
	demand float64
	share  float64
	// isBeyond means that Take has found a job beyond the share.
	isBeyond bool
}

// NewAccount returns the account of a customer with a weight. It is part of no division.
func NewAccount(customer string, weight float64) *Account {
	return &Account{customer: customer, weight: weight}
}

// AddJob adds a job by the resources of its running tasks, and of those that wait and could start.
func (a *Account) AddJob(held, wanted fulmarjob.Resources) {
	a.held, a.wanted = a.held.Add(held), a.wanted.Add(wanted)
	job := held.Add(wanted)
	a.largestJob.MilliCPU = max(a.largestJob.MilliCPU, job.MilliCPU)
	a.largestJob.MemoryMB = max(a.largestJob.MemoryMB, job.MemoryMB)
}

// Customer returns the customer's name.
func (a *Account) Customer() string { return a.customer }

// Demand returns what the customer holds and wants as a fraction of the capacity.
func (a *Account) Demand() float64 { return a.demand }

// Share returns the customer's share as a fraction of the capacity.
func (a *Account) Share() float64 { return a.share }

// IsBeyond reports whether a job of the customer is beyond the share, among those that Take was called
// for. A customer whose only job is larger than its share is not beyond it.
func (a *Account) IsBeyond() bool { return a.isBeyond }

// Standing is how a job stands to its customer's share.
type Standing int

// The standings, in the order in which jobs are served. All jobs within their shares fit into the
// capacity together. Those that are partly within do not, so that they come after: otherwise the last
// urgent job of one customer would take what a less urgent one of another is due.
const (
	Within Standing = iota
	PartlyWithin
	Beyond
)

// Take returns the standing of the next job in the customer's order. A job is beyond the share when the
// customer's other jobs hold the whole share, or the earlier jobs in the order want what is left. What
// the job itself holds does not count for that, so that its other tasks do not wait for its first ones.
func (a *Account) Take(heldByJob, wantedByJob fulmarjob.Resources) Standing {
	if a.demand <= a.share+tolerance {
		return Within
	}
	before := a.held.Sub(heldByJob).Add(a.taken)
	a.taken = a.taken.Add(wantedByJob)
	switch {
	case a.division.dominant(before) >= a.share-tolerance:
		a.isBeyond = true
		return Beyond
	case a.division.dominant(a.held.Add(a.taken)) > a.share+tolerance:
		return PartlyWithin
	}
	return Within
}
