package fulmardispatch

import (
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarqueue"
)

// maxSkipped bounds the waiting requests passed over in one round because no worker suits them.
const maxSkipped = 8

// grantSlots gives free slots to waiting requests until one of the two runs out.
func (s *Scheduler) grantSlots() {
	var skipped [maxSkipped]*fulmarqueue.Entry[*Ticket]
	n := 0
	for n < maxSkipped && s.queue.Len() > 0 && s.running < s.allowedSlots() {
		entry, found := s.queue.Pop()
		if !found {
			break
		}
		w, noneFree := s.chooseWorker(entry.Value())
		if w == nil {
			skipped[n] = entry
			n++
			if noneFree {
				break
			}
			continue
		}
		s.grant(entry.Value(), w)
	}
	for i := n - 1; i >= 0; i-- {
		s.queue.PushFront(skipped[i])
	}
	s.publishLoad()
	s.scheduleWake()
}

// chooseWorker returns a worker for a ticket. Without one, isLast tells that no other ticket finds one either.
func (s *Scheduler) chooseWorker(t *Ticket) (chosen *worker, noneFree bool) {
	now := s.clock.Now()
	if t.avoidVM != "" && !s.hasOtherWorker(t.avoidVM) {
		t.avoidVM = ""
	}
	if w := s.findWorkerToProbe(t, now); w != nil {
		return w, false
	}
	if now < s.contendedUntil && s.listFreeWorkers(t, now, hasFreedSlot) {
		return s.candidateWorkers[s.policy.Choose(s.candidates, s.random.IntN)], false
	}
	if s.listFreeWorkers(t, now, isHealthy) || s.listFreeWorkers(t, now, isSuspect) {
		return s.candidateWorkers[s.policy.Choose(s.candidates, s.random.IntN)], false
	}
	return nil, t.avoidVM == ""
}

func isHealthy(w *worker) bool { return w.health.State() == Healthy }
func isSuspect(w *worker) bool { return w.health.State() == Suspect }

// hasFreedSlot tells whether a worker has a slot that this member has just given up.
func hasFreedSlot(w *worker) bool { return isHealthy(w) && w.freedSlots > 0 }

// listFreeWorkers lists the free workers of a kind that suit a ticket and tells whether there are any.
func (s *Scheduler) listFreeWorkers(t *Ticket, now fulmarclock.Millis, accept func(w *worker) bool) bool {
	s.candidates, s.candidateWorkers = s.candidates[:0], s.candidateWorkers[:0]
	for _, w := range s.workers {
		if !accept(w) || !w.isFree(now) || w.assigned.Target.VM == t.avoidVM {
			continue
		}
		s.candidates = append(s.candidates, Candidate{Running: w.running, Slots: w.assigned.Slots})
		s.candidateWorkers = append(s.candidateWorkers, w)
	}
	return len(s.candidateWorkers) > 0
}

// hasOtherWorker tells whether the pool has another worker in use than the one to avoid.
func (s *Scheduler) hasOtherWorker(avoidVM string) bool {
	for _, w := range s.workers {
		if w.countsAsCapacity() && w.assigned.Target.VM != avoidVM {
			return true
		}
	}
	return false
}

// findWorkerToProbe returns an ejected worker that is to be tried with this ticket.
func (s *Scheduler) findWorkerToProbe(t *Ticket, now fulmarclock.Millis) *worker {
	if t.avoidVM != "" {
		return nil
	}
	for _, w := range s.workers {
		if w.isProbeDue(now, t.idempotent) {
			return w
		}
	}
	return nil
}

func (s *Scheduler) grant(t *Ticket, w *worker) {
	w.running++
	w.freedSlots = max(0, w.freedSlots-1)
	s.running++
	t.worker = w
	t.grantedAt = s.clock.Now()
	t.isProbe = w.health.State() == Ejected
	if t.isProbe {
		w.probing = true
	}
	t.grants <- Grant{Target: w.assigned.Target, FirstByteTimeout: s.latency.FirstByteTimeout()}
}
