package fulmarsched

import (
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// sendStart emits the start of a placed task whose placement the journal holds.
func (s *Scheduler) sendStart(t *task) {
	e := t.executor
	if t.state != taskPlaced || !t.stored || t.stopping || !e.hasClock || e.silence.recorded {
		return
	}
	t.ordered = s.now
	t.sent++
	deadline := e.clockNow(s.now) + startValidity
	e.noteDeadline(s.now, deadline, s.bounds.MaxLease)
	s.orders = append(s.orders, StartCommand{Target: e.target(), Start: fulmarjob.Start{
		Task: t.id, Run: t.run, Payload: t.job.specification.Payload, Checkpoint: t.saved,
		Deadline: deadline, Token: s.token, Ticket: s.ticketOf(t),
	}})
}

// HandleStartResult takes in what an executor said to a start.
func (s *Scheduler) HandleStartResult(now fulmarclock.Millis, target Target, id fulmarjob.TaskID, run int64, answer fulmarjob.Answer) {
	s.now = now
	t := s.taskOf(id)
	if answer != fulmarjob.AnswerDone {
		s.log.Count("start_refusals", answer.String())
	}
	if t == nil || t.state != taskPlaced || t.run != run || t.executor.info.ID != target.ID || t.executor.info.Born != target.Born {
		return
	}
	e := t.executor
	if answer == fulmarjob.AnswerDone {
		s.takeStarted(e, t)
		return
	}
	s.log.Log("start not confirmed", "job", id.Job, "step", id.Step, "index", id.Index, "run", run, "executor", e.info.ID, "answer", answer, "sent", t.sent)
	s.takeRefusedStart(e, t, answer)
}

func (s *Scheduler) takeStarted(e *executor, t *task) {
	e.heard = s.now
	t.answered = s.now
	if !t.job.begun {
		t.job.begun = true
	}
	if !e.holding {
		s.scheduleHold(e, s.now+minHoldGap)
	}
}

func (s *Scheduler) takeRefusedStart(e *executor, t *task, answer fulmarjob.Answer) {
	switch answer {
	case fulmarjob.AnswerUnknown, fulmarjob.AnswerFenced:
		s.probe(e)
		return
	case fulmarjob.AnswerOld:
		// The run has ended there; the next report lists the end, or shows that it was forgotten.
		t.answered = s.now
		s.probe(e)
		return
	case fulmarjob.AnswerNoTicket:
		s.dropAdvice(t)
	case fulmarjob.AnswerNoRoom:
		e.avoidUntil = max(e.avoidUntil, s.now+fullPause)
	case fulmarjob.AnswerUnhealthy, fulmarjob.AnswerOtherLife, fulmarjob.AnswerInvalid:
		e.avoidUntil = max(e.avoidUntil, s.now+unhealthyPause)
	}
	s.probe(e)
	if t.sent > 1 {
		s.stop(t)
		return
	}
	s.vacate(t, "its start was refused: "+answer.String())
}

// probe asks an executor for its tasks soon.
func (s *Scheduler) probe(e *executor) {
	if !e.holding {
		s.scheduleHold(e, s.now+minHoldGap)
	}
}

// HandleStopResult takes in what an executor said to a stop.
func (s *Scheduler) HandleStopResult(now fulmarclock.Millis, target Target, id fulmarjob.TaskID, run int64, answer fulmarjob.Answer) {
	s.now = now
	t := s.taskOf(id)
	if t == nil || t.state != taskPlaced || t.run != run || t.executor.info.ID != target.ID || t.executor.info.Born != target.Born {
		return
	}
	if answer == fulmarjob.AnswerDone || answer == fulmarjob.AnswerOld {
		t.stopped = now
		s.scheduleHold(t.executor, now)
		return
	}
	s.log.Count("stop_failures", answer.String())
	s.probe(t.executor)
}
