package fulmarsched

import "github.com/fulmardrum/fulmardrum/internal/fulmarclock"

const (
	// arrivalGrace is added to the duration of a move before the VM no longer counts as arriving.
	arrivalGrace = 3 * fulmarclock.Second
	// overdueArrival is the time after the duration of a move by which the executor of an arriving VM
	// is expected to be listed.
	overdueArrival = 400 * fulmarclock.Millis(1)
	// minOverdueArrivals is the number of overdue VMs from which the watch is taken to be silent; fewer
	// may only start slowly.
	minOverdueArrivals = 2
)

// handleArrivedVM finishes the move of a VM when its executor appears in the new pool.
func (s *Scheduler) handleArrivedVM(e *executor) {
	m := s.moves[e.info.VM]
	if m == nil || m.finished {
		return
	}
	if e.info.ID == m.oldExecutor && e.info.Incarnation == m.oldIncarnation {
		e.cordoned = true
		return
	}
	if e.info.Service == m.to {
		s.finishMove(m, "the VM has arrived")
	}
}

// checkMoveTimeout finishes a confirmed move whose VM is on standby or did not arrive in time.
func (s *Scheduler) checkMoveTimeout(m *vmMove) {
	service, _ := s.configuration.ServiceByName(m.to)
	if service.Standby && s.now > m.confirmedAt+s.params.MoveDuration {
		s.finishMove(m, "the VM is on standby")
		return
	}
	if s.now > m.confirmedAt+s.params.MoveDuration+arrivalGrace {
		s.finishMove(m, "the VM did not arrive in time")
	}
}

// HasOverdueArrivals reports whether several VMs must have arrived in their pools, but have no entry in
// the store as far as this scheduler has been told.
func (s *Scheduler) HasOverdueArrivals() bool {
	overdue := 0
	for _, m := range s.moves {
		arrival := m.confirmedAt + s.params.MoveDuration
		if m.finished || m.confirmedAt == 0 || s.now < arrival+overdueArrival || s.now > arrival+arrivalGrace {
			continue
		}
		if service, _ := s.configuration.ServiceByName(m.to); !service.Standby {
			overdue++
		}
	}
	return overdue >= minOverdueArrivals
}

// isInheritedAndDone reports whether the platform has carried out a move to standby that a previous owner
// commanded, according to the list of VMs that this owner has requested. After a change of the owner
// these VMs would otherwise be missing until each command has been repeated.
func (s *Scheduler) isInheritedAndDone(m *vmMove) bool {
	if !s.inheritedVMs[m.vm] || m.sentAt > 0 {
		return false
	}
	vm, listed := s.vmList.vms[m.vm]
	target, _ := s.configuration.ServiceByName(m.to)
	return listed && vm.Up && vm.Pool == m.to && target.Standby
}
