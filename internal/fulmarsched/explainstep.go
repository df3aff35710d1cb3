package fulmarsched

import (
	"math"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
	"github.com/fulmardrum/fulmardrum/internal/fulmarreserve"
	"github.com/fulmardrum/fulmardrum/pkg/fulmarapi"
)

// explainedStep is a step in an explanation, with its next waiting task.
type explainedStep struct {
	*explainer
	occurrence *occurrence
	members    []*task
	next       *task
	// advice is what the placement advisor has said, nil if nothing.
	advice    *advice
	executors []*executor
}

func (x *explainer) explainStep(o *occurrence, i int) fulmarapi.StepExplanation {
	p := &explainedStep{
		explainer: x, occurrence: o, members: o.steps[i], next: nextWaiting(o.steps[i]),
		advice: x.scheduler.advice[stepKey{x.job.id, o.number, i}], executors: x.scheduler.services().executors[x.job.queue.Service],
	}
	report := fulmarapi.StepExplanation{
		Occurrence: o.number, Step: i, Waiting: o.waiting[i], Gang: p.next.step.Gang, Resources: reportOf(p.next.step.Resources),
		HeldBack: x.scheduler.isHeldBack(p.next), Executors: len(p.executors),
	}
	chosen := p.countExecutors(&report)
	if chosen != nil && !report.HeldBack && !x.isRefused && p.isDue() && p.fitsTogether(&report) {
		report.Executor = chosen.info.ID
	}
	p.findReservation(&report)
	report.Start = p.expectedStart(&report)
	return report
}

// nextWaiting returns the first waiting task of a step that has one, if possible one that is not suspected
// of a crash, as these are placed first.
func nextWaiting(tasks []*task) *task {
	var next *task
	for _, t := range tasks {
		if t.state == taskWaiting && (next == nil || next.isSuspect() && !t.isSuspect()) {
			next = t
		}
	}
	return next
}

// isDue reports whether the next task is not delayed after crashes.
func (p *explainedStep) isDue() bool { return p.scheduler.now >= p.next.retryAt }

// fitsTogether reports whether there is room for all tasks that start only together.
func (p *explainedStep) fitsTogether(report *fulmarapi.StepExplanation) bool {
	return !report.Gang || report.Room == report.Waiting && !p.awaitsMembers()
}

// awaitsMembers reports whether runs of the gang have to end before all its members can start together.
func (p *explainedStep) awaitsMembers() bool {
	return p.next.step.Gang && len(p.members) > p.occurrence.waiting[p.next.id.Step]
}

// countExecutors counts the candidates and the excluded executors, and returns the candidate that placement
// would choose, nil if there is none.
func (p *explainedStep) countExecutors(report *fulmarapi.StepExplanation) *executor {
	excluded := map[fulmarapi.ExclusionReason]int{}
	room, bestScore := 0, 0.0
	var best *executor
	for _, e := range p.executors {
		if reason := p.exclusionOf(e); reason != "" {
			excluded[reason]++
			continue
		}
		report.Candidates++
		room += min(p.roomOn(e), report.Waiting)
		if candidateScore := p.scoreOf(e); best == nil || candidateScore > bestScore {
			best, bestScore = e, candidateScore
		}
	}
	report.Room = min(room, report.Waiting, p.roomInQuota(report.Waiting))
	for _, reason := range fulmarapi.ExclusionReasons {
		if n := excluded[reason]; n > 0 {
			report.Excluded = append(report.Excluded, fulmarapi.Exclusion{Reason: reason, Executors: n})
		}
	}
	return best
}

// scoreOf returns the score of a candidate by which placement chooses.
func (p *explainedStep) scoreOf(e *executor) float64 {
	sum := score(e, p.next, p.scheduler.hasCrashedRecently(e.info.VM))
	if p.next.isSuspect() {
		sum += suspectScore(e, p.next)
	}
	return sum
}

