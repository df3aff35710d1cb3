package fulmarsched

import (
	"slices"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

const (
	// adviceWorkers bounds the executors that one question names.
	adviceWorkers = 30
	// adviceCalls bounds the questions under way, which the service answers in turn.
	adviceCalls = 2
	// adviceRetry is the wait after a question without an answer.
	adviceRetry = 300 * fulmarclock.Millis(1)
)

// stepKey names a step of an occurrence.
type stepKey struct {
	Job        string
	Occurrence int
	Step       int
}

// AdviseCommand asks the advice service which executors may run a step.
type AdviseCommand struct {
	Step      fulmarjob.TaskID
	Executors []string
}

func (AdviseCommand) isOrder() {}

// advice is what the advice service said about a step.
type advice struct {
	pending    bool
	nextAsk    fulmarclock.Millis
	validUntil fulmarclock.Millis
	// tickets holds the ticket of each executor that may run the step.
	tickets map[string]string
	// refused are the executors that may not; this does not change.
	refused map[string]bool
}

// allowed returns the executors of a pool that may run a step, and asks the advice
// service when its word is needed.
func (s *Scheduler) allowed(j *job, o *occurrence, step int, pool []*executor) []*executor {
	if !j.queue.NeedsAdvice {
		return pool
	}
	key := stepKey{j.id, o.number, step}
	a := s.advice[key]
	if a == nil {
		a = &advice{refused: map[string]bool{}}
		s.advice[key] = a
	}
	if s.now < a.validUntil {
		return slices.DeleteFunc(slices.Clone(pool), func(e *executor) bool { return a.tickets[e.info.ID] == "" })
	}
	s.askAdvice(key, a, pool)
	return nil
}

func (s *Scheduler) askAdvice(key stepKey, a *advice, pool []*executor) {
	if a.pending || s.now < a.nextAsk || s.advising >= adviceCalls {
		return
	}
	var ids []string
	for _, e := range pool {
		if !a.refused[e.info.ID] && len(ids) < adviceWorkers {
			ids = append(ids, e.info.ID)
		}
	}
	if len(ids) == 0 {
		return
	}
	a.pending = true
	s.advising++
	s.orders = append(s.orders, AdviseCommand{
		Step: fulmarjob.TaskID{Job: key.Job, Occurrence: key.Occurrence, Step: key.Step}, Executors: ids,
	})
}

// HandleAdvice takes in the tickets for a step; answered is false when the service said nothing.
func (s *Scheduler) HandleAdvice(now, sent fulmarclock.Millis, o AdviseCommand, tickets map[string]string, validity fulmarclock.Millis, answered bool) {
	s.now = now
	s.advising--
	a := s.advice[stepKey{o.Step.Job, o.Step.Occurrence, o.Step.Step}]
	if a == nil {
		return
	}
	a.pending = false
	if !answered {
		a.nextAsk = now + adviceRetry
		s.log.Count("advice_failures", "no-answer")
		return
	}
	for _, id := range o.Executors {
		if tickets[id] == "" {
			a.refused[id] = true
		}
	}
	a.tickets = tickets
	if len(tickets) > 0 {
		a.validUntil = sent + validity
	}
	s.log.Log("advice taken", "job", o.Step.Job, "step", o.Step.Step, "asked", len(o.Executors), "allowed", len(tickets), "valid_ms", validity)
}

// ticketOf returns the ticket of a placed task, empty where none is needed.
func (s *Scheduler) ticketOf(t *task) string {
	a := s.advice[stepKey{t.id.Job, t.id.Occurrence, t.id.Step}]
	if a == nil {
		return ""
	}
	return a.tickets[t.executor.info.ID]
}

// dropAdvice forgets a step's tickets, as one of them was rejected.
func (s *Scheduler) dropAdvice(t *task) {
	if a := s.advice[stepKey{t.id.Job, t.id.Occurrence, t.id.Step}]; a != nil {
		a.validUntil = 0
	}
}

// forgetAdvice forgets all that was said about a job.
func (s *Scheduler) forgetAdvice(j *job) {
	if !j.queue.NeedsAdvice {
		return
	}
	for key := range s.advice {
		if key.Job == j.id {
			delete(s.advice, key)
		}
	}
}
