package fulmarowner

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarfollow"
	"github.com/fulmardrum/fulmardrum/internal/fulmarhedge"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
	"github.com/fulmardrum/fulmardrum/internal/fulmarledger"
	"github.com/fulmardrum/fulmardrum/internal/fulmarsched"
)

// reign is the time in which this member owns the scheduler.
type reign struct {
	options   Options
	candidate *Candidate
	claim     *fulmarledger.Claim
	journal   *fulmarledger.Journal
	scheduler *fulmarsched.Scheduler
	events    chan event
	ended     chan struct{}
	calls     sync.WaitGroup
	// usual is how long executors take to answer an order.
	usual *fulmarhedge.Usual

	// The fields below belong to the goroutine that holds the scheduler.
	appending  bool
	appendedAt fulmarclock.Millis
	tickedAt   fulmarclock.Millis
	waiting    []waiter
	failure    error
	stopping   bool
}

func newReign(c *Candidate, claim *fulmarledger.Claim) *reign {
	return &reign{
		options: c.options, candidate: c, claim: claim,
		events: make(chan event, ringEvents), ended: make(chan struct{}),
		usual: fulmarhedge.NewUsual(leastCopyWait, orderLimit/2, orderCopies),
	}
}

// run reigns until ctx ends or the claim is lost, and waits for all it began.
func (r *reign) run(ctx context.Context) {
	own, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	lost := make(chan error, 1)
	r.calls.Go(func() { lost <- r.claim.Keep(own, r.noteFailure) })
	began := r.options.Clock.Now()
	if err := r.open(own); err != nil {
		r.options.Logger.Error("the journal could not be opened", "error", err)
		r.release(cancel)
		return
	}
	r.options.Logger.Info("this member owns the scheduler", "token", r.claim.Token(), "opened_in_ms", r.options.Clock.Now()-began)
	r.options.Counters.Count("reigns", "begun")
	follower := r.followExecutors()
	r.calls.Go(func() { follower.Run(own) })
	r.calls.Go(func() { r.listVMs(own) })
	r.candidate.reign.Store(r)
	r.loop(ctx, own, lost)
	r.candidate.reign.Store(nil)
	close(r.ended)
	r.options.Logger.Info("this member no longer owns the scheduler", "token", r.claim.Token(), "cause", r.failure)
	r.release(cancel)
}

// release gives the claim back and ends all calls.
func (r *reign) release(cancel context.CancelFunc) {
	limited, done := context.WithTimeout(context.Background(), releaseLimit.Duration())
	defer done()
	if err := r.claim.Release(limited); err != nil {
		r.options.Logger.Warn("the claim was not released and ends with its lease", "error", err)
	}
	cancel()
	r.calls.Wait()
	r.refuseRest()
}

// refuseRest answers callers whose questions were never looked at.
func (r *reign) refuseRest() {
	for {
		select {
		case e := <-r.events:
			switch e := e.(type) {
			case asked:
				e.replies <- Reply{Outcome: NotOwner}
			case appended:
				tellUnknown(e.waiters)
			}
		default:
			return
		}
	}
}

func (r *reign) noteFailure(err error) {
	r.options.Logger.Warn("the ownership lease was not renewed", "error", err)
	r.options.Counters.Count("lease_failures", "store")
}

func (r *reign) open(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, openLimit.Duration())
	defer cancel()
	journal, records, err := fulmarledger.Open(limited, r.options.Store, r.options.Clock, r.claim, r.noteRetry)
	if err != nil {
		return err
	}
	r.journal = journal
	return r.restore(records)
}

func (r *reign) noteRetry(err error) {
	r.options.Logger.Warn("a call to the journal is sent again", "error", err)
	r.options.Counters.Count("journal_retries", reasonOf(err))
}

func reasonOf(err error) string {
	var unknown *fulmarjob.UnknownError
	if errors.As(err, &unknown) {
		return "no-answer"
	}
	return "not-done"
}

func (r *reign) restore(records []fulmarledger.Record) error {
	now := r.options.Clock.Now()
	r.scheduler = fulmarsched.New(now, r.options.Bounds, r.claim.Token(), decisions{r.options})
	configuration, waves := r.candidate.inputs()
	if err := r.scheduler.Restore(now, r.options.Clock.Unix(), records); err != nil {
		return err
	}
	if configuration != nil {
		r.scheduler.SetConfiguration(now, configuration)
	}
	for _, w := range waves {
		r.scheduler.AddWave(now, w)
	}
	return nil
}

