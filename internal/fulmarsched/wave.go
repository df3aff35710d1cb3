package fulmarsched

import (
	"math"
	"slices"
	"strconv"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// vmMaintenance is the progress of one VM's maintenance.
type vmMaintenance struct {
	vm string
	// chosen VMs are being drained; journaled means that the journal holds the choice.
	chosen    bool
	journaled bool
	// confirmedAt is when the platform confirmed the maintenance command, sentAt when the command
	// was last sent.
	confirmedAt fulmarclock.Millis
	sentAt      fulmarclock.Millis
	// oldExecutor and oldIncarnation identify the executor incarnation that the maintenance shuts
	// down.
	oldExecutor    string
	oldIncarnation int64
	done           bool
}

// wave is a maintenance wave: a request for the maintenance of a set of VMs.
type wave struct {
	request    fulmarjob.Wave
	receivedAt fulmarclock.Millis
	vms        []*vmMaintenance
	completed  bool
	dirty      bool
	// reported is the state of completed that was last reported to operators; empty before.
	reported string
}

func (w *wave) key() string { return waveKeyPrefix + strconv.FormatInt(w.request.Number, 10) }

// AddWave adds a maintenance wave that operators requested.
func (s *Scheduler) AddWave(now fulmarclock.Millis, request fulmarjob.Wave) {
	s.now = now
	if s.waves[request.Number] != nil {
		return
	}
	w := &wave{request: request, receivedAt: now, dirty: true}
	for _, vm := range request.VMs {
		w.vms = append(w.vms, &vmMaintenance{vm: vm})
	}
	s.waves[request.Number] = w
	s.log.Log("maintenance wave added", "wave", request.Number, "vms", len(request.VMs), "max_down", request.MaxDown, "within_ms", request.MaxDuration)
}

func (s *Scheduler) executorOfVM(vm string) *executor {
	for _, e := range s.allExecutors() {
		if e.mayBeOn(vm) && e.listed && !e.retired {
			return e
		}
	}
	return nil
}

// advanceWaves chooses the next VMs of each wave, drains them and sends their maintenance
// commands.
func (s *Scheduler) advanceWaves() {
	for _, number := range s.waveNumbers() {
		w := s.waves[number]
		if !w.completed {
			s.advanceWave(w)
		}
	}
}

func (s *Scheduler) waveNumbers() []int64 {
	numbers := make([]int64, 0, len(s.waves))
	for n := range s.waves {
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	return numbers
}

func (s *Scheduler) advanceWave(w *wave) {
	s.reportWave(w, false)
	down := 0
	for _, m := range w.vms {
		if m.chosen && !m.done {
			down++
		}
	}
	for down < w.request.MaxDown {
		m := s.nextVM(w)
		if m == nil {
			break
		}
		s.chooseVM(w, m)
		down++
	}
	s.sendMaintenance(w)
	if s.isComplete(w) {
		w.completed = true
		s.reportWave(w, true)
		s.log.Log("maintenance wave completed", "wave", w.request.Number, "took_ms", s.now-w.receivedAt, "within_ms", w.request.MaxDuration)
	}
}

func (s *Scheduler) reportWave(w *wave, completed bool) {
	state := strconv.FormatBool(completed)
	if w.reported != state {
		w.reported = state
		s.commands = append(s.commands, WaveReport{Wave: w.request.Number, Completed: completed})
	}
}

func (s *Scheduler) isComplete(w *wave) bool {
	for _, m := range w.vms {
		if !m.done && (!m.chosen || m.confirmedAt == 0) {
			return false
		}
	}
	return true
}

// nextVM returns the VM of a wave with the least running work, or nil if none may be chosen now.
func (s *Scheduler) nextVM(w *wave) *vmMaintenance {
	var best *vmMaintenance
	bestWork := 0.0
	isBehind := s.isBehindSchedule(w)
	for _, m := range w.vms {
		if m.chosen || m.done || s.isMoving(m.vm) || s.awaitsPreviousOwner(m.vm) {
			continue
		}
		e := s.executorOfVM(m.vm)
		if e == nil && s.now > w.receivedAt+missingExecutorTimeout && best == nil {
			best, bestWork = m, math.MaxFloat64
		}
		if e == nil || e.info.Draining || !e.fence.accepted || !isBehind && s.isPoolBusy(e.info.Service) {
			continue
		}
		work := float64(e.used.MilliCPU) + longRunningWeight*float64(countLongRunning(e))
		if best == nil || work < bestWork {
			best, bestWork = m, work
		}
	}
	return best
}

// isBehindSchedule reports whether the remaining VMs of a wave, maintained in rounds of at most
// MaxDown, need all of the remaining time limit, with one more round in reserve. VMs of busy
// pools are then no longer skipped.
func (s *Scheduler) isBehindSchedule(w *wave) bool {
	remaining := 0
	for _, m := range w.vms {
		if !m.chosen && !m.done {
			remaining++
		}
	}
	rounds := (remaining + w.request.MaxDown - 1) / w.request.MaxDown
	needed := fulmarclock.Millis(rounds+1) * (s.params.MaintenanceDuration + drainDuration)
	return s.now+needed > w.receivedAt+w.request.MaxDuration
}

// busyUtilization is the used fraction of a pool's CPU above which the pool is busy.
const busyUtilization = 0.5

// isPoolBusy reports whether a pool has tasks ready to be placed or is above busyUtilization.
func (s *Scheduler) isPoolBusy(service string) bool {
	p := s.poolSummaries[service]
	if p == nil {
		return false
	}
	return p.ready > 0 || float64(p.used.MilliCPU) > busyUtilization*float64(p.capacity.MilliCPU)
}

// longRunningWeight is the cost of a long-running task in millicores when VMs are compared, high
// enough that VMs without long-running tasks are chosen first.
const longRunningWeight = 100000

func countLongRunning(e *executor) int {
	count := 0
	for _, t := range e.tasks {
		if t.step.LongRunning {
			count++
		}
	}
	return count
}

// moveLongRunning starts to move the long-running tasks of an executor whose VM is about to go
// down, as far as the steps' limits on unavailable tasks allow.
func (s *Scheduler) moveLongRunning(e *executor) {
	for _, t := range sortedTasks(e) {
		if t.step.LongRunning && !t.stopping && !t.moving && s.mayInterrupt(t) {
			s.log.Log("moving long-running task to another executor", "job", t.id.Job, "step", t.id.Step, "index", t.id.Index, "run", t.run, "executor", e.info.ID)
			s.moveTask(t)
		}
	}
}

// moveTask marks a long-running task as moving. Its stop command is sent once the journal holds
// the mark, so that a later owner does not count the task as available.
func (s *Scheduler) moveTask(t *task) {
	t.moving, t.movingJournaled = true, false
	s.movingTasks = append(s.movingTasks, t)
	s.markDirty(t.job)
}

// mayInterrupt reports whether a long-running task may be interrupted: fewer tasks of its step
// than the limit are unavailable, and another executor has capacity for it.
func (s *Scheduler) mayInterrupt(t *task) bool {
	if t.step.HasMaxUnavailable && t.unavailableBeside() >= t.step.MaxUnavailable {
		return false
	}
	c := s.schedulableByService()[t.job.queue.Service]
	return c != nil && chooseExecutor(t, t.occurrence.steps[t.id.Step], c.executors) != nil
}
