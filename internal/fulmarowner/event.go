package fulmarowner

import (
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
	"github.com/fulmardrum/fulmardrum/internal/fulmarsched"
)

// event is something that the scheduler is told.
type event interface {
	apply(r *reign, now fulmarclock.Millis)
}

type configured struct{ configuration *fulmarjob.Configuration }

func (e configured) apply(r *reign, now fulmarclock.Millis) {
	r.scheduler.SetConfiguration(now, e.configuration)
}

type waveSeen struct{ wave fulmarjob.Wave }

func (e waveSeen) apply(r *reign, now fulmarclock.Millis) { r.scheduler.AddWave(now, e.wave) }

type executorSeen struct{ executor fulmarjob.Executor }

func (e executorSeen) apply(r *reign, now fulmarclock.Millis) {
	r.scheduler.UpdateExecutor(now, e.executor)
}

type executorLost struct{ id string }

func (e executorLost) apply(r *reign, now fulmarclock.Millis) { r.scheduler.RemoveExecutor(now, e.id) }

type startAnswered struct {
	order  fulmarsched.StartCommand
	answer fulmarjob.Answer
}

func (e startAnswered) apply(r *reign, now fulmarclock.Millis) {
	r.scheduler.HandleStartResult(now, e.order.Target, e.order.Start.Task, e.order.Start.Run, e.answer)
}

type stopAnswered struct {
	order  fulmarsched.StopCommand
	answer fulmarjob.Answer
}

func (e stopAnswered) apply(r *reign, now fulmarclock.Millis) {
	r.scheduler.HandleStopResult(now, e.order.Target, e.order.Task, e.order.Run, e.answer)
}

type holdAnswered struct {
	order  fulmarsched.RenewCommand
	sent   fulmarclock.Millis
	answer fulmarjob.Answer
	report fulmarjob.Report
}

func (e holdAnswered) apply(r *reign, now fulmarclock.Millis) {
	if e.answer != fulmarjob.AnswerDone {
		r.scheduler.HandleRenewalFailure(now, e.order.Target, e.answer)
		return
	}
	r.scheduler.HandleRenewal(now, e.sent, e.order.Target, e.report)
}

type upkeepAnswered struct {
	order      fulmarsched.MaintenanceCommand
	done       bool
	impossible bool
}

func (e upkeepAnswered) apply(r *reign, now fulmarclock.Millis) {
	r.scheduler.HandleMaintenanceResult(now, e.order.VM, e.order.Wave, e.done, e.impossible)
}

type moveAnswered struct {
	order      fulmarsched.MoveCommand
	done       bool
	impossible bool
}

func (e moveAnswered) apply(r *reign, now fulmarclock.Millis) {
	r.scheduler.HandleMoveResult(now, e.order.VM, e.order.Pool, e.done, e.impossible)
}

type vmsSeen struct{ vms []fulmarjob.VM }

func (e vmsSeen) apply(r *reign, now fulmarclock.Millis) { r.scheduler.UpdateVMs(now, e.vms) }

type adviceAnswered struct {
	order    fulmarsched.AdviseCommand
	sent     fulmarclock.Millis
	tickets  map[string]string
	validity fulmarclock.Millis
	answered bool
}

func (e adviceAnswered) apply(r *reign, now fulmarclock.Millis) {
	r.scheduler.HandleAdvice(now, e.sent, e.order, e.tickets, e.validity, e.answered)
}

// waiter is a caller who may be told once the journal holds what he asked for.
type waiter struct {
	reply   Reply
	replies chan Reply
	// submitted is the ID of the job that was handed in, empty for other questions.
	submitted string
}

type asked struct {
	question Question
	replies  chan Reply
}

func (e asked) apply(r *reign, now fulmarclock.Millis) {
	reply, stored := r.answer(now, e.question)
	if stored {
		w := waiter{reply: reply, replies: e.replies}
		if e.question.Kind == Submit {
			w.submitted = e.question.Job
		}
		r.waiting = append(r.waiting, w)
		return
	}
	e.replies <- reply
}

// appended is the end of an append to the journal.
type appended struct {
	batch   *fulmarsched.Batch
	waiters []waiter
	began   fulmarclock.Millis
	err     error
}

func (e appended) apply(r *reign, now fulmarclock.Millis) {
	r.appending = false
	if e.err != nil {
		r.fail(e.err)
		tellUnknown(e.waiters)
		return
	}
	r.options.Counters.Observe("append", now-e.began)
	r.scheduler.Committed(now, e.batch)
	for _, w := range e.waiters {
		w.replies <- w.reply
	}
}
