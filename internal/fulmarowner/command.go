package fulmarowner

import (
	"context"
	"errors"
	"sync/atomic"

	"github.com/fulmardrum/fulmardrum/internal/fulmarattempt"
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarhedge"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
	"github.com/fulmardrum/fulmardrum/internal/fulmarledger"
	"github.com/fulmardrum/fulmardrum/internal/fulmarsched"
)

// execute sends a command in its own goroutine, which reports the result as an event. decided is the time on the
// boot clock at which the command was decided, or before.
func (t *term) execute(ctx context.Context, c fulmarsched.Command, decided fulmarclock.Millis) {
	switch c := c.(type) {
	case fulmarsched.StartCommand:
		t.window.begin()
		t.calls.Go(func() { t.start(ctx, c, decided) })
	case fulmarsched.StopCommand:
		t.calls.Go(func() { t.stop(ctx, c, decided) })
	case fulmarsched.RenewCommand:
		t.calls.Go(func() { t.renewLease(ctx, c, decided) })
	case fulmarsched.ThrottleCommand:
		t.calls.Go(func() { t.throttle(ctx, c) })
	case fulmarsched.MaintenanceCommand:
		t.calls.Go(func() { t.maintain(ctx, c) })
	case fulmarsched.MoveCommand:
		t.calls.Go(func() { t.move(ctx, c) })
	case fulmarsched.AdviseCommand:
		t.calls.Go(func() { t.advise(ctx, c) })
	case fulmarsched.WaveReport:
		t.calls.Go(func() { t.reportWave(ctx, c) })
	}
}

// checkMayExecute returns an ExpiredAuthorityError if commands to executors may no longer be
// sent. Each attempt checks it: the process may have been paused since the command was released.
func (t *term) checkMayExecute(command string) error {
	if t.mayExecute() {
		return nil
	}
	return &fulmarjob.ExpiredAuthorityError{Call: command}
}

// start sends a start command and tracks how long the executor takes to respond. The attempts that have no
// response by then go on: a start can be executed until all of them are answered.
func (t *term) start(ctx context.Context, c fulmarsched.StartCommand, decided fulmarclock.Millis) {
	callCtx, cancel := context.WithTimeout(ctx, commandTimeout.Duration())
	defer cancel()
	started := t.options.Clock.Now()
	tally := newAttemptTally()
	result, wait, err := fulmarhedge.DoAll(callCtx, t.options.Clock, t.latency.Plan(), t.newAttempt("start", decided+commandValidity, tally, func(attemptCtx context.Context, executors Executors) (fulmarjob.CommandResult, error) {
		return executors.Start(attemptCtx, c.Target.Address, c.Target.ID, c.Start)
	}), hasResult)
	attempts, result := tally.close(result)
	t.recordResult("start", c.Target.ID, result, err)
	latency := t.options.Clock.Now() - started
	if result.IsAnswer() {
		t.latency.Observe(latency)
	}
	t.options.Metrics.Observe("start_order", latency)
	t.send(startCompleted{c, started, attempts, result})
	wait()
	if attempts > 1 && result.IsAnswer() && !tally.isAnyOpen() {
		t.send(startSettled{c, result})
	}
}

// stop sends a stop command.
func (t *term) stop(ctx context.Context, c fulmarsched.StopCommand, decided fulmarclock.Millis) {
	callCtx, cancel := context.WithTimeout(ctx, commandTimeout.Duration())
	defer cancel()
	result, err := fulmarhedge.Do(callCtx, t.options.Clock, t.latency.Plan(), t.newAttempt("stop", decided+commandValidity, newAttemptTally(), func(attemptCtx context.Context, executors Executors) (fulmarjob.CommandResult, error) {
		return executors.Stop(attemptCtx, c.Target.Address, c.Target.ID, c.Task, c.Run, c.Token)
	}), hasResult)
	t.recordResult("stop", c.Target.ID, result, err)
	t.send(stopCompleted{c, result})
}

// attempt sends a command once, through the given path.
type attempt func(ctx context.Context, executors Executors) (fulmarjob.CommandResult, error)