// exclusionOf returns the first reason for which the next task can't start on an executor, empty if it can.
func (p *explainedStep) exclusionOf(e *executor) fulmarapi.ExclusionReason {
	t := p.next
	if reason := p.lastingExclusionOf(e); reason != "" {
		return reason
	}
	switch {
	case !t.step.Reserved().FitsIn(e.freeCapacity()):
		return fulmarapi.ExcludedCapacity
	case !p.keepsReservation(e):
		return fulmarapi.ExcludedReserved
	case !t.job.queue.NeedsPlacementAdvice:
		return ""
	case p.advice != nil && p.advice.refused[e.info.ID]:
		return fulmarapi.ExcludedByAdvisor
	case p.advice == nil || !p.advice.isValid(e, p.scheduler.now):
		return fulmarapi.ExcludedNeedsAdvice
	}
	return ""
}

// lastingExclusionOf returns the first of the reasons that do not end with the runs on the executor.
func (p *explainedStep) lastingExclusionOf(e *executor) fulmarapi.ExclusionReason {
	t := p.next
	if reason := e.unschedulableReason(p.scheduler.now); reason != "" {
		return reason
	}
	switch {
	case !e.permits(t):
		return fulmarapi.ExcludedIsolated
	case !e.info.HasLabel(t.step.Label):
		return fulmarapi.ExcludedLabel
	case t.step.MaxPerExecutor > 0 && countOn(e, p.members) >= t.step.MaxPerExecutor:
		return fulmarapi.ExcludedLimit
	case !e.permitsRunOf(t):
		return fulmarapi.ExcludedEarlierStart
	}
	return ""
}

// keepsReservation reports whether the next task would not delay a reservation on the executor.
func (p *explainedStep) keepsReservation(e *executor) bool {
	for _, h := range p.holds {
		if h.executor == e && h.task != p.next {
			return h.gap.Admits(e.freeCapacity(), p.next.step.Reserved(), p.scheduler.latestBackfillEnd(p.next))
		}
	}
	return true
}

// roomOn returns how many tasks of the step fit on a candidate, 1 on a reserved one.
func (p *explainedStep) roomOn(e *executor) int {
	room := math.MaxInt
	if step := p.next.step; step.MaxPerExecutor > 0 {
		room = step.MaxPerExecutor - countOn(e, p.members)
	}
	for _, h := range p.holds {
		if h.executor == e {
			return 1
		}
	}
	return min(room, timesIn(p.next.step.Reserved(), e.freeCapacity()))
}

// roomInQuota returns how many of the waiting tasks fit in what the customer's quota leaves.
func (p *explainedStep) roomInQuota(waiting int) int {
	if !p.job.quota.hasLimit() {
		return waiting
	}
	left := p.scheduler.quotas.ledger.Headroom(p.job.customer, p.job.quota.limit)
	return left.Take(p.next.step.Resources, waiting)
}

// timesIn returns how many times the resources fit in a capacity.
func timesIn(r, capacity fulmarjob.Resources) int {
	times := int64(math.MaxInt)
	if r.MilliCPU > 0 {
		times = min(times, capacity.MilliCPU/r.MilliCPU)
	}
	if r.MemoryMB > 0 {
		times = min(times, capacity.MemoryMB/r.MemoryMB)
	}
	if r.GPUs > 0 {
		times = min(times, capacity.GPUs/r.GPUs)
	}
	return int(times)
}

// findReservation sets the soonest reservation of the step's tasks.
func (p *explainedStep) findReservation(report *fulmarapi.StepExplanation) {
	for _, t := range p.members {
		if r := p.reservationOf(t); r != nil && (report.Reservation == nil || r.StartMillis < report.Reservation.StartMillis) {
			report.Reservation = r
		}
	}
}

