package fulmarowner

import (
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
	"github.com/fulmardrum/fulmardrum/internal/fulmarledger"
	"github.com/fulmardrum/fulmardrum/internal/fulmarsched"
)

// event is an input of the scheduler.
type event interface {
	// apply is called by the goroutine that runs the scheduler.
	apply(t *term, now fulmarclock.Millis)
}

type configurationChanged struct{ configuration *fulmarjob.Configuration }

func (e configurationChanged) apply(t *term, now fulmarclock.Millis) {
	t.scheduler.SetConfiguration(now, e.configuration)
}

// ownerReplaced means that another member has announced that it owns the scheduler.
type ownerReplaced struct{ owner fulmarledger.Owner }

func (e ownerReplaced) apply(t *term, _ fulmarclock.Millis) {
	t.fail(&fulmarledger.OwnershipLostError{Cause: e.owner.Member + " has announced its ownership"})
}

type waveAdded struct{ wave fulmarjob.Wave }

func (e waveAdded) apply(t *term, now fulmarclock.Millis) { t.scheduler.AddWave(now, e.wave) }

type executorUpdated struct{ executor fulmarjob.Executor }

func (e executorUpdated) apply(t *term, now fulmarclock.Millis) {
	t.scheduler.UpdateExecutor(now, e.executor)
}

type executorRemoved struct{ id string }

func (e executorRemoved) apply(t *term, now fulmarclock.Millis) {
	t.scheduler.RemoveExecutor(now, e.id)
}

// startCompleted is the result of a start command that was sent at time sent, in a number of attempts.
type startCompleted struct {
	command  fulmarsched.StartCommand
	sent     fulmarclock.Millis
	attempts int
	result   fulmarjob.CommandResult
}

func (e startCompleted) apply(t *term, now fulmarclock.Millis) {
	t.window.end(now, now-e.sent, e.result.IsAnswer())
	t.scheduler.HandleStartResult(now, e.command, e.attempts, e.result)
}

// startSettled means that the attempts of a start command that had no answer at its result have been answered
// since, or were never sent.
type startSettled struct {
	command fulmarsched.StartCommand
	result  fulmarjob.CommandResult
}

func (e startSettled) apply(t *term, now fulmarclock.Millis) {
	t.scheduler.HandleStartSettled(now, e.command, e.result)
}

type stopCompleted struct {
	command fulmarsched.StopCommand
	result  fulmarjob.CommandResult
}

func (e stopCompleted) apply(t *term, now fulmarclock.Millis) {
	t.scheduler.HandleStopResult(now, e.command.Target, e.command.Task, e.command.Run, e.result)
}

// renewalCompleted is the result of a lease renewal that was sent at time sent. command is as the
// attempt that got the result sent it.
type renewalCompleted struct {
	command fulmarsched.RenewCommand
	sent    fulmarclock.Millis
	result  fulmarjob.CommandResult
	report  fulmarjob.Report
}

func (e renewalCompleted) apply(t *term, now fulmarclock.Millis) {
	if e.result != fulmarjob.ResultDone {
		t.scheduler.HandleRenewalFailure(now, e.command, e.result)
		return
	}
	t.scheduler.HandleRenewal(now, e.sent, e.command, e.report)
}

// maintenanceCompleted is the result of a maintenance command. rejected means that a
// retry can't succeed.
type maintenanceCompleted struct {
	command  fulmarsched.MaintenanceCommand
	done     bool
	rejected bool
}

func (e maintenanceCompleted) apply(t *term, now fulmarclock.Millis) {
	t.scheduler.HandleMaintenanceResult(now, e.command.VM, e.command.Wave, e.done, e.rejected)
}

// moveCompleted is the result of a move command. rejected means that a retry can't succeed.
type moveCompleted struct {
	command  fulmarsched.MoveCommand
	done     bool
	rejected bool
}

func (e moveCompleted) apply(t *term, now fulmarclock.Millis) {
	t.scheduler.HandleMoveResult(now, e.command.VM, e.command.Pool, e.done, e.rejected)
}

// vmsListed is the platform's list of VMs, which was requested at sent.
type vmsListed struct {
	sent fulmarclock.Millis
	vms  []fulmarjob.VM
}

func (e vmsListed) apply(t *term, now fulmarclock.Millis) {
	t.scheduler.UpdateVMs(now, e.sent, e.vms)
}

// adviceCompleted is the result of a request to the placement advisor; ok is false if it failed.
type adviceCompleted struct {
	command  fulmarsched.AdviseCommand
	sent     fulmarclock.Millis
	tickets  map[string]string
	validity fulmarclock.Millis
	ok       bool
}

func (e adviceCompleted) apply(t *term, now fulmarclock.Millis) {
	t.scheduler.HandleAdvice(now, e.sent, e.command, e.tickets, e.validity, e.ok)
}

// requestReceived is a request to the owner. responses is buffered for the one response.
type requestReceived struct {
	request    Request
	receivedAt fulmarclock.Millis
	responses  chan Response
}

// isOverdue reports whether a submission has waited so long for the scheduler that the owner
// is overloaded. It is then refused instead of decided on, which takes less time, so that the
// queue becomes short again. A job that is already accepted stays so.
func (e requestReceived) isOverdue(t *term, now fulmarclock.Millis) bool {
	return e.request.Kind == Submit && now-e.receivedAt > maxQueueDelay && !t.scheduler.HasJob(e.request.Job)
}

func (e requestReceived) apply(t *term, now fulmarclock.Millis) {
	if e.isOverdue(t, now) {
		t.options.Metrics.Count("refusals", "overdue")
		e.responses <- shedResponse
		return
	}
	response, accepted := t.handle(now, e.request)
	if accepted {
		p := pendingResponse{response: response, responses: e.responses}
		if e.request.Kind == Submit {
			p.submittedJob = e.request.Job
		}
		t.pending = append(t.pending, p)
		return
	}
	e.responses <- response
}
