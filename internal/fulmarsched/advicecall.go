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
	// adviceFraction limits a call to a fraction of the validity of its tickets, gangAdviceFraction one
	// for a gang.
	adviceFraction     = 0.5
	gangAdviceFraction = 0.75
)

// AdviseCommand requests placement advice: which of the executors may run a step.
type AdviseCommand struct {
	Step      fulmarjob.TaskID
	Executors []string
	// Duration is how long the advisor works on the call, as far as that is known.
	Duration fulmarclock.Millis
}

func (AdviseCommand) isCommand() {}

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
		ids, hasRoom := s.executorsToAsk(w)
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
func (s *Scheduler) executorsToAsk(w adviceWant) (ids []string, hasRoom bool) {
	i := slices.IndexFunc(w.tasks, func(t *task) bool { return t.state == taskWaiting })
	if i < 0 {
		return nil, false
	}
	q := newAdviceQuestion(w, w.tasks[i], s.now)
	for _, e := range w.candidates {
		q.add(e, s.now)
	}
	if q.hasTicket && !q.needsTicket {
		return nil, false
	}
	ids = q.selectExecutors(s.adviceShare.value())
	return ids, len(ids) > 0 && len(q.free) > 0
}

// adviceQuestion is what a call for a step may be about.
type adviceQuestion struct {
	want adviceWant
	// task is one of the step's tasks that wait.
	task *task
	// neededUntil is how long a ticket that is there must be valid.
	neededUntil fulmarclock.Millis
	// The call names at most limit executors, and at least least if there are as many.
	limit, least int
	// room is for how many tasks executors are needed.
	room float64
	// free and full are the executors without such a ticket.
	free, full []*executor
	// hasTicket means that an executor has a ticket, needsTicket that a free one has none.
	hasTicket, needsTicket bool
}

func newAdviceQuestion(w adviceWant, t *task, now fulmarclock.Millis) *adviceQuestion {
	q := &adviceQuestion{want: w, task: t, neededUntil: now, room: float64(countWaiting(w.tasks))}
	q.limit = min(maxAdviceExecutors, w.times.MaxExecutors(adviceFraction))
	if t.step.Gang {
		// Its members need their tickets at the end of the call.
		q.limit = min(maxGangAdviceExecutors, w.times.MaxExecutors(gangAdviceFraction))
		q.neededUntil += w.times.CallDuration(min(q.limit, len(w.candidates)))
	}
	q.least = min(q.limit, w.times.ExecutorsPerDecision())
	return q
}

// add adds an executor, unless it can't run the step.
func (q *adviceQuestion) add(e *executor, now fulmarclock.Millis) {
	a := q.want.advice
	if a.refused[e.info.ID] || !e.info.HasLabel(q.task.step.Label) {
		return
	}
	isValid, isFree := a.isValid(e, now), fits(e, q.task, q.want.tasks)
	q.hasTicket = q.hasTicket || isValid
	q.needsTicket = q.needsTicket || isFree && !isValid
	switch {
	case a.isValid(e, q.neededUntil) && isFree:
		q.room -= float64(e.roomOnceFree(q.task, q.want.tasks))
	case a.isValid(e, q.neededUntil):
	case isFree:
		q.free = append(q.free, e)
	default:
		q.full = append(q.full, e)
	}
}

// selectExecutors returns executors that will probably have the room that is needed: free ones first, and
// of these first the ones that may run the step for sure. allowed is the share of the others that may.
func (q *adviceQuestion) selectExecutors(allowed float64) []string {
	a := q.want.advice
	var ids []string
	for _, e := range append(a.knownFirst(q.free), a.knownFirst(q.full)...) {
		if len(ids) >= q.limit || q.room <= 0 && len(ids) >= q.least {
			break
		}
		ids = append(ids, e.info.ID)
		share := allowed
		if a.isKnown(e.info.ID) {
			share = 1
		}
		q.room -= share * math.Max(1, float64(e.roomOnceFree(q.task, q.want.tasks)))
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
