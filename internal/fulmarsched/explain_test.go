package fulmarsched

import (
	"slices"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
	"github.com/fulmardrum/fulmardrum/pkg/fulmarapi"
)

// silentLogger fails the test if anything is logged or counted.
type silentLogger struct{ t *testing.T }

func (l silentLogger) Log(message string, _ ...any) { l.t.Errorf("logged: %s", message) }

func (l silentLogger) Count(name, reason string) { l.t.Errorf("counted: %s %s", name, reason) }

// explainNew explains a new job of a customer and checks that Submit decides the same afterwards, and that
// explaining leaves no log line, count, demand or other record.
func explainNew(t *testing.T, s *Scheduler, customer string, steps ...fulmarjob.Step) fulmarapi.Explanation {
	t.Helper()
	sub := Submission{ID: jobID(4711), Queue: s.configuration.Queues[0], Customer: customer, Specification: fulmarjob.Specification{Steps: steps}}
	log := s.log
	s.log = silentLogger{t}
	demands, lookAheads := len(s.demands), len(s.lookAheads)
	x := s.Explain(s.now+70, 70, sub)
	s.log = log
	quicktest.Check(t, []int{len(s.demands), len(s.lookAheads)}, quicktest.DeepEquals, []int{demands, lookAheads})
	quicktest.Check(t, s.HasJob(sub.ID), quicktest.IsFalse)
	d := s.Submit(s.now+70, 70, sub)
	quicktest.Check(t, x.Decision.Accepted, quicktest.Equals, d.Outcome == OutcomeAccepted)
	quicktest.Check(t, x.Decision.Reason, quicktest.Equals, d.Reason)
	quicktest.Check(t, x.Decision.RetryAfterMillis, quicktest.Equals, int64(d.RetryAfter))
	return x
}

// newExplainedScheduler returns a scheduler with executors of 4 cores that have sent a report.
func newExplainedScheduler(ids ...string) *Scheduler {
	s := New(1000, testParameters, 1, countingLogger{})
	s.SetConfiguration(1000, testConfiguration())
	for _, id := range ids {
		s.UpdateExecutor(1000, fulmarjob.Executor{ID: id, Service: testService, VM: id, Incarnation: 1, Capacity: fulmarjob.Resources{MilliCPU: 4000, MemoryMB: 4000}})
		s.executors[id].fence.accepted = true
	}
	return s
}

func TestExplainIdlePool(t *testing.T) {
	s := newExplainedScheduler("a", "b")
	x := explainNew(t, s, "", step(3), step(1, 0))
	quicktest.Assert(t, x, quicktest.DeepEquals, fulmarapi.Explanation{
		Queue: testQueue, Service: testService, Decision: &fulmarapi.ExplainedDecision{Accepted: true, Reason: "accepted"},
		Steps: []fulmarapi.StepExplanation{{
			Waiting: 3, Resources: fulmarapi.ResourceReport{MilliCPU: 1000, MemoryMB: 500}, Executors: 2, Candidates: 2, Room: 3, Executor: "a",
			Start: fulmarapi.ExpectedStart{Basis: fulmarapi.StartNow},
		}},
		EndMillis: 400,
	})
}

// Guards against a step that is shown as able to start before the steps that it depends on.
func TestExplainPlacesOnChosenExecutor(t *testing.T) {
	s := newExplainedScheduler("a", "b", "c")
	s.executors["b"].used.MilliCPU = 2000
	x := explainNew(t, s, "", step(1), step(1, 0))
	quicktest.Assert(t, len(x.Steps), quicktest.Equals, 1)
	s.Plan(s.now, 70, nil)
	j := s.jobs[jobID(4711)]
	quicktest.Assert(t, x.Steps[0].Executor, quicktest.Equals, "b")
	quicktest.Assert(t, j.activeOccurrences[0].steps[0][0].executor.info.ID, quicktest.Equals, x.Steps[0].Executor)
	known, found := s.ExplainJob(s.now, 70, j.id)
	quicktest.Assert(t, found, quicktest.IsTrue)
	quicktest.Assert(t, *known.Progress, quicktest.Equals, fulmarapi.JobProgress{State: "queued", Running: 1, Waiting: 1})
	quicktest.Assert(t, known.Steps, quicktest.HasLen, 0)
	quicktest.Assert(t, known.Decision, quicktest.IsNil)
}

