package fulmarsched

import "slices"

// uncordon permits new tasks on the executors that may be on a VM, as no command for it follows. A retired
// one is included, as it may respond again.
func (s *Scheduler) uncordon(vm string) {
	for _, e := range s.executorList {
		if e.mayBeOn(vm) && !s.awaitsCommand(e) {
			e.cordoned = false
		}
	}
}

// awaitsCommand reports whether a command for a VM that the executor may be on is still to come.
func (s *Scheduler) awaitsCommand(e *executor) bool {
	return slices.ContainsFunc(append([]string{e.info.VM}, e.namedVMs...), func(vm string) bool {
		return s.isInMaintenance(vm) || s.isMoving(vm)
	})
}
