// Package fulmardispatch sends requests to workers: it gives slots to waiting
// requests, chooses the worker, keeps the connections and bounds the retries.
//
// Usage:
//
//	scheduler := fulmardispatch.NewScheduler("timetables", options)
//	go scheduler.Run()
//	ticket := fulmardispatch.NewTicket(team, urgency, idempotent, deadline)
//	if refusal := scheduler.Submit(ticket); refusal != nil { ... }
//	grant := <-ticket.Grants()
//	answer, failure := transport.Send(ctx, grant, request)
//	scheduler.Finish(ticket, fulmardispatch.ResultAnswered)
//
// Each pool has one scheduler, and each scheduler one goroutine that owns its
// queue and its view of the workers. Everything reaches it as an event through
// a bounded ring; it does no input or output.
package fulmardispatch

import (
	"math/rand/v2"
	"sync/atomic"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarqueue"
	"github.com/fulmardrum/fulmardrum/internal/fulmarring"
	"github.com/fulmardrum/fulmardrum/internal/fulmarsettings"
	"github.com/fulmardrum/fulmardrum/pkg/fulmarapi"
)

const (
	// wakeInterval is how often a scheduler with waiting requests looks for workers whose backoff has ended.
	wakeInterval = 2 * fulmarclock.Millis(1)
	// contentionPeriod is how long a busy worker makes its pool count as contended.
	contentionPeriod = fulmarclock.Second
	// retryAfterSeconds is the advice sent with a full queue.
	retryAfterSeconds = 1
)

// Settings are the parts of the configuration that a scheduler follows.
type Settings struct {
	Bounds         fulmarqueue.Bounds
	Teams          map[string]fulmarqueue.TeamBounds
	AvailableShare float64
	RetryShare     float64
	// Retired refuses all requests; the pool stays until its VMs have moved.
	Retired bool
}

// View is the pool as the fleet's view shows it.
type View struct {
	Workers []Assigned
	// Connections bounds this member's connections to each worker.
	Connections int
	// Members is the number of live members.
	Members int
}

// Options describe a scheduler.
type Options struct {
	Clock  fulmarclock.Clock
	Policy Policy
	// Sharing is one of the names in fulmarsettings.
	Sharing  string
	Ring     int
	Seed     uint64
	Settings Settings
}

// Scheduler gives the slots of one pool's workers to waiting requests.
type Scheduler struct {
	pool    string
	clock   fulmarclock.Clock
	policy  Policy
	sharing string
	random  *rand.Rand
	ring    *fulmarring.Ring[event]
	done    chan struct{}
	retries *RetryBudget

	queue       *fulmarqueue.Queue[*Ticket]
	settings    Settings
	workers     []*worker
	byVM        map[string]*worker
	peerDemands []Demand
	members     int
	running     int
	latency     Latency
	stopRefusal *fulmarapi.Refusal
	// contendedUntil is the time until which slots of this member's own answers are used first.
	contendedUntil fulmarclock.Millis
	wakePending    bool
	// pendingReports are the reports to be answered at the end of this round.
	pendingReports []chan fulmarapi.PoolReport
	wake           chan struct{}

	candidates       []Candidate
	candidateWorkers []*worker

	publishedRunning atomic.Int64
	publishedWaiting atomic.Int64
}

// event is one message to a scheduler's goroutine.
type event interface {
	apply(s *Scheduler)
}

// NewScheduler returns a scheduler without workers.
func NewScheduler(pool string, options Options) *Scheduler {
	s := &Scheduler{
		pool: pool, clock: options.Clock, policy: options.Policy, sharing: options.Sharing,
		random: rand.New(rand.NewPCG(options.Seed, uint64(len(pool)))),
		ring:   fulmarring.New[event](options.Ring), done: make(chan struct{}),
		retries: NewRetryBudget(options.Settings.RetryShare),
		queue:   fulmarqueue.New[*Ticket](options.Settings.Bounds),
		byVM:    map[string]*worker{}, wake: make(chan struct{}, 1),
	}
	s.applySettings(options.Settings)
	return s
}

// Run handles events until Close.
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

// applyQueuedEvents handles the events that the ring holds already, up to its capacity.
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

// Close refuses what waits, stops the goroutine and waits for it.
func (s *Scheduler) Close(refusal *fulmarapi.Refusal) {
	s.ring.Put(stopEvent{refusal})
	s.ring.Close()
	<-s.done
}