func TestExplainUnknownJob(t *testing.T) {
	_, found := newExplainedScheduler().ExplainJob(1000, 0, jobID(1))
	quicktest.Assert(t, found, quicktest.IsFalse)
}

// TestExclusionReasons changes one executor of two, and compares the first reason with what placement does.
func TestExclusionReasons(t *testing.T) {
	limited := step(2)
	limited.MaxPerExecutor = 1
	labelled := step(1)
	labelled.Label = "gpu"
	lasting := step(1)
	lasting.LongRunning = true
	for _, row := range []struct {
		reason fulmarapi.ExclusionReason
		step   fulmarjob.Step
		change func(s *Scheduler, e *executor)
	}{
		{fulmarapi.ExcludedUnlisted, step(1), func(_ *Scheduler, e *executor) { e.listed = false }},
		{fulmarapi.ExcludedReplaced, step(1), func(_ *Scheduler, e *executor) { e.supersededAt = 900 }},
		{fulmarapi.ExcludedReplaced, step(1), func(_ *Scheduler, e *executor) { e.retired = true }},
		{fulmarapi.ExcludedDraining, step(1), func(_ *Scheduler, e *executor) { e.info.Draining = true }},
		{fulmarapi.ExcludedCordoned, step(1), func(_ *Scheduler, e *executor) { e.cordoned = true }},
		{fulmarapi.ExcludedUnresponsive, step(1), func(_ *Scheduler, e *executor) { e.failedRenewals = 1 }},
		{fulmarapi.ExcludedUnconfirmed, step(1), func(_ *Scheduler, e *executor) { e.fence.accepted = false }},
		{fulmarapi.ExcludedUnconfirmed, step(1), func(_ *Scheduler, e *executor) { e.moreFinished = true }},
		{fulmarapi.ExcludedUnconfirmed, step(1), func(_ *Scheduler, e *executor) { e.claimed.ID = e.info.ID }},
		{fulmarapi.ExcludedAfterFailure, step(1), func(s *Scheduler, e *executor) { e.avoidUntil = s.now + 5000 }},
		{fulmarapi.ExcludedIsolated, step(1), func(_ *Scheduler, e *executor) { e.isolatedFor = trial{isLasting: true} }},
		{fulmarapi.ExcludedLabel, labelled, func(*Scheduler, *executor) {}},
		{fulmarapi.ExcludedLimit, limited, nil},
		{fulmarapi.ExcludedEarlierStart, lasting, func(s *Scheduler, _ *executor) {
			s.openStarts.noteSent(s.now, startKey{"other", runKey{fulmarjob.TaskID{Job: jobID(4711)}, 2}}, false)
		}},
		{fulmarapi.ExcludedCapacity, step(1), func(_ *Scheduler, e *executor) { e.used.MilliCPU = 3500 }},
	} {
		t.Run(string(row.reason), func(t *testing.T) {
			s := newExplainedScheduler("changed", "other")
			s.executors["other"].info.Labels = []string{"gpu"}
			if row.change != nil {
				row.change(s, s.executors["changed"])
			} else {
				s.executors["other"].used.MilliCPU = 4000
			}
			x := explainNew(t, s, "", row.step)
			if row.change != nil {
				quicktest.Check(t, x.Steps[0].Executor, quicktest.Equals, "other")
			}
			s.Plan(s.now, 70, nil)
			known, _ := s.ExplainJob(s.now, 70, jobID(4711))
			if row.reason != fulmarapi.ExcludedLimit {
				quicktest.Assert(t, x.Steps[0].Excluded, quicktest.DeepEquals, []fulmarapi.Exclusion{{Reason: row.reason, Executors: 1}})
				quicktest.Assert(t, known.Progress.Running, quicktest.Equals, 1)
				return
			}
			quicktest.Assert(t, known.Steps[0].Excluded, quicktest.DeepEquals, []fulmarapi.Exclusion{{Reason: fulmarapi.ExcludedLimit, Executors: 1}, {Reason: fulmarapi.ExcludedCapacity, Executors: 1}})
			quicktest.Assert(t, known.Progress.Running, quicktest.Equals, 1)
		})
	}
}

