package fulmarsched

import (
	"cmp"
	"math"
	"slices"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
	"github.com/fulmardrum/fulmardrum/internal/fulmarshare"
)

// sharesLogInterval is the time between two log lines on the shares of a service.
const sharesLogInterval = fulmarclock.Second

// fairShares are the customers of a configuration, by whose weights the capacity of a service is divided.
// They handle load in which one customer sends many times its usual load while others need what is
// theirs.
type fairShares struct {
	accounts map[string]*fulmarshare.Account
	// unnamed is the account of the jobs without a customer. They share as one more customer with the
	// mean weight.
	unnamed *fulmarshare.Account
	// loggedAt is when the shares of a service were last logged.
	loggedAt map[string]fulmarclock.Millis
}

// newFairShares returns the shares of a configuration that follow earlier ones, either of which may
// be nil. It returns nil if the configuration has no customers.
func newFairShares(c *fulmarjob.Configuration, earlier *fairShares) *fairShares {
	if !c.HasCustomers {
		return nil
	}
	f := &fairShares{accounts: make(map[string]*fulmarshare.Account, len(c.Customers)), loggedAt: map[string]fulmarclock.Millis{}}
	if earlier != nil {
		f.loggedAt = earlier.loggedAt
	}
	meanWeight := 0.0
	for _, customer := range c.Customers {
		f.accounts[customer.Name] = fulmarshare.NewAccount(customer.Name, customer.Weight)
		meanWeight += customer.Weight / float64(len(c.Customers))
	}
	f.unnamed = fulmarshare.NewAccount("", meanWeight)
	return f
}

// accountOf returns the account of a job's customer. The jobs of customers that the configuration no
// longer has share one account with those without a customer: no later owner knows their weight.
func (f *fairShares) accountOf(j *job) *fulmarshare.Account {
	if j.sharesOf != f {
		j.sharesOf, j.account = f, f.unnamed
		if account, found := f.accounts[j.customer]; found {
			j.account = account
		}
	}
	return j.account
}

// applyShares puts the jobs beyond their customer's share behind the others. waiting is sorted by
// rank, and is again afterwards.
func (s *Scheduler) applyShares(waiting []*job) {
	if s.shares == nil {
		return
	}
	byService := map[string][]*job{}
	for _, j := range waiting {
		byService[j.queue.Service] = append(byService[j.queue.Service], j)
	}
	changed := false
	for _, service := range sortedKeys(byService) {
		changed = s.applySharesOf(service, byService[service]) || changed
	}
	if changed {
		slices.SortStableFunc(waiting, func(a, b *job) int { return a.rank.compare(b.rank) })
	}
}

// applySharesOf sets the standings of a service's waiting jobs, and reports whether any is not within
// its customer's share.
func (s *Scheduler) applySharesOf(service string, waiting []*job) bool {
	d, capacity := s.divisionOf(service, nil)
	if !d.Divide(capacity) {
		return false
	}
	changed := false
	for _, j := range waiting {
		if !j.longRunning {
			j.rank.standing = s.shares.accountOf(j).Take(j.held(), j.wanted())
			changed = changed || j.rank.standing != fulmarshare.Within
		}
	}
	s.logShares(service, d)
	return changed
}

// divisionOf returns the division of a service with what the customers' jobs hold and want, and the
// capacity to divide. Long-running tasks come first in any case, so that what they hold is left out. A
// job that is not accepted yet is included if it is not nil.
func (s *Scheduler) divisionOf(service string, submitted *job) (*fulmarshare.Division, fulmarjob.Resources) {
	d := fulmarshare.NewDivision()
	withheld := fulmarjob.Resources{}
	smallest := fulmarjob.Resources{MilliCPU: math.MaxInt64, MemoryMB: math.MaxInt64}
	add := func(j *job) {
		account := s.shares.accountOf(j)
		d.Open(account)
		account.AddJob(j.held(), j.wanted())
		j.eachWanted(func(step *fulmarjob.Step, _ int) { smallest = smallest.Min(step.Reserved()) })
	}
	for _, j := range s.services().jobs[service] {
		switch {
		case j.state.IsFinal():
		case j.longRunning:
			withheld = withheld.Add(j.held())
		default:
			add(j)
		}
	}
	if submitted != nil {
		add(submitted)
	}
	return d, s.usableCapacity(service, smallest).Sub(withheld)
}

