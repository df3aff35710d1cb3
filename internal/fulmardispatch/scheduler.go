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
	// wakeEvery is how often a scheduler with waiting requests looks for workers whose backoff has ended.
	wakeEvery = 2 * fulmarclock.Millis(1)
	// contendedFor is how long a busy worker makes its pool count as contended.
	contendedFor = fulmarclock.Second
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

	queue    *fulmarqueue.Queue[*Ticket]
	settings Settings
	workers  []*worker
	byVM     map[string]*worker
	peers    []Demand
	members  int
	running  int
	latency  Latency
	stopped  *fulmarapi.Refusal
	// contended is the time until which slots of this member's own answers are used first.
	contended fulmarclock.Millis
	woken     bool
	// asked are the reports to be answered at the end of this round.
	asked []chan fulmarapi.PoolReport
	wake  chan struct{}

	candidates []Candidate
	places     []*worker

	shownRunning atomic.Int64
	shownWaiting atomic.Int64
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
	s.follow(options.Settings)
	return s
}

// Run handles events until Close.
func (s *Scheduler) Run() {
	defer close(s.done)
	for {
		select {
		case e := <-s.ring.Events():
			e.apply(s)
			s.applyReady()
		case <-s.wake:
			s.woken = false
		case <-s.ring.Closed():
			s.applyReady()
			s.answerReports()
			return
		}
		s.grantSlots()
		s.answerReports()
	}
}

// applyReady handles the events that the ring holds already, up to its capacity.
func (s *Scheduler) applyReady() {
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

// SetPeers replaces the demands of the other members.
func (s *Scheduler) SetPeers(demands []Demand) { s.ring.Put(peersEvent{&demands}) }

// Retries returns the pool's retry budget.
func (s *Scheduler) Retries() *RetryBudget { return s.retries }

// Load returns the requests that run and that wait on this member.
func (s *Scheduler) Load() (running, waiting int) {
	return int(s.shownRunning.Load()), int(s.shownWaiting.Load())
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

func (s *Scheduler) follow(settings Settings) {
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
	if t.result == ResultAnswered || t.result == ResultFailed {
		s.latency.Add(now - t.granted)
	}
	if t.result == ResultBusy {
		s.contended = now + contendedFor
	}
	t.worker.record(t, now, s.random.IntN)
	t.worker = nil
	s.running--
	s.judge()
}

// judge ejects the workers that fail by their own fault, within the pool's availability budget.
func (s *Scheduler) judge() {
	failures, seen, ejected := 0, 0, 0
	for _, w := range s.workers {
		if w.health.Verdict() == Ejected {
			ejected++
			continue
		}
		failures += w.health.Failures()
		seen += w.health.Seen()
	}
	budget := EjectionBudget(len(s.workers), s.settings.AvailableShare)
	for _, w := range s.workers {
		if w.health.Verdict() == Ejected {
			continue
		}
		toBlame := IsToBlame(&w.health, failures-w.health.Failures(), seen-w.health.Seen())
		w.health.setSuspect(toBlame)
		if toBlame && ejected < budget {
			w.health.Eject(s.clock.Now(), ejectFirst)
			ejected++
		}
	}
}

// allowed returns how many slots this member may use beside its peers.
func (s *Scheduler) allowed() int {
	switch s.sharing {
	case fulmarsettings.SharingOptimistic:
		return s.capacity()
	case fulmarsettings.SharingStatic:
		return max(1, s.capacity()/max(1, s.members))
	}
	return FairShare(s.capacity(), s.running+s.queue.Len(), s.peers)
}

func (s *Scheduler) capacity() int {
	slots := 0
	for _, w := range s.workers {
		if w.countsAsCapacity() {
			slots += w.assigned.Slots
		}
	}
	return max(slots, len(s.workers))
}

func (s *Scheduler) show() {
	s.shownRunning.Store(int64(s.running))
	s.shownWaiting.Store(int64(s.queue.Len()))
}

func (s *Scheduler) wakeLater() {
	if s.queue.Len() == 0 || s.woken {
		return
	}
	s.woken = true
	s.clock.AfterFunc(wakeEvery, func() {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	})
}