func (r *reign) followExecutors() *fulmarfollow.Follower {
	entries := r.options.Entries
	prefix := entries.ExecutorPrefix()
	return fulmarfollow.New(fulmarfollow.Options{
		Store: r.options.Store, Clock: r.options.Clock, Prefix: prefix, Pause: executorPause,
		Changed: func(i fulmarledger.Item) {
			if i.Removed {
				r.send(executorLost{i.Key[len(prefix):]})
				return
			}
			executor, err := entries.Executor(i.Key, i.Value)
			if err != nil {
				r.options.Logger.Warn("an executor's entry is ignored", "key", i.Key, "revision", i.Revision, "error", err)
				r.send(executorLost{i.Key[len(prefix):]})
				return
			}
			r.send(executorSeen{executor})
		},
		Synced:   func() {},
		Failed:   func(err error) { r.options.Logger.Warn("the executors' entries can't be followed", "error", err) },
		Regained: func() { r.options.Logger.Info("the executors' entries are followed again") },
	})
}

// send hands an event to the scheduler and tells whether the reign still lasted.
func (r *reign) send(e event) bool {
	select {
	case r.events <- e:
		return true
	case <-r.ended:
		return false
	}
}

// ask waits for the scheduler's reply.
func (r *reign) ask(ctx context.Context, q Question) Reply {
	replies := make(chan Reply, 1)
	select {
	case r.events <- asked{question: q, replies: replies}:
	case <-r.ended:
		return Reply{Outcome: NotOwner}
	default:
		r.options.Counters.Count("refusals", "ring-full")
		return Reply{Outcome: Refused, Reason: "busy", RetryAfter: fulmarclock.Second}
	}
	select {
	case reply := <-replies:
		reply.Token = r.claim.Token()
		return reply
	case <-ctx.Done():
		return Reply{Outcome: Unknown, Reason: "deadline", Token: r.claim.Token()}
	}
}

// loop holds the scheduler: events in, batches to the journal, orders out.
func (r *reign) loop(ctx, own context.Context, lost <-chan error) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	stop := ctx.Done()
	for r.failure == nil {
		select {
		case e := <-r.events:
			e.apply(r, r.options.Clock.Now())
			r.drain()
		case <-timer.C:
		case err := <-lost:
			r.fail(err)
		case <-stop:
			r.stopping, stop = true, nil
		}
		r.cycle(own)
		if r.stopping && !r.appending && r.failure == nil {
			r.fail(&fulmarledger.LostError{Cause: "the member stops"})
		}
		timer.Reset(r.nextWake().Duration())
	}
	tellUnknown(r.waiting)
	r.waiting = nil
}

// tellUnknown answers callers whose questions may or may not be in the journal.
func tellUnknown(waiters []waiter) {
	for _, w := range waiters {
		w.replies <- Reply{Outcome: Unknown, Reason: "ownership-lost"}
	}
}

func (r *reign) fail(err error) {
	if err != nil && r.failure == nil {
		r.failure = err
	}
}

// drain applies the events that have arrived meanwhile.
func (r *reign) drain() {
	for range ringEvents {
		select {
		case e := <-r.events:
			e.apply(r, r.options.Clock.Now())
		default:
			return
		}
	}
}

func (r *reign) nextWake() fulmarclock.Millis {
	now := r.options.Clock.Now()
	wake := r.tickedAt + tick
	if !r.appending && len(r.waiting) > 0 {
		wake = min(wake, r.appendedAt+commitGap)
	}
	return max(wake-now, 1)
}

// cycle begins an append when one may begin, and sends the orders that are ready.
func (r *reign) cycle(ctx context.Context) {
	now := r.options.Clock.Now()
	if now >= r.tickedAt+tick {
		r.tickedAt = now
		r.scheduler.Tick(now, r.options.Clock.Unix())
		r.options.Relay.Expect(r.scheduler.ExecutorCount())
	}
	if !r.appending && now >= r.appendedAt+commitGap {
		r.beginAppend(ctx, now)
	}
	if _, stalled := r.stall(now); stalled {
		r.withdrawWaiting(now)
	}
	if r.mayOrder() {
		for _, o := range r.scheduler.TakeCommands() {
			r.carryOut(ctx, o)
		}
	}
}