// usableCapacity returns the capacity of a service's executors that is in use, or could be by tasks of
// the given size, the smallest that wait. The remainders of executors into which no task fits are left out: if they
// were divided, the jobs within their shares would not all fit, and the less urgent ones among them
// would wait as long as the others have more. On executors that are not schedulable, only what is in
// use counts, as it does as held.
func (s *Scheduler) usableCapacity(service string, task fulmarjob.Resources) fulmarjob.Resources {
	sum := fulmarjob.Resources{}
	for _, e := range s.services().executors[service] {
		sum = sum.Add(e.used)
		if e.isSchedulable(s.now) && !e.isIsolated() {
			free := e.freeCapacity()
			n := min(free.MilliCPU/max(task.MilliCPU, 1), free.MemoryMB/max(task.MemoryMB, 1))
			sum = sum.Add(task.Times(int(max(n, 0))))
		}
	}
	return sum
}

// held returns the resources of the job's placed tasks.
func (j *job) held() fulmarjob.Resources {
	sum := fulmarjob.Resources{}
	if j.placedTasks == 0 {
		return sum
	}
	for _, o := range j.activeOccurrences {
		for i, remaining := range o.remaining {
			if placed := remaining - o.waiting[i]; placed > 0 {
				sum = sum.Add(j.specification.Steps[i].Reserved().Times(placed))
			}
		}
	}
	return sum
}

// wanted returns the resources of the job's waiting tasks whose step can start.
func (j *job) wanted() fulmarjob.Resources {
	sum := fulmarjob.Resources{}
	j.eachWanted(func(step *fulmarjob.Step, count int) { sum = sum.Add(step.Reserved().Times(count)) })
	return sum
}

// eachWanted calls visit for each step that can start and has waiting tasks, with their number. A job
// that is not accepted yet has no occurrence, but wants its first steps.
func (j *job) eachWanted(visit func(step *fulmarjob.Step, count int)) {
	for _, o := range j.activeOccurrences {
		for i, waiting := range o.waiting {
			if o.isStepPlaceable(j, i) {
				visit(&j.specification.Steps[i], waiting)
			}
		}
	}
	if j.openedOccurrences > 0 || j.specification.FirstDue > 0 {
		return
	}
	for i := range j.specification.Steps {
		if step := &j.specification.Steps[i]; len(step.DependsOn) == 0 {
			visit(step, step.Count)
		}
	}
}

// compareDemand compares what two customers demand beyond their shares.
func compareDemand(a, b *fulmarshare.Account) int {
	return cmp.Or(cmp.Compare(a.Demand()-a.Share(), b.Demand()-b.Share()), cmp.Compare(a.Customer(), b.Customer()))
}

// permille returns a fraction in thousandths.
func permille(fraction float64) int64 { return int64(1000 * fraction) }

// logShares logs the customers of a service that are beyond their shares, once per sharesLogInterval.
func (s *Scheduler) logShares(service string, d *fulmarshare.Division) {
	if at, logged := s.shares.loggedAt[service]; logged && s.now < at+sharesLogInterval {
		return
	}
	beyond := d.Beyond()
	if len(beyond) == 0 {
		return
	}
	s.shares.loggedAt[service] = s.now
	largest := slices.MaxFunc(beyond, compareDemand)
	s.log.Log("customers are beyond their shares", "service", service, "customers", len(beyond), "largest", largest.Customer(), "demand_permille", permille(largest.Demand()), "share_permille", permille(largest.Share()))
	s.log.Count("shares_binding", service)
}
