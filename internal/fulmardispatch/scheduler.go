// Package fulmardispatch sends requests to workers. It grants slots to waiting
// requests, chooses a worker for each, pools the connections, detects failing
// workers and limits retries.
//
// Usage:
//
//	scheduler := fulmardispatch.NewScheduler("timetables", options)
//	go scheduler.Run()
//	ticket := fulmardispatch.NewTicket(team, urgency, idempotent, deadline)
//	if refusal := scheduler.Submit(ticket); refusal != nil { ... }
//	grant := <-ticket.Grants()
//	response, attemptErr := transport.Send(ctx, grant, request, onTimeout)
//	scheduler.Finish(ticket, fulmardispatch.ResultSucceeded)
//
// Each pool has one scheduler. Its goroutine owns the queue and the state of the
// workers, receives all input as events through a bounded ring, and does no I/O.
package fulmardispatch

import (
	"math/rand/v2"
	"sync/atomic"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarqueue"
	"github.com/fulmardrum/fulmardrum/internal/fulmarring"
	"github.com/fulmardrum/fulmardrum/pkg/fulmarapi"
)

const (
	// wakeInterval is how often a scheduler with waiting requests checks for workers whose backoff has ended.
	wakeInterval = 2 * fulmarclock.Millis(1)
	// contentionPeriod is how long a pool counts as contended after a worker has refused a request as busy.
	contentionPeriod = fulmarclock.Second
	// retryAfterSeconds is the Retry-After value of refusals due to load.
	retryAfterSeconds = 1
)

// Scheduler grants the slots of one pool's workers to waiting requests.
type Scheduler struct {
	pool    string
	clock   fulmarclock.Clock
	policy  Policy
	sharing string
	random  *rand.Rand
	ring    *fulmarring.Ring[event]
	done    chan struct{}
	retries *RetryBudget

	// The fields from here to candidateWorkers are used only by Run's goroutine.
	queue       *fulmarqueue.Queue[*Ticket]
	settings    Settings
	workers     []*worker
	byVM        map[string]*worker
	peerDemands []Demand
	members     int
	running     int
	latency     Latency
	// stopRefusal is the refusal of all requests while the pool is closed or retired, else nil.
	stopRefusal *fulmarapi.Refusal
	// contendedUntil is the time until which slots that this member has freed are used first.
	contendedUntil fulmarclock.Millis
	wakePending    bool
	// pendingReports receive the report at the end of this round.
	pendingReports []chan fulmarapi.PoolReport
	wake           chan struct{}

	// candidates and candidateWorkers are reused by listFreeWorkers; their indexes match.
	candidates       []Candidate
	candidateWorkers []*worker

	// publishedRunning and publishedWaiting are read by Load from other goroutines.
	publishedRunning atomic.Int64
	publishedWaiting atomic.Int64
}

// event is a message to a scheduler's goroutine, which applies it.
type event interface {
	apply(s *Scheduler)
}

// NewScheduler returns a scheduler without workers. The caller must call Run.
func NewScheduler(pool string, options Options) *Scheduler {
	s := &Scheduler{
		pool: pool, clock: options.Clock, policy: options.Policy, sharing: options.Sharing,
		random: rand.New(rand.NewPCG(options.Seed, uint64(len(pool)))),
		ring:   fulmarring.New[event](options.RingCapacity), done: make(chan struct{}),
		retries: NewRetryBudget(options.Settings.RetryShare),
		queue:   fulmarqueue.New[*Ticket](options.Settings.Bounds),
		byVM:    map[string]*worker{}, wake: make(chan struct{}, 1),
	}
	s.applySettings(options.Settings)
	return s
}

// Run applies events and grants slots until Close.
func (s *Scheduler) Run() {
	defer close(s.done)
	for {
		select {
		case e := <-s.ring.Events():
			e.apply(s)
			s.applyQueuedEvents()
		case <-s.wake:
			s.wakePending = false
		case <-s.ring.Closed():
			s.applyQueuedEvents()
			s.sendReports()
			return
		}
		s.grantSlots()
		s.sendReports()
	}
}

