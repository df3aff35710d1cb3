package fulmarsched

import (
	"cmp"
	"math"
	"slices"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// The placement advisor handles the calls of a member in turn, and each takes longer the more executors
// it names. So there is one call at a time, for the step that has waited longest, about no more
// executors than its tasks need, and short enough that its tickets are still valid when it ends.

const (
	// maxAdviceExecutors limits the executors in one call to the placement advisor,
	// maxGangAdviceExecutors those in one for a gang, which needs all its tickets at a time.
	maxAdviceExecutors     = 30
	maxGangAdviceExecutors = 100
	// adviceRetryDelay is the delay after a call without a response.
	adviceRetryDelay = 300 * fulmarclock.Millis(1)
	// adviceFraction limits a call to a fraction of the validity of its tickets, gangAdviceFraction one
	// for a gang.
	adviceFraction     = 0.5
	gangAdviceFraction = 0.75
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

// AdviseCommand requests placement advice: which of the executors may run a step.
type AdviseCommand struct {
	Step      fulmarjob.TaskID
	Executors []string
	// Duration is how long the advisor works on the call, as far as that is known.
	Duration fulmarclock.Millis
}

func (AdviseCommand) isCommand() {}

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

// adviceWant is a step that waits for a call to the placement advisor.
type adviceWant struct {
	key    stepKey
	tasks  []*task
	times  fulmarjob.AdviceTimes
	advice *advice
	// candidates are the schedulable executors of its service.
	candidates []*executor
}

// wantAdvice notes that a step with tasks that could not be placed waits for advice, if its queue needs
// that.
func (s *Scheduler) wantAdvice(j *job, o *occurrence, step int, candidates []*executor) {
	if !j.queue.NeedsPlacementAdvice || o.waiting[step] == 0 {
		return
	}
	key := stepKey{j.id, o.number, step}
	a := s.adviceOf(key)
	if a.inFlight || s.now < a.retryAt {
		return
	}
	if a.wantedSince == 0 {
		a.wantedSince = s.now
	}
	s.adviceWants = append(s.adviceWants, adviceWant{key: key, tasks: o.steps[step], times: j.queue.Advice, advice: a, candidates: candidates})
}

// requestAdvice sends the next call to the placement advisor: for the step that has waited longest, of
// those that could start a task now if there are any.
func (s *Scheduler) requestAdvice() {
	wants := s.adviceWants
	s.adviceWants = nil
	if s.adviceInFlight {
		return
	}
	slices.SortStableFunc(wants, func(a, b adviceWant) int { return cmp.Compare(a.advice.wantedSince, b.advice.wantedSince) })
	var next adviceWant
	var executors []string
	for _, w := range wants {
		ids, hasRoom := s.executorsToAsk(w.times, w.tasks, w.advice, w.candidates)
		switch {
		case hasRoom:
			s.sendAdvise(w, ids)
			return
		case len(ids) == 0:
			w.advice.wantedSince = 0
		case executors == nil:
			next, executors = w, ids
		}
	}
	if executors != nil {
		s.sendAdvise(next, executors)
	}
}

func (s *Scheduler) sendAdvise(w adviceWant, executors []string) {
	w.advice.inFlight, s.adviceInFlight = true, true
	s.commands = append(s.commands, AdviseCommand{
		Step:      fulmarjob.TaskID{Job: w.key.Job, Occurrence: w.key.Occurrence, Step: w.key.Step},
		Executors: executors, Duration: w.times.CallDuration(len(executors)),
	})
}

// executorsToAsk returns the executors that the next call for a step is about, and whether any of them
// has room for a task now. There are none while the executors with tickets are merely full.
func (s *Scheduler) executorsToAsk(times fulmarjob.AdviceTimes, tasks []*task, a *advice, candidates []*executor) ([]string, bool) {
	q := adviceQuestion{limit: min(maxAdviceExecutors, times.MaxExecutors(adviceFraction)), neededUntil: s.now}
	t := tasks[slices.IndexFunc(tasks, func(t *task) bool { return t.state == taskWaiting })]
	if t.step.Gang {
		// Its members need their tickets at the end of the call.
		q.limit = min(maxGangAdviceExecutors, times.MaxExecutors(gangAdviceFraction))
		q.neededUntil += times.CallDuration(min(q.limit, len(candidates)))
	}
	q.least = min(q.limit, times.ExecutorsPerDecision())
	q.room = float64(countWaiting(tasks))
	hasTicket, needsTicket := false, false
	for _, e := range candidates {
		if a.refused[e.info.ID] || !e.info.HasLabel(t.step.Label) {
			continue
		}
		isValid, isFree := a.isValid(e, s.now), fits(e, t, tasks)
		hasTicket = hasTicket || isValid
		needsTicket = needsTicket || isFree && !isValid
		switch {
		case a.isValid(e, q.neededUntil) && isFree:
			q.room -= float64(e.roomOnceFree(t, tasks))
		case a.isValid(e, q.neededUntil):
		case isFree:
			q.free = append(q.free, e)
		default:
			q.full = append(q.full, e)
		}
	}
	if hasTicket && !needsTicket {
		return nil, false
	}
	return s.selectExecutors(q, tasks, a), len(q.free) > 0
}

// adviceQuestion is what a call for a step may be about.
type adviceQuestion struct {
	// free and full are the executors without a ticket that is valid at neededUntil.
	free, full  []*executor
	neededUntil fulmarclock.Millis
	// room is for how many tasks executors are needed.
	room float64
	// The call names at most limit executors, and at least least if there are as many.
	limit, least int
}

// selectExecutors returns executors that will probably have the room that is needed: free ones first,
// then those that may run the step for sure.
func (s *Scheduler) selectExecutors(q adviceQuestion, tasks []*task, a *advice) []string {
	var ids []string
	for _, e := range append(a.knownFirst(q.free), a.knownFirst(q.full)...) {
		if len(ids) >= q.limit || q.room <= 0 && len(ids) >= q.least {
			break
		}
		ids = append(ids, e.info.ID)
		share := 1.0
		if !a.isKnown(e.info.ID) {
			share = s.adviceShare.value()
		}
		q.room -= share * math.Max(1, float64(e.roomOnceFree(tasks[0], tasks)))
	}
	return ids
}

// knownFirst returns the executors in their order, but those that may run the step for sure first.
func (a *advice) knownFirst(executors []*executor) []*executor {
	var known, unknown []*executor
	for _, e := range executors {
		if a.isKnown(e.info.ID) {
			known = append(known, e)
			continue
		}
		unknown = append(unknown, e)
	}
	return append(known, unknown...)
}

// allowedShare is the share of executors that the placement advisor allows.
type allowedShare struct{ asked, allowed int }

func (a *allowedShare) count(isAllowed bool) {
	a.asked++
	if isAllowed {
		a.allowed++
	}
}

// value returns the share, a half while nothing is known.
func (a allowedShare) value() float64 { return float64(a.allowed+1) / float64(a.asked+2) }

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
