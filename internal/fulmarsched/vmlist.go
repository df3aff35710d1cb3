package fulmarsched

import (
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// vmListing is the platform's newest list of VMs. It names the executor of each VM that is up, also of one that is cut off
// from the owner and the store. So it tells such an executor, which runs on, from one that has ended.
type vmListing struct {
	vms map[string]fulmarjob.VM
	// requestedAt is when the list was requested, zero before the first one.
	requestedAt fulmarclock.Millis
	// named are the executors that the list names, namedBefore those of the list before: a VM that changes while the
	// platform answers may be missing from one list.
	named       map[string]bool
	namedBefore map[string]bool
}

func newVMListing() vmListing { return vmListing{vms: map[string]fulmarjob.VM{}} }

// update replaces the list by one that was requested at a time.
func (l *vmListing) update(requestedAt fulmarclock.Millis, vms []fulmarjob.VM) {
	clear(l.vms)
	l.requestedAt, l.namedBefore, l.named = requestedAt, l.named, map[string]bool{}
	for _, vm := range vms {
		l.vms[vm.Name] = vm
		if vm.Up && vm.Executor != "" {
			l.named[vm.Executor] = true
		}
	}
}

// excludes reports whether no incarnation under an executor's ID was up when the list was requested, by the VM that
// the executor was on, or by two lists in a row if that is not known or listed. A list without executors tells nothing,
// nor does a VM that is up without one.
func (l *vmListing) excludes(executor, vmName string) bool {
	if len(l.named) == 0 || l.named[executor] {
		return false
	}
	if vm, listed := l.vms[vmName]; listed {
		return !vm.Up || vm.Executor != ""
	}
	return len(l.namedBefore) > 0 && !l.namedBefore[executor]
}

// UpdateVMs replaces the list of the platform's VMs by one that was requested at a time. What runs on a silent executor
// that it excludes is over.
func (s *Scheduler) UpdateVMs(now, requestedAt fulmarclock.Millis, vms []fulmarjob.VM) {
	s.now = now
	s.vmList.update(requestedAt, vms)
	for _, e := range s.executorList {
		if s.isExcluded(e.info.ID) {
			e.endedBefore = requestedAt
		}
	}
	for _, id := range s.openStarts.executors() {
		if s.isExcluded(id) {
			s.openStarts.noteReport(id, requestedAt, true)
			s.openStarts.noteReport(id, requestedAt, false)
		}
	}
}

// isExcluded reports whether an executor is silent and had no incarnation when the newest list was requested.
func (s *Scheduler) isExcluded(id string) bool {
	e := s.executors[id]
	if e == nil {
		return s.vmList.excludes(id, "")
	}
	return e.isSilentSince(s.vmList.requestedAt) && s.vmList.excludes(id, e.knownVM())
}

// isCutOff reports whether an executor is silent, or has not reported yet since it was listed again, but was up when the
// newest list was requested.
func (s *Scheduler) isCutOff(id string) bool {
	e := s.executors[id]
	return (e == nil || !e.fence.accepted || e.isSilentSince(s.vmList.requestedAt)) && s.vmList.named[id]
}

// isSilentSince reports whether the executor has not responded since a time, although it was asked, if it can be.
func (e *executor) isSilentSince(time fulmarclock.Millis) bool {
	return e.isUnresponsive() && e.lastResultAt < time
}