// applyQueuedEvents applies the events that are already in the ring, at most as
// many as its capacity, so that constant new events cannot delay the granting of slots.
func (s *Scheduler) applyQueuedEvents() {
	for range cap(s.ring.Events()) {
		select {
		case e := <-s.ring.Events():
			e.apply(s)
		default:
			return
		}
	}
}

// Close refuses the waiting requests with the given refusal, stops Run and waits for it to return.
func (s *Scheduler) Close(refusal *fulmarapi.Refusal) {
	s.ring.Put(stopEvent{refusal})
	s.ring.Close()
	<-s.done
}

// Submit sends a ticket to the scheduler. It returns a refusal if the event ring
// is full; any other refusal arrives as the ticket's grant.
func (s *Scheduler) Submit(t *Ticket) *fulmarapi.Refusal {
	if s.ring.Offer(submitEvent{t}) {
		return nil
	}
	return fulmarapi.NewRefusal(fulmarapi.ReasonRingFull, "the pool's event queue is full").WithRetryAfter(retryAfterSeconds)
}

// Cancel withdraws a ticket that is waiting or whose grant was not used, and frees its slot.
func (s *Scheduler) Cancel(t *Ticket) { s.ring.Put(cancelEvent{t}) }

// Finish frees a ticket's slot and records the result of its attempt.
func (s *Scheduler) Finish(t *Ticket, result Result) {
	t.result = result
	s.ring.Put(finishEvent{t})
}

// Requeue frees a ticket's slot, records the result of its attempt, and returns
// the ticket to the head of its team's list. The next attempt avoids the worker,
// unless the worker refused the request as busy or for a stale assignment.
func (s *Scheduler) Requeue(t *Ticket, result Result) {
	t.result = result
	s.ring.Put(requeueEvent{t})
}

// SetView replaces the workers and keeps the state of those whose target is unchanged.
func (s *Scheduler) SetView(v PoolView) { s.ring.Put(viewEvent{&v}) }

// SetSettings replaces the settings.
func (s *Scheduler) SetSettings(settings Settings) { s.ring.Put(settingsEvent{&settings}) }

// SetPeerDemands replaces the demands of the other members.
func (s *Scheduler) SetPeerDemands(demands []Demand) { s.ring.Put(peerDemandsEvent{&demands}) }

// Retries returns the pool's retry budget.
func (s *Scheduler) Retries() *RetryBudget { return s.retries }

// Load returns the numbers of running and waiting requests on this member.
func (s *Scheduler) Load() (running, waiting int) {
	return int(s.publishedRunning.Load()), int(s.publishedWaiting.Load())
}

// Report returns the state of the pool on this member, and false if the
// scheduler is closed. The report reflects all events sent before.
func (s *Scheduler) Report() (fulmarapi.PoolReport, bool) {
	response := make(chan fulmarapi.PoolReport, 1)
	if !s.ring.Put(reportEvent{response}) {
		return fulmarapi.PoolReport{}, false
	}
	select {
	case report := <-response:
		return report, true
	case <-s.done:
		return fulmarapi.PoolReport{}, false
	}
}

func (s *Scheduler) applySettings(settings Settings) {
	s.settings = settings
	s.retries.SetShare(settings.RetryShare)
	s.queue.SetBounds(settings.Bounds)
	s.queue.SetQuotas(settings.Teams)
}

// release frees the slot of a ticket and records the result of its attempt.
func (s *Scheduler) release(t *Ticket) {
	now := s.clock.Now()
	if t.result == ResultSucceeded || t.result == ResultFailed {
		s.latency.Record(now - t.grantedAt)
	}
	if t.result == ResultBusy {
		s.contendedUntil = now + contentionPeriod
	}
	t.worker.recordResult(t, now, s.random.IntN)
	t.worker = nil
	s.running--
	s.ejectOutliers()
}

// publishLoad makes the numbers of requests available to Load.
func (s *Scheduler) publishLoad() {
	s.publishedRunning.Store(int64(s.running))
	s.publishedWaiting.Store(int64(s.queue.Len()))
}

// scheduleWake starts another round after wakeInterval if requests are waiting.
func (s *Scheduler) scheduleWake() {
	if s.queue.Len() == 0 || s.wakePending {
		return
	}
	s.wakePending = true
	s.clock.AfterFunc(wakeInterval, func() {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	})
}
