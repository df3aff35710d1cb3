package fulmarowner

import (
	"context"
	"errors"
	"sync/atomic"

	"github.com/fulmardrum/fulmardrum/internal/fulmarhedge"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
	"github.com/fulmardrum/fulmardrum/internal/fulmarledger"
	"github.com/fulmardrum/fulmardrum/internal/fulmarsched"
)

// carryOut sends an order in a goroutine of its own and reports the answer.
func (r *reign) carryOut(ctx context.Context, o fulmarsched.Command) {
	switch o := o.(type) {
	case fulmarsched.StartCommand:
		r.calls.Go(func() { r.start(ctx, o) })
	case fulmarsched.StopCommand:
		r.calls.Go(func() { r.stop(ctx, o) })
	case fulmarsched.RenewCommand:
		r.calls.Go(func() { r.hold(ctx, o) })
	case fulmarsched.ThrottleCommand:
		r.calls.Go(func() { r.pace(ctx, o) })
	case fulmarsched.MaintenanceCommand:
		r.calls.Go(func() { r.maintain(ctx, o) })
	case fulmarsched.MoveCommand:
		r.calls.Go(func() { r.move(ctx, o) })
	case fulmarsched.AdviseCommand:
		r.calls.Go(func() { r.advise(ctx, o) })
	case fulmarsched.WaveReport:
		r.calls.Go(func() { r.reportWave(ctx, o) })
	}
}

func (r *reign) start(ctx context.Context, o fulmarsched.StartCommand) {
	limited, cancel := context.WithTimeout(ctx, orderLimit.Duration())
	defer cancel()
	began := r.options.Clock.Now()
	var copies atomic.Int32
	answer, err := fulmarhedge.Do(limited, r.options.Clock, r.usual.Plan(), func(own context.Context) (fulmarjob.Answer, error) {
		return r.pathOf(copies.Add(1)).Start(own, o.Target.Address, o.Target.ID, o.Start)
	}, isAnswered)
	r.noteOrder("start", o.Target.ID, answer, err)
	took := r.options.Clock.Now() - began
	if isAnswered(answer, err) {
		r.usual.Note(took)
	}
	r.options.Counters.Observe("start_order", took)
	r.send(startAnswered{o, answer})
}

func (r *reign) stop(ctx context.Context, o fulmarsched.StopCommand) {
	limited, cancel := context.WithTimeout(ctx, orderLimit.Duration())
	defer cancel()
	var copies atomic.Int32
	answer, err := fulmarhedge.Do(limited, r.options.Clock, r.usual.Plan(), func(own context.Context) (fulmarjob.Answer, error) {
		return r.pathOf(copies.Add(1)).Stop(own, o.Target.Address, o.Target.ID, o.Task, o.Run, o.Token)
	}, isAnswered)
	r.noteOrder("stop", o.Target.ID, answer, err)
	r.send(stopAnswered{o, answer})
}

func (r *reign) hold(ctx context.Context, o fulmarsched.RenewCommand) {
	limited, cancel := context.WithTimeout(ctx, (o.Wait + holdSlack).Duration())
	defer cancel()
	sent := r.options.Clock.Now()
	var copies atomic.Int32
	plan := fulmarhedge.Plan{After: o.Wait + r.usual.Plan().After, Most: holdHedges}
	result, err := fulmarhedge.Do(limited, r.options.Clock, plan, func(own context.Context) (held, error) {
		wait := o.Wait
		n := copies.Add(1)
		if n > 1 {
			wait = 0
		}
		answer, report, err := r.pathOf(n).Hold(own, o.Target.Address, o.Target.ID, o.Token, o.Acknowledged, o.Deadline, wait)
		return held{answer, report}, err
	}, func(h held, err error) bool { return isAnswered(h.answer, err) })
	r.noteOrder("hold", o.Target.ID, result.answer, err)
	r.send(holdAnswered{order: o, sent: sent, answer: result.answer, report: result.report})
}

// pathOf returns how the n-th copy of an order reaches its executor: the first one
// through other members, further ones directly, as a member may be out of reach.
func (r *reign) pathOf(n int32) Executors {
	if n == 1 {
		return r.options.Relay
	}
	return r.options.Executors
}

// held is an executor's answer to a renewal.
type held struct {
	answer fulmarjob.Answer
	report fulmarjob.Report
}

// isAnswered tells whether an executor has answered an order.
func isAnswered(answer fulmarjob.Answer, _ error) bool { return answer != fulmarjob.AnswerUnknown }