// expectedStart returns when the next task is expected to start.
func (p *explainedStep) expectedStart(report *fulmarapi.StepExplanation) fulmarapi.ExpectedStart {
	switch {
	case p.isRefused:
		return fulmarapi.ExpectedStart{Basis: fulmarapi.StartRefused, Millis: unknownTime}
	case report.Executor != "":
		return fulmarapi.ExpectedStart{Basis: fulmarapi.StartNow}
	case report.HeldBack:
		return p.startAfterQuota()
	case !p.isDue():
		return fulmarapi.ExpectedStart{Basis: fulmarapi.StartAfterRetry, Millis: int64(p.next.retryAt - p.scheduler.now)}
	case p.awaitsMembers():
		return p.startAfterMembers()
	case report.Reservation != nil:
		return fulmarapi.ExpectedStart{Basis: fulmarapi.StartReservation, Millis: report.Reservation.StartMillis}
	case report.Candidates == 0 && hasExclusion(report.Excluded, fulmarapi.ExcludedNeedsAdvice):
		return fulmarapi.ExpectedStart{Basis: fulmarapi.StartAfterAdvice, Millis: unknownTime}
	}
	return p.startAfterWork()
}

func hasExclusion(excluded []fulmarapi.Exclusion, reason fulmarapi.ExclusionReason) bool {
	for _, x := range excluded {
		if x.Reason == reason {
			return true
		}
	}
	return false
}

// startAfterMembers returns when the last of the gang's runs is expected to end.
func (p *explainedStep) startAfterMembers() fulmarapi.ExpectedStart {
	last := p.scheduler.now
	for _, t := range p.members {
		if t.state == taskPlaced {
			last = max(last, p.scheduler.expectedEnd(t))
		}
	}
	if last >= fulmarreserve.Never {
		return fulmarapi.ExpectedStart{Basis: fulmarapi.StartAfterMembers, Millis: unknownTime}
	}
	return fulmarapi.ExpectedStart{Basis: fulmarapi.StartAfterMembers, Millis: int64(last - p.scheduler.now)}
}

// startAfterWork returns the time that the work before takes, or until the runs have ended that leave no
// room, whichever is longer.
func (p *explainedStep) startAfterWork() fulmarapi.ExpectedStart {
	s, soonest := p.scheduler, fulmarreserve.Never
	for _, e := range p.executors {
		if p.lastingExclusionOf(e) != "" {
			continue
		}
		if start, found := s.newTimeline(e).EarliestFit(s.now, p.next.step.Reserved()); found {
			soonest = min(soonest, start)
		}
	}
	if soonest == fulmarreserve.Never {
		return fulmarapi.ExpectedStart{Basis: fulmarapi.StartUnknown, Millis: unknownTime}
	}
	return fulmarapi.ExpectedStart{Basis: fulmarapi.StartAfterWork, Millis: int64(max(p.wait, soonest-s.now))}
}

// startAfterQuota returns the time that the customer's waiting work before the job takes within its quota,
// or until the first of its runs has ended, whichever is longer.
func (p *explainedStep) startAfterQuota() fulmarapi.ExpectedStart {
	s := p.scheduler
	end := p.firstEndOfCustomer()
	if !p.job.quota.hasLimit() || end == fulmarreserve.Never {
		return fulmarapi.ExpectedStart{Basis: fulmarapi.StartAfterQuota, Millis: unknownTime}
	}
	return fulmarapi.ExpectedStart{Basis: fulmarapi.StartAfterQuota, Millis: int64(max(s.quotaWait(p.job), end-s.now))}
}

// firstEndOfCustomer returns when the first of the runs of the job's customer is expected to end.
func (p *explainedStep) firstEndOfCustomer() fulmarclock.Millis {
	first := fulmarreserve.Never
	for _, other := range p.scheduler.activeJobs {
		if other.customer != p.job.customer || other.placedTasks == 0 {
			continue
		}
		other.eachTask(func(t *task) {
			if t.state == taskPlaced {
				first = min(first, p.scheduler.expectedEnd(t))
			}
		})
	}
	return first
}