// Guards against a reason that is shown in no list.
func TestExclusionReasonsAreListed(t *testing.T) {
	seen := slices.Compact(slices.Sorted(slices.Values(fulmarapi.ExclusionReasons)))
	quicktest.Assert(t, len(seen), quicktest.Equals, len(fulmarapi.ExclusionReasons))
	quicktest.Assert(t, len(seen), quicktest.Equals, 15)
}

// TestExplainFullPool fills a pool: a new job waits for the work before it, or is refused.
func TestExplainFullPool(t *testing.T) {
	s := newExplainedScheduler("a")
	explainNew(t, s, "", step(4))
	s.Plan(s.now, 70, nil)
	x := s.Explain(s.now, 70, Submission{Queue: s.configuration.Queues[0], Specification: fulmarjob.Specification{Steps: []fulmarjob.Step{step(1)}}})
	quicktest.Assert(t, x.Decision.Accepted, quicktest.IsTrue)
	quicktest.Assert(t, x.Steps[0].Start.Basis, quicktest.Equals, fulmarapi.StartAfterWork)
	quicktest.Assert(t, x.Steps[0].Start.Millis, quicktest.Equals, int64(200))
	quicktest.Assert(t, x.EndMillis, quicktest.Equals, int64(400))
	quicktest.Assert(t, x.Steps[0].Executor, quicktest.Equals, "")
	for i := range 20 {
		s.Submit(s.now, 70, Submission{ID: jobID(i), Queue: s.configuration.Queues[0], Specification: fulmarjob.Specification{Steps: []fulmarjob.Step{step(8)}}})
	}
	x = explainNewAs(t, s, 99, step(8))
	quicktest.Assert(t, x.Decision.Accepted, quicktest.IsFalse)
	quicktest.Assert(t, x.Decision.Reason, quicktest.Equals, "backlog")
	quicktest.Assert(t, x.Decision.RetryAfterMillis > 0, quicktest.IsTrue)
	quicktest.Assert(t, x.Steps[0].Start.Basis, quicktest.Equals, fulmarapi.StartRefused)
	quicktest.Assert(t, x.EndMillis, quicktest.Equals, int64(unknownTime))
}

func explainNewAs(t *testing.T, s *Scheduler, id int, steps ...fulmarjob.Step) fulmarapi.Explanation {
	t.Helper()
	sub := Submission{ID: jobID(id), Queue: s.configuration.Queues[0], Specification: fulmarjob.Specification{Steps: steps}}
	x := s.Explain(s.now, 70, sub)
	d := s.Submit(s.now, 70, sub)
	quicktest.Check(t, []any{x.Decision.Reason, x.Decision.RetryAfterMillis}, quicktest.DeepEquals, []any{d.Reason, int64(d.RetryAfter)})
	return x
}

// Guards against a start that is promised although no executor is large enough.
func TestExplainTaskBeyondAllExecutors(t *testing.T) {
	s := newExplainedScheduler("a")
	large := step(1)
	large.Resources.MilliCPU = 5000
	x := explainNew(t, s, "", large)
	quicktest.Assert(t, x.Steps[0].Start, quicktest.Equals, fulmarapi.ExpectedStart{Basis: fulmarapi.StartUnknown, Millis: unknownTime})
	quicktest.Assert(t, x.EndMillis, quicktest.Equals, int64(unknownTime))
}

// Guards against a gang of which a part is shown as able to start.
func TestExplainGang(t *testing.T) {
	s := newExplainedScheduler("a")
	gang := step(5)
	gang.Gang = true
	x := explainNew(t, s, "", gang)
	quicktest.Assert(t, x.Steps[0].Room, quicktest.Equals, 4)
	quicktest.Assert(t, x.Steps[0].Executor, quicktest.Equals, "")
}