// newAttempt returns a function that sends a command once, unless the boot clock has passed sendBy, and counts that
// in a tally.
func (t *term) newAttempt(command string, sendBy fulmarclock.Millis, tally *attemptTally, send attempt) func(context.Context) (fulmarjob.CommandResult, error) {
	return func(ctx context.Context) (fulmarjob.CommandResult, error) {
		attempt := t.newTimedAttempt(command, sendBy)
		attemptCtx, cancel := context.WithCancel(fulmarattempt.NewContext(ctx, attempt))
		defer cancel()
		if err := t.checkMayBegin(command, sendBy); err != nil {
			return fulmarjob.ResultUnreachable, err
		}
		n, ok := tally.begin(attempt, cancel)
		if !ok {
			return fulmarjob.ResultUnreachable, &fulmarattempt.GivenUpError{}
		}
		result, err := send(attemptCtx, t.executorsFor(n))
		tally.end(attempt, result)
		return result, err
	}
}

// newTimedAttempt returns an attempt that must be written before the boot clock has passed sendBy.
func (t *term) newTimedAttempt(command string, sendBy fulmarclock.Millis) *fulmarattempt.Attempt {
	within := max(sendBy-t.options.BootClock.Now(), 1)
	return fulmarattempt.New(within.Duration(), func() error { return t.checkMayBegin(command, sendBy) })
}

// checkMayBegin returns an error if a command to an executor must not be written any more. The process may have been
// paused since the command was decided.
func (t *term) checkMayBegin(command string, sendBy fulmarclock.Millis) error {
	if t.options.BootClock.Now() > sendBy {
		return &fulmarattempt.LateError{}
	}
	return t.checkMayExecute(command)
}

// renewLease renews an executor's lease. Hedged attempts request a response at once, as the first one
// may wait at the executor for the end of a run, and acknowledge nothing, as an acknowledgement is
// valid only for a short time.
func (t *term) renewLease(ctx context.Context, c fulmarsched.RenewCommand, decided fulmarclock.Millis) {
	callCtx, cancel := context.WithTimeout(ctx, (c.Wait + renewalGrace).Duration())
	defer cancel()
	started := t.options.Clock.Now()
	var attempts atomic.Int32
	plan := fulmarhedge.Plan{Delay: c.Wait + t.latency.Plan().Delay, MaxAttempts: maxRenewalAttempts}
	response, err := fulmarhedge.Do(callCtx, t.options.Clock, plan, func(attemptCtx context.Context) (renewalResponse, error) {
		if err := t.checkMayExecute("hold"); err != nil {
			return renewalResponse{command: c, result: fulmarjob.ResultUnknown}, err
		}
		n := int(attempts.Add(1))
		if n == 1 && c.Acknowledged > 0 {
			return t.acknowledge(attemptCtx, c, decided+acknowledgementSendTimeout)
		}
		sent := c
		if n > 1 {
			sent = withoutAcknowledgement(c)
		}
		attempt := t.newTimedAttempt("hold", t.options.BootClock.Now()+renewalGrace)
		return t.sendRenewal(fulmarattempt.NewContext(attemptCtx, attempt), n, sent)
	}, func(r renewalResponse, err error) bool { return hasResult(r.result, err) })
	t.recordResult("hold", c.Target.ID, response.result, err)
	if response.result == fulmarjob.ResultUnreachable {
		// A renewal repeats others, so the scheduler doesn't distinguish one that was not sent.
		response.result = fulmarjob.ResultUnknown
	}
	t.send(renewalCompleted{command: response.command, sent: started, result: response.result, report: response.report})
}

// acknowledge sends a renewal that acknowledges ends. If it waits too long before it is written, it is given up and
// sent directly, and at last without the acknowledgement.
func (t *term) acknowledge(ctx context.Context, c fulmarsched.RenewCommand, sendBy fulmarclock.Millis) (renewalResponse, error) {
	for n := range maxRenewalAttempts {
		response, attempt, err := t.sendAcknowledgement(ctx, n+1, c, sendBy+fulmarclock.Millis(n)*acknowledgementSendTimeout)
		isUnsent := response.result == fulmarjob.ResultUnreachable || attempt.GiveUp()
		mayBeSent := !isUnsent && attempt.HasBegun()
		if response.result.IsAnswer() || mayBeSent || ctx.Err() != nil || t.checkMayExecute("hold") != nil {
			return response, err
		}
		if !isUnsent {
			break
		}
	}
	return t.renewWithoutAcknowledgement(ctx, c)
}

