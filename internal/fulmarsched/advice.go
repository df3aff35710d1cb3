package fulmarsched

import (
	"slices"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

const (
	// adviceRetryDelay is the delay after a call without a response.
	adviceRetryDelay = 300 * fulmarclock.Millis(1)
	// minTicketUse is how long a ticket is used at least after the call for it. If its validity began
	// with the call it may have ended before; the executors tell.
	minTicketUse = 500 * fulmarclock.Millis(1)
)

// stepKey identifies a step of an occurrence.
type stepKey struct {
	Job        string
	Occurrence int
	Step       int
}

// ticket is the proof that an executor may run a step. The executor may run it later, too, but then
// needs another ticket.
type ticket struct {
	value      string
	validUntil fulmarclock.Millis
}

// advice is what the placement advisor has said of a step.
type advice struct {
	inFlight bool
	// wantedSince is since when the step waits for its next call; zero if it does not.
	wantedSince fulmarclock.Millis
	retryAt     fulmarclock.Millis
	// tickets holds the last ticket of each executor that may run the step.
	tickets map[string]ticket
	// refused are the executors that may not run the step, which never changes.
	refused map[string]bool
}

func newAdvice() *advice {
	return &advice{tickets: map[string]ticket{}, refused: map[string]bool{}}
}

// isValid reports whether an executor has a ticket that is valid.
func (a *advice) isValid(e *executor, now fulmarclock.Millis) bool {
	return now < a.tickets[e.info.ID].validUntil
}

// isKnown reports whether an executor may run the step for sure.
func (a *advice) isKnown(executor string) bool { return a.tickets[executor].value != "" }

// expire ends the validity of an executor's ticket.
func (a *advice) expire(executor string) {
	if last, found := a.tickets[executor]; found {
		a.tickets[executor] = ticket{value: last.value}
	}
}

// adviceOf returns what is known of a step, nothing at first.
func (s *Scheduler) adviceOf(key stepKey) *advice {
	a := s.advice[key]
	if a == nil {
		a = newAdvice()
		s.advice[key] = a
	}
	return a
}

// allowedExecutors returns the candidates that may run a step. For a queue that needs placement
// advice, these are the ones with a valid ticket.
func (s *Scheduler) allowedExecutors(j *job, o *occurrence, step int, candidates []*executor) []*executor {
	if !j.queue.NeedsPlacementAdvice {
		return candidates
	}
	a := s.adviceOf(stepKey{j.id, o.number, step})
	return slices.DeleteFunc(slices.Clone(candidates), func(e *executor) bool { return !a.isValid(e, s.now) })
}

// HandleAdvice applies the placement advisor's tickets for a step, which are valid for the duration
// validity; responded is false if there was no response. The validity counts from the call at sentAt,
// as nothing says when it begins.
func (s *Scheduler) HandleAdvice(now, sentAt fulmarclock.Millis, c AdviseCommand, tickets map[string]string, validity fulmarclock.Millis, responded bool) {
	s.now = now
	s.adviceInFlight = false
	a := s.advice[stepKey{c.Step.Job, c.Step.Occurrence, c.Step.Step}]
	if a == nil {
		return
	}
	a.inFlight, a.wantedSince = false, 0
	if !responded {
		a.retryAt = now + adviceRetryDelay
		s.log.Count("advice_failures", "no-answer")
		return
	}
	validUntil := max(sentAt+validity, now+min(validity, minTicketUse))
	for _, id := range c.Executors {
		s.applyTicket(a, id, ticket{value: tickets[id], validUntil: validUntil})
	}
	s.log.Log("placement advice received", "job", c.Step.Job, "step", c.Step.Step, "asked", len(c.Executors), "allowed", len(tickets), "valid_ms", validity, "took_ms", now-sentAt)
}

// applyTicket applies the response for one executor; a ticket without a value is a refusal.
func (s *Scheduler) applyTicket(a *advice, executor string, t ticket) {
	isAllowed := t.value != ""
	if !a.isKnown(executor) {
		s.adviceShare.count(isAllowed)
	}
	if isAllowed {
		a.tickets[executor] = t
		return
	}
	a.refused[executor] = true
	delete(a.tickets, executor)
}

// ticketOf returns the ticket of a placed task, empty if it needs none.
func (s *Scheduler) ticketOf(t *task) string {
	a := s.advice[stepKey{t.id.Job, t.id.Occurrence, t.id.Step}]
	if a == nil {
		return ""
	}
	return a.tickets[t.executor.info.ID].value
}

// rejectTicket handles that an executor has rejected a ticket for a task.
func (s *Scheduler) rejectTicket(t *task, rejected string) {
	a := s.advice[stepKey{t.id.Job, t.id.Occurrence, t.id.Step}]
	if a != nil && a.tickets[t.executor.info.ID].value == rejected {
		a.expire(t.executor.info.ID)
	}
}

// expireTickets ends the validity of the tickets for an executor, which hold for one incarnation.
func (s *Scheduler) expireTickets(executor string) {
	for _, a := range s.advice {
		a.expire(executor)
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