func TestExplainQuota(t *testing.T) {
	s := newExplainedScheduler("a", "b")
	next := *s.configuration
	next.HasCustomers, next.Customers = true, []fulmarjob.Customer{{Name: "c", Weight: 1, Quota: quotaOfCores(2)}}
	s.SetConfiguration(1000, &next)
	x := explainNew(t, s, "c", step(4))
	quicktest.Assert(t, *x.Quota, quicktest.Equals, fulmarapi.QuotaReport{Limit: fulmarapi.ResourceReport{MilliCPU: 2000}})
	quicktest.Assert(t, x.Steps[0].HeldBack, quicktest.IsFalse)
	quicktest.Assert(t, x.Steps[0].Room, quicktest.Equals, 2)
	quicktest.Assert(t, x.EndMillis, quicktest.Equals, int64(400), quicktest.Commentf("two tasks at a time"))
	s.Plan(s.now, 70, nil)
	known, _ := s.ExplainJob(s.now, 70, jobID(4711))
	quicktest.Assert(t, *known.Progress, quicktest.Equals, fulmarapi.JobProgress{State: "queued", Running: 2, Waiting: 2})
	quicktest.Assert(t, known.Customer, quicktest.Equals, "c")
	quicktest.Assert(t, known.Quota.Used.MilliCPU, quicktest.Equals, int64(2000))
	quicktest.Assert(t, known.Steps[0].HeldBack, quicktest.IsTrue)
	quicktest.Assert(t, known.Steps[0].Candidates, quicktest.Equals, 2)
	quicktest.Assert(t, known.Steps[0].Executor, quicktest.Equals, "")
	quicktest.Assert(t, known.Steps[0].Start, quicktest.Equals, fulmarapi.ExpectedStart{Basis: fulmarapi.StartAfterQuota, Millis: 200})
	large := step(1)
	large.Resources.MilliCPU = 3000
	refused := s.Explain(s.now, 70, Submission{Queue: s.configuration.Queues[0], Customer: "c", Specification: fulmarjob.Specification{Steps: []fulmarjob.Step{large}}})
	quicktest.Assert(t, *refused.Decision, quicktest.Equals, fulmarapi.ExplainedDecision{Reason: reasonBeyondQuota})
}

// TestExplainShares fills a pool that two customers share: the hot one is refused, and shown beyond its
// share; the other one is accepted, and shown within.
func TestExplainShares(t *testing.T) {
	s := newAdmissionScheduler(1, 1)
	submitTo(s, 0, 1, 0)
	explainAs := func(customer int) fulmarapi.Explanation {
		return s.Explain(s.now, 1000, Submission{Queue: s.configuration.Queues[0], Customer: playCustomer(customer), Specification: fulmarjob.Specification{Steps: []fulmarjob.Step{playStep}}})
	}
	quicktest.Assert(t, explainAs(0).Share, quicktest.IsNil)
	d := fillUntilRefused(t, s, 0, 1)
	hot, other := explainAs(0), explainAs(1)
	quicktest.Assert(t, *hot.Decision, quicktest.Equals, fulmarapi.ExplainedDecision{Reason: d.Reason, RetryAfterMillis: int64(d.RetryAfter)})
	quicktest.Assert(t, hot.Share.Standing, quicktest.Equals, fulmarapi.StandingBeyond)
	quicktest.Assert(t, hot.Share.Demand > hot.Share.Share, quicktest.IsTrue)
	quicktest.Assert(t, other.Decision.Accepted, quicktest.IsTrue)
	quicktest.Assert(t, other.Share.Standing, quicktest.Equals, fulmarapi.StandingWithin)
	known, _ := s.ExplainJob(s.now, 1000, jobID(0))
	quicktest.Assert(t, known.Share.Standing, quicktest.Equals, fulmarapi.StandingWithin)
	known, _ = s.ExplainJob(s.now, 1000, s.jobList[len(s.jobList)-1].id)
	quicktest.Assert(t, known.Share.Standing, quicktest.Equals, fulmarapi.StandingBeyond)
}

