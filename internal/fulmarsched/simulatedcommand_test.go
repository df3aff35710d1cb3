package fulmarsched

import (
	"fmt"
	"slices"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// fakeMoveTimeout is how long a move command without a result takes to time out.
const fakeMoveTimeout = 1500 * fulmarclock.Millis(1)

// executorOf returns the executor with the ID of a target; one that does not respond if there is
// none, or if it has another address.
func (s *simulation) executorOf(t Target) *fakeExecutor {
	for _, e := range s.executors {
		if e.info.ID == t.ID && (t.Address == "" || e.info.Address == t.Address) {
			return e
		}
	}
	return &fakeExecutor{sim: s}
}

// execute executes a command at once, or later if it is a start whose result is lost. The result
// reaches the scheduler in a later step.
func (s *simulation) execute(c Command) {
	s.commandCount++
	n, owner := s.commandCount, s.generation
	lost := s.losesResult(n) || s.losesNextResult(c)
	respond := func(at fulmarclock.Millis, do func()) {
		s.events = append(s.events, event{at: at, run: func() {
			if owner == s.generation {
				do()
			}
		}})
	}
	switch c := c.(type) {
	case StartCommand:
		s.checkSentStart(c)
		s.executeStart(c, n, lost, respond)
	case StopCommand:
		e := s.executorOf(c.Target)
		if lost {
			s.executeLate(n, e, func() { e.stop(c.Task, c.Run, c.Token) })
		}
		if !e.alive || e.unresponsive || lost {
			respond(s.now+800, func() { s.scheduler.HandleStopResult(s.now, c.Target, c.Task, c.Run, fulmarjob.ResultUnknown) })
			return
		}
		result := e.stop(c.Task, c.Run, c.Token)
		respond(s.now+simulationStep, func() { s.scheduler.HandleStopResult(s.now, c.Target, c.Task, c.Run, result) })
	case RenewCommand:
		s.executeRenewal(c, n, lost, respond)
	case MaintenanceCommand:
		if !slices.Contains(s.maintainedVMs, c.VM) {
			s.maintainedVMs = append(s.maintainedVMs, c.VM)
			s.shutDownVM(c.VM, testParameters.MaintenanceDuration, testService)
		}
		respond(s.now+simulationStep, func() { s.scheduler.HandleMaintenanceResult(s.now, c.VM, c.Wave, true, false) })
	case MoveCommand:
		s.moves = append(s.moves, c)
		if s.moveDelay > 0 {
			s.movesInFlight++
			s.events = append(s.events, event{at: s.now + s.moveDelay, run: func() { s.shutDownVM(c.VM, testParameters.MoveDuration, c.Pool) }})
			respond(s.now+fakeMoveTimeout, func() {
				s.movesInFlight--
				s.scheduler.HandleMoveResult(s.now, c.VM, c.Pool, false, false)
			})
			return
		}
		s.shutDownVM(c.VM, testParameters.MoveDuration, c.Pool)
		respond(s.now+simulationStep, func() { s.scheduler.HandleMoveResult(s.now, c.VM, c.Pool, true, false) })
	case AdviseCommand:
		s.executeAdvise(c, lost, respond)
	case WaveReport:
		s.waveReports = append(s.waveReports, c)
	}
}

// loseNextResult loses the result of the next command that matches.
func (s *simulation) loseNextResult(matches func(c Command) bool) { s.losesNext = matches }

func (s *simulation) losesNextResult(c Command) bool {
	if s.losesNext == nil || !s.losesNext(c) {
		return false
	}
	s.losesNext = nil
	s.lostCommands++
	return true
}

func (s *simulation) executeStart(c StartCommand, n int, lost bool, respond func(fulmarclock.Millis, func())) {
	s.quotas.checkSent(c)
	e := s.executorOf(c.Target)
	if !e.alive && s.refusesConnections {
		respond(s.now+simulationStep, func() { s.scheduler.HandleStartResult(s.now, c, 1, fulmarjob.ResultUnreachable) })
		return
	}
	if !e.alive && s.holdsCalls {
		s.holdStart(e, c, respond)
		return
	}
	if !e.alive || e.unresponsive {
		respond(s.now+800, func() {
			s.scheduler.HandleStartResult(s.now, c, 1, fulmarjob.ResultUnknown)
		})
		return
	}
	start := func() fulmarjob.CommandResult {
		if !e.alive || s.refusesOtherIncarnation && e.info.Incarnation != c.Target.Incarnation {
			return fulmarjob.ResultOtherIncarnation
		}
		return e.start(c.Start)
	}
	if s.repeatsNext != nil && s.repeatsNext(c) {
		s.repeatsNext = nil
		s.executeLate(n, e, func() { start() })
		result := start()
		respond(s.now+simulationStep, func() { s.scheduler.HandleStartResult(s.now, c, 2, result) })
		return
	}
	if lost {
		s.executeLate(n, e, func() { start() })
		if s.refusesHedged {
			respond(s.now+simulationStep, func() { s.scheduler.HandleStartResult(s.now, c, 2, fulmarjob.ResultUnhealthy) })
			return
		}
		respond(s.now+800, func() {
			s.scheduler.HandleStartResult(s.now, c, 1, fulmarjob.ResultUnknown)
		})
		return
	}
	result := start()
	respond(s.now+simulationStep, func() { s.scheduler.HandleStartResult(s.now, c, 1, result) })
}

// holdStart has the next incarnation of an executor execute a start. The result arrives if that is in time.
func (s *simulation) holdStart(e *fakeExecutor, c StartCommand, respond func(fulmarclock.Millis, func())) {
	result := fulmarjob.ResultUnknown
	var answeredAt fulmarclock.Millis
	e.held = append(e.held, func() { result, answeredAt = e.start(c.Start), s.now })
	deadline := s.now + 800
	var poll func()
	poll = func() {
		switch {
		case answeredAt > 0 && !e.unresponsive:
			s.scheduler.HandleStartResult(s.now, c, 1, result)
		case s.now >= deadline:
			s.scheduler.HandleStartResult(s.now, c, 1, fulmarjob.ResultUnknown)
		default:
			respond(s.now+simulationStep, poll)
		}
	}
	respond(s.now+simulationStep, poll)
}

// executeLate executes a command whose result is lost after commandDelay.
func (s *simulation) executeLate(n int, e *fakeExecutor, do func()) {
	incarnation := e.info.Incarnation
	s.events = append(s.events, event{at: s.now + s.commandDelay(n), run: func() {
		if e.alive && (s.lateCommandsSurvive || e.info.Incarnation == incarnation) {
			do()
		}
	}})
}

func (s *simulation) executeRenewal(c RenewCommand, n int, lost bool, respond func(fulmarclock.Millis, func())) {
	e, sent := s.executorOf(c.Target), s.now
	if lost {
		s.executeLate(n, e, func() { e.renewLease(c) })
	}
	if !e.alive && s.holdsCalls {
		e.held = append(e.held, func() { e.renewLease(c) })
	}
	if !e.alive || e.unresponsive || lost {
		respond(s.now+c.Wait+800, func() { s.scheduler.HandleRenewalFailure(s.now, c, fulmarjob.ResultUnknown) })
		return
	}
	result, report := e.renewLease(c)
	if result != fulmarjob.ResultDone {
		respond(s.now+simulationStep, func() { s.scheduler.HandleRenewalFailure(s.now, c, result) })
		return
	}
	if s.longPolls && c.Wait > 0 {
		s.awaitFinished(e, c, sent, respond)
		return
	}
	respond(s.now+simulationStep, func() { s.scheduler.HandleRenewal(s.now, sent, c, report) })
}

// awaitFinished responds to a renewal when a run has finished or after the requested wait.
func (s *simulation) awaitFinished(e *fakeExecutor, c RenewCommand, sent fulmarclock.Millis, respond func(fulmarclock.Millis, func())) {
	finished, incarnation := e.finishedCount, e.info.Incarnation
	var poll func()
	poll = func() {
		if s.now < sent+c.Wait && e.finishedCount == finished && e.alive {
			respond(s.now+simulationStep, poll)
			return
		}
		if !e.alive || e.unresponsive || e.info.Incarnation != incarnation {
			s.scheduler.HandleRenewalFailure(s.now, c, fulmarjob.ResultUnknown)
			return
		}
		s.scheduler.HandleRenewal(s.now, sent, c, e.report())
	}
	respond(s.now+simulationStep, poll)
}

// shutDownVM crashes the executors of a VM. After the downtime its executor returns under another
// ID, unless the VM moved to another pool.
func (s *simulation) shutDownVM(vm string, downtime fulmarclock.Millis, pool string) {
	for _, e := range s.executors {
		if e.info.VM != vm || !e.alive {
			continue
		}
		for _, r := range e.running {
			if s.stepOf(r.task).LongRunning {
				s.t.Errorf("%v at %d ms: ended by a command for VM %s", r.task, s.now, vm)
			}
		}
		e.crash()
	}
	id := fmt.Sprintf("%s-%d", vm, s.now)
	s.events = append(s.events, event{at: s.now + downtime, run: func() {
		if pool == testService {
			s.returnVM(id, vm)
		}
	}})
}
