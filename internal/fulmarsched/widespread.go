package fulmarsched

import "github.com/fulmardrum/fulmardrum/internal/fulmarclock"

const (
	// widespreadWindow is how long the crash of an executor counts as simultaneous with others.
	widespreadWindow = 5 * fulmarclock.Second
	// widespreadFraction is the fraction of a service's executors that must have crashed or not
	// respond, minWidespread their minimum number.
	widespreadFraction = 0.75
	minWidespread      = 4
)

// isWidespread reports whether most executors of a service have crashed together, as in a loss of
// power. No task is the cause then, and to isolate the tasks of all of them would delay them.
func (s *Scheduler) isWidespread(service string) bool {
	crashed, all := 0, 0
	for _, e := range s.executorList {
		if e.retired || e.info.Service != service {
			continue
		}
		all++
		if e.failedRenewals > 0 && len(e.tasks) > 0 || s.hasCrashedRecently(e.info.VM) {
			crashed++
		}
	}
	return crashed >= minWidespread && float64(crashed) >= widespreadFraction*float64(all)
}

func (s *Scheduler) hasCrashedRecently(vm string) bool {
	at, known := s.crashedVMs[vm]
	return known && s.now <= at+widespreadWindow
}

// dropCrashedVMs forgets the crashes that are not recent.
func (s *Scheduler) dropCrashedVMs() {
	for vm := range s.crashedVMs {
		if !s.hasCrashedRecently(vm) {
			delete(s.crashedVMs, vm)
		}
	}
}
