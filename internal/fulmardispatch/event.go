package fulmardispatch

import (
	"github.com/fulmardrum/fulmardrum/pkg/fulmarapi"
)

type submitEvent struct{ ticket *Ticket }

func (e submitEvent) apply(s *Scheduler) {
	t := e.ticket
	if s.stopRefusal != nil {
		t.grants <- Grant{Refusal: s.stopRefusal}
		return
	}
	if refusal := s.admit(t); refusal != nil {
		t.grants <- Grant{Refusal: refusal}
		return
	}
	s.retries.Deposit()
}

// admit adds a ticket to the queue. It returns a refusal if the queue is full or
// the estimated wait exceeds the ticket's deadline.
func (s *Scheduler) admit(t *Ticket) *fulmarapi.Refusal {
	wait := s.latency.EstimatedWait(s.queue.CountAhead(t.urgency), min(s.allowedSlots(), s.totalSlots()))
	if s.queue.Len() > 0 && s.clock.Now()+wait > t.deadline {
		detail := "the estimated wait in the queue exceeds the time limit"
		return fulmarapi.NewRefusal(fulmarapi.ReasonDeadlineTooSoon, detail).WithRetryAfter(retryAfterSeconds)
	}
	entry, reason := s.queue.Push(t, t.team, t.urgency)
	if reason != "" {
		return fulmarapi.NewRefusal(reason, "the pool's queue is full").WithRetryAfter(retryAfterSeconds)
	}
	t.entry = entry
	return nil
}

type cancelEvent struct{ ticket *Ticket }

func (e cancelEvent) apply(s *Scheduler) {
	t := e.ticket
	switch {
	case t.worker != nil:
		t.result = ResultNeutral
		s.release(t)
		s.queue.Done(t.entry)
	case t.entry != nil:
		s.queue.Remove(t.entry)
	}
}

type finishEvent struct{ ticket *Ticket }

func (e finishEvent) apply(s *Scheduler) {
	s.release(e.ticket)
	s.queue.Done(e.ticket.entry)
}

type requeueEvent struct{ ticket *Ticket }

func (e requeueEvent) apply(s *Scheduler) {
	t := e.ticket
	if t.result != ResultBusy && t.result != ResultStale {
		t.avoidVM = t.worker.assigned.Target.VM
	}
	s.release(t)
	if s.stopRefusal != nil {
		s.queue.Done(t.entry)
		t.grants <- Grant{Refusal: s.stopRefusal}
		return
	}
	s.queue.PushFront(t.entry)
}

type stopEvent struct{ refusal *fulmarapi.Refusal }

func (e stopEvent) apply(s *Scheduler) {
	s.stopRefusal = e.refusal
	for _, t := range s.queue.Drain() {
		t.grants <- Grant{Refusal: e.refusal}
	}
}

type viewEvent struct{ view *PoolView }

func (e viewEvent) apply(s *Scheduler) {
	s.members = e.view.Members
	s.workers = s.workers[:0]
	byVM := make(map[string]*worker, len(e.view.Workers))
	for _, assigned := range e.view.Workers {
		w, found := s.byVM[assigned.Target.VM]
		if !found || w.assigned.Target != assigned.Target {
			w = newWorker(assigned)
		}
		w.assigned = assigned
		w.maxRunning = max(1, min(assigned.Slots, e.view.ConnectionsPerWorker))
		byVM[assigned.Target.VM] = w
		s.workers = append(s.workers, w)
	}
	s.byVM = byVM
}

type settingsEvent struct{ settings *Settings }

func (e settingsEvent) apply(s *Scheduler) {
	s.applySettings(*e.settings)
	s.stopRefusal = nil
	if e.settings.Retired {
		stopEvent{fulmarapi.NewRefusal(fulmarapi.ReasonUnknownPool, "the pool was removed")}.apply(s)
	}
}

type peerDemandsEvent struct{ demands *[]Demand }

func (e peerDemandsEvent) apply(s *Scheduler) { s.peerDemands = *e.demands }

type reportEvent struct{ response chan fulmarapi.PoolReport }

func (e reportEvent) apply(s *Scheduler) { s.pendingReports = append(s.pendingReports, e.response) }

// sendReports replies to the pending report requests. It runs after the slots of
// this round have been granted, so that the report includes them.
func (s *Scheduler) sendReports() {
	if len(s.pendingReports) == 0 {
		return
	}
	report := s.buildReport()
	for _, response := range s.pendingReports {
		response <- report
	}
	s.pendingReports = s.pendingReports[:0]
}

func (s *Scheduler) buildReport() fulmarapi.PoolReport {
	report := fulmarapi.PoolReport{
		Pool: s.pool, Running: s.running, Waiting: s.queue.Len(), Slots: s.totalSlots(),
		AllowedSlots: s.allowedSlots(), MeanMillis: s.latency.mean,
	}
	for _, w := range s.workers {
		report.Workers = append(report.Workers, fulmarapi.WorkerReport{
			VM: w.assigned.Target.VM, Address: w.assigned.Target.Address, Epoch: w.assigned.Target.Epoch,
			Running: w.running, Health: w.health.State().String(), Draining: w.assigned.Draining,
		})
	}
	return report
}