// sendAcknowledgement sends the n-th attempt of a renewal that acknowledges ends, unless it can't be written in time.
func (t *term) sendAcknowledgement(ctx context.Context, n int, c fulmarsched.RenewCommand, sendBy fulmarclock.Millis) (renewalResponse, *fulmarattempt.Attempt, error) {
	attempt := t.newTimedAttempt("hold", sendBy)
	if err := t.checkMayBegin("hold", sendBy); err != nil {
		return renewalResponse{command: c, result: fulmarjob.ResultUnreachable}, attempt, err
	}
	attemptCtx, cancel := context.WithCancel(fulmarattempt.NewContext(ctx, attempt))
	defer cancel()
	timer := t.options.Clock.AfterFunc(acknowledgementSendTimeout, func() {
		if attempt.GiveUp() || !attempt.HasBegun() {
			cancel()
		}
	})
	defer timer.Stop()
	response, err := t.sendRenewal(attemptCtx, n, c)
	return response, attempt, err
}

func (t *term) renewWithoutAcknowledgement(ctx context.Context, c fulmarsched.RenewCommand) (renewalResponse, error) {
	t.options.Metrics.Count("late_acknowledgements", "given-up")
	attempt := t.newTimedAttempt("hold", t.options.BootClock.Now()+renewalGrace)
	return t.sendRenewal(fulmarattempt.NewContext(ctx, attempt), 1, withoutAcknowledgement(c))
}

// withoutAcknowledgement returns a renewal that acknowledges nothing and requests a response at once.
func withoutAcknowledgement(c fulmarsched.RenewCommand) fulmarsched.RenewCommand {
	c.Wait, c.Acknowledged = 0, 0
	return c
}

// sendRenewal sends the n-th attempt of a renewal.
func (t *term) sendRenewal(ctx context.Context, n int, c fulmarsched.RenewCommand) (renewalResponse, error) {
	result, report, err := t.executorsFor(n).RenewLease(ctx, c.Target.Address, c.Target.ID, c.Token, c.Acknowledged, c.Deadline, c.Wait)
	return renewalResponse{c, result, report}, err
}

// executorsFor returns the path of the n-th attempt of a command: the first goes through
// other members, further ones go directly, because a member may be unreachable.
func (t *term) executorsFor(n int) Executors {
	if n == 1 {
		return t.options.Relay
	}
	return t.options.Executors
}

// renewalResponse is an executor's response to a lease renewal, and the command as it was sent.
type renewalResponse struct {
	command fulmarsched.RenewCommand
	result  fulmarjob.CommandResult
	report  fulmarjob.Report
}

// hasResult reports whether the executor has responded to a command.
func hasResult(result fulmarjob.CommandResult, _ error) bool {
	return result.IsAnswer()
}

// throttle limits a best-effort task to a percentage of full speed.
func (t *term) throttle(ctx context.Context, c fulmarsched.ThrottleCommand) {
	callCtx, cancel := context.WithTimeout(ctx, commandTimeout.Duration())
	defer cancel()
	if err := t.checkMayExecute("pace"); err != nil {
		t.recordResult("pace", c.Target.ID, fulmarjob.ResultUnknown, err)
		return
	}
	result, err := t.options.Relay.Throttle(callCtx, c.Target.Address, c.Target.ID, c.Task, c.Run, c.Token, c.Percent)
	t.recordResult("pace", c.Target.ID, result, err)
}

// recordResult counts the result of a command and logs a failed one.
func (t *term) recordResult(command, executor string, result fulmarjob.CommandResult, err error) {
	t.options.Metrics.Count("orders", command+"-"+result.String())
	if err != nil {
		t.options.Logger.Warn("command to executor failed or got no response", "order", command, "executor", executor, "error", err)
	}
}

// authority returns this term's authority for commands about VMs.
func (t *term) authority(token int64) fulmarjob.Authority {
	return fulmarjob.Authority{Holder: t.options.Self.Member, Token: token, IsValid: t.ownership.IsValid}
}

