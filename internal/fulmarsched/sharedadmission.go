package fulmarsched

import (
	"slices"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
	"github.com/fulmardrum/fulmardrum/internal/fulmarshare"
)

const (
	// arrivalFactor is by how much longer a backlog is assumed to take than if no other work arrived.
	arrivalFactor = 3
	// maxSharedRetryAfter limits the retry delay of a customer whose share is very small.
	maxSharedRetryAfter = 30 * fulmarclock.Second
)

// sharedWork is the waiting work of a job with its customer's account.
type sharedWork struct {
	rankedWork
	job     *job
	account *fulmarshare.Account
}

// compare compares by rank.
func (w sharedWork) compare(other sharedWork) int { return w.rank.compare(other.rank) }

// sharedQueue is the waiting work of a service whose customers share it, a new job's included, in the
// order in which it is placed.
type sharedQueue struct {
	waiting []sharedWork
	// newWork is the work of the new job.
	newWork sharedWork
	// cpu is the service's CPU in millicores.
	cpu float64
	// binds means that the capacity is less than what the customers demand.
	binds bool
}

// checkSharedAdmission is checkAdmission for services that customers share. A new job is refused if it
// would be served too late to be of use, or would make a job late that is accepted already, on time,
// and of a customer within its share. A customer beyond its share thereby is refused first.
func (s *Scheduler) checkSharedAdmission(j *job, cpu float64) (Decision, bool) {
	q := s.newSharedQueue(j, cpu)
	j.acceptedLate = q.isLate()
	excess := q.excessWait()
	if excess <= 0 {
		return Decision{}, false
	}
	reason := reasonBacklog
	if q.newWork.account.IsBeyond() {
		reason = reasonBeyondShare
	}
	return Decision{Outcome: OutcomeRefused, Reason: reason, RetryAfter: q.retryAfter(excess)}, true
}

// newSharedQueue divides a service's capacity with the new job among those that demand it, and
// returns the waiting work in the order that follows.
func (s *Scheduler) newSharedQueue(j *job, cpu float64) *sharedQueue {
	d, capacity := s.divisionOf(j.queue.Service, j)
	q := &sharedQueue{waiting: s.sharedWaiting(j.queue.Service), cpu: cpu}
	q.newWork = sharedWork{rankedWork{j.rank, s.estimatedWork(j)}, j, s.shares.accountOf(j)}
	q.waiting = append(q.waiting, q.newWork)
	q.divide(d, capacity)
	return q
}

// divide divides the capacity and puts the work in the order that follows.
func (q *sharedQueue) divide(d *fulmarshare.Division, capacity fulmarjob.Resources) {
	slices.SortStableFunc(q.waiting, sharedWork.compare)
	if q.binds = d.Divide(capacity); q.binds {
		q.applyShares()
	}
}

// sharedWaiting returns the waiting work of a service's jobs, with their ranks of the last placement
// without the customers' shares.
func (s *Scheduler) sharedWaiting(service string) []sharedWork {
	var waiting []sharedWork
	jobs := s.services().jobs[service]
	permitted := s.permittedWork(jobs)
	for _, j := range jobs {
		if j.state.IsFinal() || j.longRunning {
			continue
		}
		if work := s.waitingWorkOf(j) * permitted.of(j); work > 0 {
			w := sharedWork{rankedWork{j.rank, work}, j, s.shares.accountOf(j)}
			w.rank.standing = fulmarshare.Within
			waiting = append(waiting, w)
		}
	}
	return waiting
}

// applyShares puts the work beyond its customer's share behind the other work.
func (q *sharedQueue) applyShares() {
	changed := false
	for i := range q.waiting {
		w := &q.waiting[i]
		w.rank.standing = w.account.Take(w.job.held(), w.job.wanted())
		changed = changed || w.rank.standing != fulmarshare.Within
		if w.job == q.newWork.job {
			q.newWork.rank = w.rank
		}
	}
	if changed {
		slices.SortStableFunc(q.waiting, sharedWork.compare)
	}
}

// counts reports whether work can be a reason to refuse the new job. That of a customer beyond its share
// is none for a customer within its own.
func (q *sharedQueue) counts(w sharedWork) bool {
	return w.job != q.newWork.job && (q.newWork.account.IsBeyond() || !w.account.IsBeyond())
}

// wait returns how long a job of the new job's customer with a rank waits. A customer beyond its share
// is served at the rate of its share, since others that are within theirs keep coming first: it waits
// for its own work, but no longer than the whole backlog takes beside what arrives meanwhile. Any other
// customer waits for all that is placed before.
func (q *sharedQueue) wait(r rank) fulmarclock.Millis {
	own, all := 0.0, 0.0
	for _, w := range q.waiting {
		if w.rank.compare(r) > 0 || !q.counts(w) {
			continue
		}
		all += w.work
		if w.account == q.newWork.account {
			own += w.work
		}
	}
	if share := q.newWork.account.Share(); q.newWork.account.IsBeyond() && share > 0 {
		return min(waitFor(own, min(share, 1)*q.cpu), waitFor(arrivalFactor*all, q.cpu))
	}
	return waitFor(all, q.cpu)
}

// isLate reports whether the new job would miss its deadline.
func (q *sharedQueue) isLate() bool { return q.wait(q.newWork.rank) > q.newWork.rank.slack }

// excessWait returns by how much the new job would be served too late to be of use, or would make a
// job late that has to be on time; zero if neither.
func (q *sharedQueue) excessWait() fulmarclock.Millis {
	r, j := q.newWork.rank, q.newWork.job
	if !q.isLate() {
		return q.excessOfOthers(r)
	}
	late := rank{standing: r.standing, priority: r.priority, class: classLate, slack: j.receivedAt}
	lateSlack := r.slack + (servedWithin-1)*j.objective()
	if excess := q.wait(late) - lateSlack; excess > 0 {
		return excess
	}
	return q.excessOfOthers(late)
}

// excessOfOthers returns by how much a new job with a rank would make the first of those accepted jobs
// late that are on time and of a customer within its share. Jobs of less urgent queues have to wait for
// a new job that is on time, but not for a late one.
func (q *sharedQueue) excessOfOthers(r rank) fulmarclock.Millis {
	ahead := 0.0
	for _, w := range q.waiting {
		if !q.counts(w) {
			continue
		}
		hasToBeOnTime := !w.account.IsBeyond() && w.rank.class == classOnTime && (r.class == classLate || w.rank.priority == r.priority)
		if hasToBeOnTime && w.rank.compare(r) > 0 && waitFor(ahead, q.cpu) <= w.rank.slack {
			if excess := waitFor(ahead+q.newWork.work, q.cpu) - w.rank.slack; excess > 0 {
				return excess
			}
		}
		ahead += w.work
	}
	return 0
}

// retryAfter returns how long the new job's customer waits before it submits the job again: until its
// own backlog is so small that its share serves the job in time. If its backlog is not the reason, it is
// the excess that is.
func (q *sharedQueue) retryAfter(excess fulmarclock.Millis) fulmarclock.Millis {
	own := 0.0
	for _, w := range q.waiting {
		if w.account == q.newWork.account && w.job != q.newWork.job {
			own += w.work
		}
	}
	share := min(q.newWork.account.Share(), 1)
	if share > 0 {
		if ownExcess := own/(share*q.cpu) - float64(q.newWork.rank.slack); ownExcess >= 1 {
			excess = fulmarclock.Millis(min(ownExcess, float64(maxSharedRetryAfter)))
		}
	}
	return min(excess, maxSharedRetryAfter)
}
