package fulmarsched

import (
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

func (s *Scheduler) chooseVM(w *wave, m *vmMaintenance) {
	e := s.executorOfVM(m.vm)
	m.chosen, m.journaled = true, false
	w.dirty = true
	s.chosenVMs = append(s.chosenVMs, m)
	if e == nil {
		s.log.Log("VM without a listed executor chosen for maintenance", "vm", m.vm, "wave", w.request.Number)
		return
	}
	m.oldExecutor, m.oldIncarnation = e.info.ID, e.info.Incarnation
	e.cordoned = true
	s.log.Log("VM chosen for maintenance; draining it", "vm", m.vm, "wave", w.request.Number, "executor", e.info.ID, "tasks", len(e.tasks))
}

// sendMaintenance drains the chosen VMs and sends the maintenance commands of those that are
// empty.
func (s *Scheduler) sendMaintenance(w *wave) {
	for _, m := range w.vms {
		if !m.chosen || m.done || m.confirmedAt > 0 {
			s.checkMaintenanceTimeout(w, m)
			continue
		}
		if !s.drainVM(m) || !m.journaled || s.awaitsPreviousOwner(m.vm) || m.sentAt > 0 && s.now < m.sentAt+commandRetryInterval {
			continue
		}
		m.sentAt = s.now
		s.dropLapse(m.vm)
		s.commands = append(s.commands, MaintenanceCommand{VM: m.vm, Wave: w.request.Number, Token: s.token})
	}
}

// drainVM cordons the executors of a VM, moves its long-running tasks, and reports whether nothing
// runs there on any incarnation of its executor. The end of the last task must also be in the
// journal: otherwise a later owner, which can't know that the maintenance ended the incarnation,
// would wait for the leases of tasks that the journal still places there.
func (s *Scheduler) drainVM(m *vmMaintenance) bool {
	empty := true
	for _, e := range s.allExecutors() {
		if e.retired || !e.mayBeOn(m.vm) && e.info.ID != m.oldExecutor {
			continue
		}
		e.cordoned = true
		if e.listed && e.info.VM == m.vm {
			m.oldExecutor, m.oldIncarnation = e.info.ID, e.info.Incarnation
		}
		s.moveLongRunning(e)
		empty = empty && len(e.tasks) == 0 && e.idleSince < s.journaledUntil
	}
	return empty
}

// checkMaintenanceTimeout counts a VM as back when its maintenance has certainly ended.
func (s *Scheduler) checkMaintenanceTimeout(w *wave, m *vmMaintenance) {
	if m.done || m.confirmedAt == 0 || s.now < m.confirmedAt+maintenanceTimeoutFactor*s.params.MaintenanceDuration {
		return
	}
	s.finishMaintenance(w, m)
}

// HandleMaintenanceResult applies the platform's result of a maintenance command: confirmed,
// rejected for good, or neither, in which case the command is retried.
func (s *Scheduler) HandleMaintenanceResult(now fulmarclock.Millis, vm string, number int64, confirmed, rejected bool) {
	s.now = now
	w := s.waves[number]
	if w == nil {
		return
	}
	for _, m := range w.vms {
		if m.vm != vm || m.done {
			continue
		}
		if confirmed && m.confirmedAt == 0 {
			m.confirmedAt = now
			s.log.Log("VM maintenance confirmed by the platform", "vm", vm, "wave", number)
			s.probeExecutorsOn(vm)
		}
		if rejected {
			s.finishMaintenance(w, m)
			s.log.Log("VM maintenance rejected by the platform; skipping the VM", "vm", vm, "wave", number)
		}
	}
}

// probeExecutorsOn requests reports from the executors on a VM.
func (s *Scheduler) probeExecutorsOn(vm string) {
	for _, e := range s.executorList {
		if e.mayBeOn(vm) && !e.retired {
			s.scheduleProbe(e)
		}
	}
}

// completePreviousMaintenance counts a VM as back if its executor responds to a request that was
// sent after the platform had confirmed the maintenance. A previous owner has then sent the command
// already, and the executor already is the incarnation after the maintenance.
func (s *Scheduler) completePreviousMaintenance(e *executor, sentAt fulmarclock.Millis) {
	for _, w := range s.waves {
		for _, m := range w.vms {
			if m.vm != e.info.VM || m.done || m.confirmedAt == 0 || sentAt <= m.confirmedAt {
				continue
			}
			s.finishMaintenance(w, m)
			s.log.Log("VM maintenance was already done for a previous owner", "vm", m.vm, "wave", w.request.Number, "executor", e.info.ID)
		}
	}
}

// handleReturnedVM counts a VM as back from maintenance when a new incarnation of its executor has
// responded to a request that was sent after the maintenance was confirmed, and cordons the executor
// of a VM whose maintenance is still to come.
func (s *Scheduler) handleReturnedVM(e *executor) {
	for _, w := range s.waves {
		for _, m := range w.vms {
			if m.vm != e.info.VM || m.done || !m.chosen {
				continue
			}
			if m.confirmedAt == 0 {
				e.cordoned = true
				continue
			}
			isOther := e.info.ID != m.oldExecutor || e.info.Incarnation != m.oldIncarnation
			if isOther && e.reportSentAt > m.confirmedAt {
				s.finishMaintenance(w, m)
				s.log.Log("VM is back from maintenance", "vm", m.vm, "wave", w.request.Number)
			}
		}
	}
}

// finishMaintenance counts a VM as back. Executors that were drained for it and have not ended, as an odd
// entry had named it or the platform rejected the command, get tasks again.
func (s *Scheduler) finishMaintenance(w *wave, m *vmMaintenance) {
	m.done, w.dirty = true, true
	s.uncordon(m.vm)
}