// isFinalRejection reports whether a retry of a command about a VM can't succeed. A rejection
// because the VM is busy or the fencing token is too old is not final.
func isFinalRejection(err error) bool {
	var rejection *fulmarjob.RejectedError
	return errors.As(err, &rejection) && rejection.Reason != "busy" && rejection.Reason != "fence"
}

// maintain takes a VM down for maintenance, unless the ownership may have expired.
func (t *term) maintain(ctx context.Context, c fulmarsched.MaintenanceCommand) {
	callCtx, cancel := context.WithTimeout(ctx, fleetTimeout.Duration())
	defer cancel()
	err := t.options.Fleet.Maintain(callCtx, c.VM, c.Wave, t.authority(c.Token))
	if err != nil {
		t.options.Logger.Warn("VM maintenance not confirmed by the platform", "vm", c.VM, "wave", c.Wave, "error", err)
		t.options.Metrics.Count("upkeep_failures", failureReason(err))
	}
	t.send(maintenanceCompleted{command: c, done: err == nil, rejected: isFinalRejection(err)})
}

// advise requests placement advice for a step.
func (t *term) advise(ctx context.Context, c fulmarsched.AdviseCommand) {
	callCtx, cancel := context.WithTimeout(ctx, (min(c.Duration, maxAdviceDuration) + adviceTimeout).Duration())
	defer cancel()
	sent := t.options.Clock.Now()
	tickets, validity, err := t.options.PlacementAdvisor.Advise(callCtx, c.Step, c.Executors)
	if err != nil {
		t.options.Logger.Warn("request to the placement advisor failed", "job", c.Step.Job, "step", c.Step.Step, "error", err)
	}
	t.send(adviceCompleted{command: c, sent: sent, tickets: tickets, validity: validity, ok: err == nil})
}

// move moves a VM to another pool, unless the ownership may have expired.
func (t *term) move(ctx context.Context, c fulmarsched.MoveCommand) {
	callCtx, cancel := context.WithTimeout(ctx, fleetTimeout.Duration())
	defer cancel()
	err := t.options.Fleet.MoveVM(callCtx, c.VM, c.Pool, t.authority(c.Token))
	if err != nil {
		t.options.Logger.Warn("VM move not confirmed by the platform", "vm", c.VM, "pool", c.Pool, "error", err)
		t.options.Metrics.Count("move_failures", failureReason(err))
	}
	t.send(moveCompleted{command: c, done: err == nil, rejected: isFinalRejection(err)})
}

// listVMs lists the platform's VMs periodically until ctx is done.
func (t *term) listVMs(ctx context.Context) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, fleetTimeout.Duration())
		sent := t.options.Clock.Now()
		vms, err := t.options.Fleet.VMs(callCtx)
		cancel()
		if err != nil {
			t.options.Logger.Warn("listing VMs failed; retrying at the next interval", "error", err)
			t.options.Metrics.Count("list_failures", failureReason(err))
		} else {
			t.send(vmsListed{sent, vms})
		}
		select {
		case <-ctx.Done():
		case <-t.options.Clock.After(listInterval):
		}
	}
}

// reportWave stores the state of a wave for operators. It retries until the store holds
// the state or this member is no longer the owner.
func (t *term) reportWave(ctx context.Context, c fulmarsched.WaveReport) {
	key, value := t.options.WaveStates.EncodeWaveState(c.Wave, c.Completed)
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, reportTimeout.Duration())
		_, err := t.options.Store.Commit(callCtx, fulmarledger.Transaction{
			Conditions: []fulmarledger.Condition{{Key: fulmarledger.OwnerKey, Revision: t.ownership.Token()}},
			Puts:       []fulmarledger.Put{{Key: key, Value: value}},
		})
		cancel()
		var conflict *fulmarledger.ConflictError
		if err == nil || errors.As(err, &conflict) {
			return
		}
		t.options.Logger.Warn("storing the state of a wave failed; retrying", "wave", c.Wave, "error", err)
		select {
		case <-ctx.Done():
		case <-t.options.Clock.After(reportRetryDelay):
		}
	}
}