// TestExplainReservation explains a large task with a reservation, and small tasks that would delay it.
func TestExplainReservation(t *testing.T) {
	p := newReservedPlay(t, true, blockingEstimate)
	r := p.reservations()[0]
	large, _ := p.scheduler.ExplainJob(p.now, p.unixMillis(), largeJob)
	want := fulmarapi.ReservationReport{Executor: r.Executor, StartMillis: int64(r.Start - p.now)}
	quicktest.Assert(t, *large.Steps[0].Reservation, quicktest.Equals, want)
	quicktest.Assert(t, large.Steps[0].Start, quicktest.Equals, fulmarapi.ExpectedStart{Basis: fulmarapi.StartReservation, Millis: want.StartMillis})
	quicktest.Assert(t, large.EndMillis, quicktest.Equals, want.StartMillis+int64(largeEstimate))
	small := step(1)
	small.EstimatedDuration = 8 * fulmarclock.Second
	explain := func(priority int) fulmarapi.StepExplanation {
		queue := p.configuration.Queues[0]
		queue.Priority = priority
		return p.scheduler.Explain(p.now, p.unixMillis(), Submission{Queue: queue, Specification: fulmarjob.Specification{Steps: []fulmarjob.Step{small}}}).Steps[0]
	}
	quicktest.Assert(t, explain(1).Excluded, quicktest.DeepEquals, []fulmarapi.Exclusion{{Reason: fulmarapi.ExcludedReserved, Executors: 1}})
	quicktest.Assert(t, explain(0).Excluded, quicktest.HasLen, 0)
	small.EstimatedDuration = 100
	quicktest.Assert(t, explain(1).Excluded, quicktest.HasLen, 0)
}

func TestExplainAdvice(t *testing.T) {
	s := newExplainedScheduler("a", "b")
	s.configuration.Queues[0].NeedsPlacementAdvice = true
	x := explainNew(t, s, "", step(1))
	quicktest.Assert(t, x.Steps[0].Excluded, quicktest.DeepEquals, []fulmarapi.Exclusion{{Reason: fulmarapi.ExcludedNeedsAdvice, Executors: 2}})
	quicktest.Assert(t, x.Steps[0].Start.Basis, quicktest.Equals, fulmarapi.StartAfterAdvice)
	quicktest.Assert(t, s.advice, quicktest.HasLen, 0)
	a := s.adviceOf(stepKey{Job: jobID(4711)})
	a.refused["a"] = true
	a.tickets["b"] = ticket{value: "t", validUntil: s.now + 100}
	known, _ := s.ExplainJob(s.now, 70, jobID(4711))
	quicktest.Assert(t, known.Steps[0].Excluded, quicktest.DeepEquals, []fulmarapi.Exclusion{{Reason: fulmarapi.ExcludedByAdvisor, Executors: 1}})
	quicktest.Assert(t, known.Steps[0].Executor, quicktest.Equals, "b")
}

// Guards against an explanation at a time that the next event takes for its own.
func TestExplainKeepsTime(t *testing.T) {
	s := newExplainedScheduler("a")
	now, unixMillis := s.now, s.unixMillis
	s.Explain(s.now+500, 9000, Submission{Queue: s.configuration.Queues[0], Specification: fulmarjob.Specification{Steps: []fulmarjob.Step{step(1)}}})
	s.ExplainJob(s.now+500, 9000, jobID(1))
	quicktest.Assert(t, s.now, quicktest.Equals, now)
	quicktest.Assert(t, s.unixMillis, quicktest.Equals, unixMillis)
}

// Guards against a task that is shown as able to start although it is delayed after crashes.
func TestExplainDelayedTask(t *testing.T) {
	s := newExplainedScheduler("a")
	explainNew(t, s, "", step(1))
	s.jobs[jobID(4711)].activeOccurrences[0].steps[0][0].retryAt = s.now + 3000
	x, _ := s.ExplainJob(s.now, 70, jobID(4711))
	quicktest.Assert(t, x.Steps[0].Executor, quicktest.Equals, "")
	quicktest.Assert(t, x.Steps[0].Start, quicktest.Equals, fulmarapi.ExpectedStart{Basis: fulmarapi.StartAfterRetry, Millis: 3000})
}

// TestExplainCancelledJob shows the state of an ended job without expectations.
func TestExplainCancelledJob(t *testing.T) {
	s := newExplainedScheduler("a")
	explainNew(t, s, "", step(2))
	s.Cancel(s.now, 70, jobID(4711))
	x, _ := s.ExplainJob(s.now, 70, jobID(4711))
	quicktest.Assert(t, x.Steps, quicktest.HasLen, 0)
	quicktest.Assert(t, x.EndMillis, quicktest.Equals, int64(unknownTime))
	quicktest.Assert(t, *x.Progress, quicktest.Equals, fulmarapi.JobProgress{State: "running", Done: 2})
}