// Submit queues a ticket; a full ring refuses it at once.
func (s *Scheduler) Submit(t *Ticket) *fulmarapi.Refusal {
	if s.ring.Offer(submitEvent{t}) {
		return nil
	}
	return fulmarapi.NewRefusal(fulmarapi.ReasonRingFull, "the pool's scheduler is behind").WithRetryAfter(retryAfterSeconds)
}

// Cancel takes a ticket back whose grant was not used, whether it waits or holds a slot.
func (s *Scheduler) Cancel(t *Ticket) { s.ring.Put(cancelEvent{t}) }

// Finish frees a ticket's slot.
func (s *Scheduler) Finish(t *Ticket, result Result) {
	t.result = result
	s.ring.Put(finishEvent{t})
}

// Requeue frees a ticket's slot and puts the ticket back at the head of its
// team's requests; a worker that failed it is avoided.
func (s *Scheduler) Requeue(t *Ticket, result Result) {
	t.result = result
	s.ring.Put(requeueEvent{t})
}

// SetView replaces the workers.
func (s *Scheduler) SetView(v View) { s.ring.Put(viewEvent{&v}) }

// SetSettings replaces the settings.
func (s *Scheduler) SetSettings(settings Settings) { s.ring.Put(settingsEvent{&settings}) }

// SetPeerDemands replaces the demands of the other members.
func (s *Scheduler) SetPeerDemands(demands []Demand) { s.ring.Put(peerDemandsEvent{&demands}) }

// Retries returns the pool's retry budget.
func (s *Scheduler) Retries() *RetryBudget { return s.retries }

// Load returns the requests that run and that wait on this member.
func (s *Scheduler) Load() (running, waiting int) {
	return int(s.publishedRunning.Load()), int(s.publishedWaiting.Load())
}

// Report returns the state of the pool on this member.
func (s *Scheduler) Report() (fulmarapi.PoolReport, bool) {
	reply := make(chan fulmarapi.PoolReport, 1)
	if !s.ring.Put(reportEvent{reply}) {
		return fulmarapi.PoolReport{}, false
	}
	select {
	case report := <-reply:
		return report, true
	case <-s.done:
		return fulmarapi.PoolReport{}, false
	}
}

func (s *Scheduler) applySettings(settings Settings) {
	s.settings = settings
	s.retries.SetShare(settings.RetryShare)
	s.queue.SetBounds(settings.Bounds)
	for name, bounds := range settings.Teams {
		s.queue.SetTeam(name, bounds)
	}
}

// release frees the slot that a ticket holds.
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

// ejectOutliers ejects the workers that fail by their own fault, within the pool's availability budget.
func (s *Scheduler) ejectOutliers() {
	failures, samples, ejected := 0, 0, 0
	for _, w := range s.workers {
		if w.health.State() == Ejected {
			ejected++
			continue
		}
		failures += w.health.Failures()
		samples += w.health.Samples()
	}
	budget := MaxEjected(len(s.workers), s.settings.AvailableShare)
	for _, w := range s.workers {
		if w.health.State() == Ejected {
			continue
		}
		isOutlier := IsOutlier(&w.health, failures-w.health.Failures(), samples-w.health.Samples())
		w.health.setSuspect(isOutlier)
		if isOutlier && ejected < budget {
			w.health.Eject(s.clock.Now(), initialEjection)
			ejected++
		}
	}
}

// allowedSlots returns how many slots this member may use beside its peers.
func (s *Scheduler) allowedSlots() int {
	switch s.sharing {
	case fulmarsettings.SharingOptimistic:
		return s.totalSlots()
	case fulmarsettings.SharingStatic:
		return max(1, s.totalSlots()/max(1, s.members))
	}
	return FairShare(s.totalSlots(), s.running+s.queue.Len(), s.peerDemands)
}

func (s *Scheduler) totalSlots() int {
	slots := 0
	for _, w := range s.workers {
		if w.countsAsCapacity() {
			slots += w.assigned.Slots
		}
	}
	return max(slots, len(s.workers))
}

func (s *Scheduler) publishLoad() {
	s.publishedRunning.Store(int64(s.running))
	s.publishedWaiting.Store(int64(s.queue.Len()))
}

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
