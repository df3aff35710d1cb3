package fulmarsched

import (
	"fmt"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// validityStart is when the validity of a ticket begins. Nothing says which it is.
type validityStart string

const (
	fromResponse validityStart = "from the response"
	fromTurn     validityStart = "from the call's turn"
)

var validityStarts = []validityStart{fromResponse, fromTurn}

// fakeAdvisorTimeout is how long after its duration a call without a response times out.
const fakeAdvisorTimeout = 5000 * fulmarclock.Millis(1)

// fakeAdvisor is a placement advisor that handles calls in turn.
type fakeAdvisor struct {
	times fulmarjob.AdviceTimes
	start validityStart
	// busyUntil is when the last call so far has its response.
	busyUntil fulmarclock.Millis
	// calls are the calls so far, mostInFlight the most at a time.
	calls                  []AdviseCommand
	inFlight, mostInFlight int
	// tickets are the tickets so far.
	tickets map[string]issuedTicket
}

// issuedTicket is a ticket for one incarnation of an executor.
type issuedTicket struct {
	incarnation int64
	validUntil  fulmarclock.Millis
}

// withAdvisor makes the queue's jobs need the advice of an advisor that takes the given times.
func (s *simulation) withAdvisor(times fulmarjob.AdviceTimes, start validityStart) *fakeAdvisor {
	s.advisor = &fakeAdvisor{times: times, start: start, tickets: map[string]issuedTicket{}}
	s.configuration.Queues[0].NeedsPlacementAdvice, s.configuration.Queues[0].Advice = true, times
	return s.advisor
}

// advise returns when a call that arrives now has its response, and the tickets.
func (a *fakeAdvisor) advise(s *simulation, c AdviseCommand) (fulmarclock.Millis, map[string]string) {
	turn := max(s.now, a.busyUntil)
	a.busyUntil = turn + a.times.CallDuration(len(c.Executors))
	validFrom := turn
	if a.start == fromResponse {
		validFrom = a.busyUntil
	}
	a.calls = append(a.calls, c)
	tickets := s.ticketsFor(c, func(id string) string { return fmt.Sprintf("%v %d %s", c.Step, len(a.calls), id) })
	for id, ticket := range tickets {
		a.tickets[ticket] = issuedTicket{incarnation: s.executorOf(Target{ID: id}).info.Incarnation, validUntil: validFrom + a.times.Validity}
	}
	return a.busyUntil, tickets
}

// accepts reports whether an executor accepts the ticket of a start.
func (a *fakeAdvisor) accepts(e *fakeExecutor, start fulmarjob.StartRequest) bool {
	issued, found := a.tickets[start.Ticket]
	return found && issued.incarnation == e.info.Incarnation && e.sim.now <= issued.validUntil
}

// ticketsFor returns tickets for the executors of a call that may run the step.
func (s *simulation) ticketsFor(c AdviseCommand, ticket func(id string) string) map[string]string {
	tickets := map[string]string{}
	for _, id := range c.Executors {
		if s.adviceAllows(id) {
			tickets[id] = ticket(id)
		}
	}
	return tickets
}

// executeAdvise lets the advisor answer a call. A lost response times out.
func (s *simulation) executeAdvise(c AdviseCommand, lost bool, respond func(fulmarclock.Millis, func())) {
	sent := s.now
	if s.advisor == nil {
		tickets := s.ticketsFor(c, func(id string) string { return "ticket-" + id })
		respond(s.now+50, func() { s.scheduler.HandleAdvice(s.now, sent, c, tickets, 1000, true) })
		return
	}
	at, tickets := s.advisor.advise(s, c)
	s.advisor.inFlight++
	s.advisor.mostInFlight = max(s.advisor.mostInFlight, s.advisor.inFlight)
	timeout := sent + c.Duration + fakeAdvisorTimeout
	s.at(min(at, timeout), func() { s.advisor.inFlight-- })
	if lost || at > timeout {
		respond(timeout, func() { s.scheduler.HandleAdvice(s.now, sent, c, nil, 0, false) })
		return
	}
	respond(at, func() { s.scheduler.HandleAdvice(s.now, sent, c, tickets, s.advisor.times.Validity, true) })
}