// mayOrder tells whether orders may go out. In an outage of the store the claim
// can't be renewed, but nobody else can claim either.
func (r *reign) mayOrder() bool {
	return r.claim.IsValidWithin(fulmarclock.Millis(float64(r.options.Bounds.MaxLease) * graceAfterClaim))
}

func (r *reign) beginAppend(ctx context.Context, now fulmarclock.Millis) {
	batch := r.scheduler.Plan(now, r.options.Clock.Unix(), r.journal.Due())
	waiters := r.waiting
	r.waiting = nil
	if batch.IsEmpty() {
		for _, w := range waiters {
			w.replies <- w.reply
		}
		return
	}
	r.appending, r.appendedAt = true, now
	if len(batch.Records) == 0 {
		appended{batch: batch, waiters: waiters, began: now}.apply(r, now)
		return
	}
	r.calls.Go(func() {
		err := r.journal.Append(ctx, batch.Records)
		if !r.send(appended{batch: batch, waiters: waiters, began: now, err: err}) {
			tellUnknown(waiters)
		}
	})
}

// answer asks the scheduler; stored tells that the reply must wait for the journal.
func (r *reign) answer(now fulmarclock.Millis, q Question) (Reply, bool) {
	unix := r.options.Clock.Unix()
	switch q.Kind {
	case Submit:
		return r.submit(now, unix, q)
	case Cancel:
		reply, stored := replyOf(r.scheduler.Cancel(now, unix, q.Job))
		if reply.Outcome == UnknownJob {
			return r.unknownJob(), false
		}
		return reply, stored
	case State:
		state, known := r.scheduler.JobState(q.Job)
		if !known {
			return r.unknownJob(), false
		}
		return Reply{Outcome: Done, State: state}, false
	case Pending:
		return Reply{Outcome: Done, Pending: r.scheduler.PendingJobs(q.Queue)}, false
	}
	return Reply{Outcome: Refused, Reason: "kind"}, false
}

// unknownJob tells that there is no such job, if no other owner can know better.
func (r *reign) unknownJob() Reply {
	if !r.claim.IsValid() {
		return Reply{Outcome: NotOwner}
	}
	return Reply{Outcome: UnknownJob, Reason: "unknown job"}
}

func (r *reign) submit(now fulmarclock.Millis, unix int64, q Question) (Reply, bool) {
	configuration, _ := r.candidate.inputs()
	if configuration == nil || configuration.Version < q.Version {
		// The member asks again in a moment, when the owner knows the same configuration.
		return Reply{Outcome: NotOwner, Reason: "configuration-behind"}, false
	}
	queue, found := configuration.QueueNamed(q.Queue)
	if !found {
		return Reply{Outcome: Refused, Reason: "queue-removed", RetryAfter: fulmarclock.Second}, false
	}
	if wait, stalled := r.stall(now); stalled && !r.scheduler.HasJob(q.Job) {
		r.options.Logger.Info("job refused", "job", q.Job, "queue", q.Queue, "reason", reasonStalled, "stalled_ms", now-r.appendedAt)
		r.options.Counters.Count("refusals", reasonStalled)
		return Reply{Outcome: Refused, Reason: reasonStalled, RetryAfter: wait}, false
	}
	return replyOf(r.scheduler.Submit(now, unix, fulmarsched.Submission{
		ID: q.Job, Queue: queue, Specification: q.Specification,
	}))
}

func replyOf(d fulmarsched.Decision) (Reply, bool) {
	switch d.Outcome {
	case fulmarsched.OutcomeAccepted:
		return Reply{Outcome: Done, Reason: d.Reason}, true
	case fulmarsched.OutcomeUnknownJob:
		return Reply{Outcome: UnknownJob, Reason: d.Reason}, false
	}
	return Reply{Outcome: Refused, Reason: d.Reason, RetryAfter: d.RetryAfter}, false
}

// decisions is the scheduler's log and counters.
type decisions struct{ options Options }

// Log writes one line.
func (d decisions) Log(message string, fields ...any) { d.options.Logger.Info(message, fields...) }

// Count counts an event by reason.
func (d decisions) Count(name, reason string) { d.options.Counters.Count(name, reason) }