func (r *reign) pace(ctx context.Context, o fulmarsched.ThrottleCommand) {
	limited, cancel := context.WithTimeout(ctx, orderLimit.Duration())
	defer cancel()
	answer, err := r.options.Relay.Pace(limited, o.Target.Address, o.Target.ID, o.Task, o.Run, o.Token, o.Percent)
	r.noteOrder("pace", o.Target.ID, answer, err)
}

func (r *reign) noteOrder(order, executor string, answer fulmarjob.Answer, err error) {
	r.options.Counters.Count("orders", order+"-"+answer.String())
	if err != nil {
		r.options.Logger.Warn("an order was not answered", "order", order, "executor", executor, "error", err)
	}
}

func (r *reign) maintain(ctx context.Context, o fulmarsched.MaintenanceCommand) {
	if !r.claim.IsValid() {
		r.options.Logger.Warn("an upkeep was not ordered as the claim may have ended", "vm", o.VM, "wave", o.Wave)
		return
	}
	limited, cancel := context.WithTimeout(ctx, fleetLimit.Duration())
	defer cancel()
	err := r.options.Fleet.Maintain(limited, o.VM, o.Wave, r.options.Self.Member, o.Token)
	if err != nil {
		r.options.Logger.Warn("an upkeep was not confirmed", "vm", o.VM, "wave", o.Wave, "error", err)
		r.options.Counters.Count("upkeep_failures", reasonOf(err))
	}
	var rejected *fulmarjob.RejectedError
	impossible := errors.As(err, &rejected) && rejected.Reason != "busy" && rejected.Reason != "fence"
	r.send(upkeepAnswered{order: o, done: err == nil, impossible: impossible})
}

func (r *reign) advise(ctx context.Context, o fulmarsched.AdviseCommand) {
	limited, cancel := context.WithTimeout(ctx, adviceLimit.Duration())
	defer cancel()
	sent := r.options.Clock.Now()
	tickets, validity, err := r.options.Advice.Advise(limited, o.Step, o.Executors)
	if err != nil {
		r.options.Logger.Warn("advice was not given", "job", o.Step.Job, "step", o.Step.Step, "error", err)
	}
	r.send(adviceAnswered{order: o, sent: sent, tickets: tickets, validity: validity, answered: err == nil})
}

func (r *reign) move(ctx context.Context, o fulmarsched.MoveCommand) {
	if !r.claim.IsValid() {
		r.options.Logger.Warn("a move was not ordered as the claim may have ended", "vm", o.VM, "pool", o.Pool)
		return
	}
	limited, cancel := context.WithTimeout(ctx, fleetLimit.Duration())
	defer cancel()
	err := r.options.Fleet.Move(limited, o.VM, o.Pool, r.options.Self.Member, o.Token)
	if err != nil {
		r.options.Logger.Warn("a move was not confirmed", "vm", o.VM, "pool", o.Pool, "error", err)
		r.options.Counters.Count("move_failures", reasonOf(err))
	}
	var rejected *fulmarjob.RejectedError
	impossible := errors.As(err, &rejected) && rejected.Reason != "busy" && rejected.Reason != "fence"
	r.send(moveAnswered{order: o, done: err == nil, impossible: impossible})
}

// listVMs asks for the platform's VMs now and then.
func (r *reign) listVMs(ctx context.Context) {
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, fleetLimit.Duration())
		vms, err := r.options.Fleet.VMs(limited)
		cancel()
		if err != nil {
			r.options.Logger.Warn("the VMs could not be listed", "error", err)
			r.options.Counters.Count("list_failures", reasonOf(err))
		} else {
			r.send(vmsSeen{vms})
		}
		select {
		case <-ctx.Done():
		case <-r.options.Clock.After(listEvery):
		}
	}
}

// reportWave writes until the store holds the report.
func (r *reign) reportWave(ctx context.Context, o fulmarsched.WaveReport) {
	key, value := r.options.Reports.WaveState(o.Wave, o.Completed)
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, reportLimit.Duration())
		_, err := r.options.Store.Commit(limited, fulmarledger.Transaction{
			Conditions: []fulmarledger.Condition{{Key: fulmarledger.OwnerKey, Revision: r.claim.Token()}},
			Puts:       []fulmarledger.Put{{Key: key, Value: value}},
		})
		cancel()
		var conflict *fulmarledger.ConflictError
		if err == nil || errors.As(err, &conflict) {
			return
		}
		r.options.Logger.Warn("the report on a wave is written again", "wave", o.Wave, "error", err)
		<-r.options.Clock.After(reportRetry)
	}
}
