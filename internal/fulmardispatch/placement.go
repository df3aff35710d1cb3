package fulmardispatch

import (
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarqueue"
)

// maxSkipped is the maximum number of waiting requests skipped in one round because no suitable worker is free.
const maxSkipped = 8

// grantSlots grants free slots to waiting requests until either runs out.
// Skipped requests return to the head of their queue.
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

// chooseWorker returns a worker for a ticket, or nil. Without a worker, noneFree
// reports that there is none for any other ticket either.
//
// An ejected worker whose probe is due comes first. While the pool is contended,
// workers with a slot that this member has just freed come next, because other
// members compete for the slots that seem free elsewhere.
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

// hasFreedSlot reports whether a healthy worker has a slot that this member has freed and not used again.
func hasFreedSlot(w *worker) bool { return isHealthy(w) && w.freedSlots > 0 }

// listFreeWorkers fills candidates and candidateWorkers with the free workers
// that accept selects and the ticket need not avoid, and reports whether there are any.
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

// hasOtherWorker reports whether the pool has a worker in use other than the one to avoid.
func (s *Scheduler) hasOtherWorker(avoidVM string) bool {
	for _, w := range s.workers {
		if w.countsAsCapacity() && w.assigned.Target.VM != avoidVM {
			return true
		}
	}
	return false
}

// findWorkerToProbe returns an ejected worker to probe with this ticket, or nil.
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
