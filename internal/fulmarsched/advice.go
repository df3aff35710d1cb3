package fulmarsched

import (
	"slices"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

const (
	// maxAdviceExecutors limits the executors in one request to the placement advisor.
	maxAdviceExecutors = 30
	// maxAdviceInFlight limits the concurrent requests, since the advisor handles them one after
	// the other.
	maxAdviceInFlight = 2
	// adviceRetryDelay is the delay after a request without a response.
	adviceRetryDelay = 300 * fulmarclock.Millis(1)
)

// stepKey identifies a step of an occurrence.
type stepKey struct {
	Job        string
	Occurrence int
	Step       int
}

// AdviseCommand requests placement advice: which of the executors may run a step.
type AdviseCommand struct {
	Step      fulmarjob.TaskID
	Executors []string
}

func (AdviseCommand) isCommand() {}

// advice is the placement advisor's response for a step.
type advice struct {
	inFlight   bool
	retryAt    fulmarclock.Millis
	validUntil fulmarclock.Millis
	// tickets holds the ticket of each executor that may run the step.
	tickets map[string]string
	// refused are the executors that may not run the step, which never changes.
	refused map[string]bool
}

// allowedExecutors returns the candidates that may run a step. For a queue that needs placement
// advice, it requests advice and returns nil while there is none that is valid.
func (s *Scheduler) allowedExecutors(j *job, o *occurrence, step int, candidates []*executor) []*executor {
	if !j.queue.NeedsPlacementAdvice {
		return candidates
	}
	key := stepKey{j.id, o.number, step}
	a := s.advice[key]
	if a == nil {
		a = &advice{refused: map[string]bool{}}
		s.advice[key] = a
	}
	if s.now < a.validUntil {
		return slices.DeleteFunc(slices.Clone(candidates), func(e *executor) bool { return a.tickets[e.info.ID] == "" })
	}
	s.requestAdvice(key, a, candidates)
	return nil
}

func (s *Scheduler) requestAdvice(key stepKey, a *advice, candidates []*executor) {
	if a.inFlight || s.now < a.retryAt || s.adviceInFlight >= maxAdviceInFlight {
		return
	}
	var ids []string
	for _, e := range candidates {
		if !a.refused[e.info.ID] && len(ids) < maxAdviceExecutors {
			ids = append(ids, e.info.ID)
		}
	}
	if len(ids) == 0 {
		return
	}
	a.inFlight = true
	s.adviceInFlight++
	s.commands = append(s.commands, AdviseCommand{
		Step: fulmarjob.TaskID{Job: key.Job, Occurrence: key.Occurrence, Step: key.Step}, Executors: ids,
	})
}

// HandleAdvice applies the placement advisor's tickets for a step, which are valid for the duration
// validity after sentAt; responded is false if there was no response.
func (s *Scheduler) HandleAdvice(now, sentAt fulmarclock.Millis, c AdviseCommand, tickets map[string]string, validity fulmarclock.Millis, responded bool) {
	s.now = now
	s.adviceInFlight--
	a := s.advice[stepKey{c.Step.Job, c.Step.Occurrence, c.Step.Step}]
	if a == nil {
		return
	}
	a.inFlight = false
	if !responded {
		a.retryAt = now + adviceRetryDelay
		s.log.Count("advice_failures", "no-answer")
		return
	}
	for _, id := range c.Executors {
		if tickets[id] == "" {
			a.refused[id] = true
		}
	}
	a.tickets = tickets
	if len(tickets) > 0 {
		a.validUntil = sentAt + validity
	}
	s.log.Log("placement advice received", "job", c.Step.Job, "step", c.Step.Step, "asked", len(c.Executors), "allowed", len(tickets), "valid_ms", validity)
}

// ticketOf returns the ticket of a placed task, empty if it needs none.
func (s *Scheduler) ticketOf(t *task) string {
	a := s.advice[stepKey{t.id.Job, t.id.Occurrence, t.id.Step}]
	if a == nil {
		return ""
	}
	return a.tickets[t.executor.info.ID]
}

// invalidateAdvice makes the scheduler request advice for a step again, after an executor rejected a
// ticket.
func (s *Scheduler) invalidateAdvice(t *task) {
	if a := s.advice[stepKey{t.id.Job, t.id.Occurrence, t.id.Step}]; a != nil {
		a.validUntil = 0
	}
}

// deleteAdvice deletes the placement advice for a job.
func (s *Scheduler) deleteAdvice(j *job) {
	if !j.queue.NeedsPlacementAdvice {
		return
	}
	for key := range s.advice {
		if key.Job == j.id {
			delete(s.advice, key)
		}
	}
}
