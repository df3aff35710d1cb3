package fulmardispatch

import (
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarqueue"
)

// heldMost bounds the waiting requests passed over in one round because no worker suits them.
const heldMost = 8

// grantSlots gives free slots to waiting requests until one of the two runs out.
func (s *Scheduler) grantSlots() {
	var held [heldMost]*fulmarqueue.Entry[*Ticket]
	n := 0
	for n < heldMost && s.queue.Len() > 0 && s.running < s.allowed() {
		entry, found := s.queue.Pop()
		if !found {
			break
		}
		w, isLast := s.choose(entry.Value())
		if w == nil {
			held[n] = entry
			n++
			if isLast {
				break
			}
			continue
		}
		s.grant(entry.Value(), w)
	}
	for i := n - 1; i >= 0; i-- {
		s.queue.PushFront(held[i])
	}
	s.show()
	s.wakeLater()
}

// choose returns a worker for a ticket. Without one, isLast tells that no other ticket finds one either.
func (s *Scheduler) choose(t *Ticket) (chosen *worker, isLast bool) {
	now := s.clock.Now()
	if t.avoid != "" && !s.hasOther(t.avoid) {
		t.avoid = ""
	}
	if w := s.dueProbe(t, now); w != nil {
		return w, false
	}
	if now < s.contended && s.listFree(t, now, isFreed) {
		return s.places[s.policy.Choose(s.candidates, s.random.IntN)], false
	}
	if s.listFree(t, now, isHealthy) || s.listFree(t, now, isSuspect) {
		return s.places[s.policy.Choose(s.candidates, s.random.IntN)], false
	}
	return nil, t.avoid == ""
}

func isHealthy(w *worker) bool { return w.health.Verdict() == Healthy }
func isSuspect(w *worker) bool { return w.health.Verdict() == Suspect }

// isFreed tells whether a worker has a slot that this member has just given up.
func isFreed(w *worker) bool { return isHealthy(w) && w.freed > 0 }

// listFree lists the free workers of a kind that suit a ticket and tells whether there are any.
func (s *Scheduler) listFree(t *Ticket, now fulmarclock.Millis, kind func(w *worker) bool) bool {
	s.candidates, s.places = s.candidates[:0], s.places[:0]
	for _, w := range s.workers {
		if !kind(w) || !w.isFree(now) || w.assigned.Target.VM == t.avoid {
			continue
		}
		s.candidates = append(s.candidates, Candidate{Running: w.running, Slots: w.assigned.Slots})
		s.places = append(s.places, w)
	}
	return len(s.places) > 0
}

// hasOther tells whether the pool has another worker in use than the one to avoid.
func (s *Scheduler) hasOther(avoid string) bool {
	for _, w := range s.workers {
		if w.countsAsCapacity() && w.assigned.Target.VM != avoid {
			return true
		}
	}
	return false
}

// dueProbe returns an ejected worker that is to be tried with this ticket.
func (s *Scheduler) dueProbe(t *Ticket, now fulmarclock.Millis) *worker {
	if t.avoid != "" {
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
	w.freed = max(0, w.freed-1)
	s.running++
	t.worker = w
	t.granted = s.clock.Now()
	t.probe = w.health.Verdict() == Ejected
	if t.probe {
		w.probing = true
	}
	t.grants <- Grant{Target: w.assigned.Target, Patience: s.latency.Patience()}
}
