package fulmarsched

import (
	"fmt"
	"slices"
	"testing"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// crashMixSeeds is the number of seeds of TestRandomMixOfCrashesAndPlannedEnds.
const crashMixSeeds = 40

// longestCut is how long an executor is cut off at most.
const longestCut = 14500 * fulmarclock.Millis(1)

// crashMix applies crashes, planned ends and owner changes to a simulation in random order.
type crashMix struct {
	sim    *simulation
	random *randomSource
	waves  []fulmarjob.Wave
	// downUntil is when the last planned end is over.
	downUntil fulmarclock.Millis
}

func newCrashMix(t *testing.T, seed int64) *crashMix {
	m := &crashMix{sim: newSimulation(t, 10), random: newRandomSource(seed)}
	m.sim.losesResult = func(int) bool { return m.random.intN(30) == 0 }
	m.sim.commandDelay = func(int) fulmarclock.Millis { return fulmarclock.Millis(m.random.intN(2000)) }
	m.sim.crashDowntime = fulmarclock.Millis(2000 + m.random.intN(3000))
	m.sim.runBehavior = func(id fulmarjob.TaskID, _ int64, _ *fakeExecutor) (fulmarclock.Millis, bool) {
		if m.sim.stepOf(id).LongRunning {
			return 1_000_000, false
		}
		return fulmarclock.Millis(100 + m.random.intN(2500)), false
	}
	return m
}

// randomExecutor returns an executor that is in operation, or nil. The end of an executor that is
// cut off is left out: it can't be known whether its runs were still present.
func (m *crashMix) randomExecutor() *fakeExecutor {
	e := m.sim.executors[m.random.intN(len(m.sim.executors))]
	if !e.alive || e.unresponsive || e.info.Draining {
		return nil
	}
	return e
}

// disrupt applies one random disruption.
func (m *crashMix) disrupt() {
	e := m.randomExecutor()
	switch kind := m.random.intN(8); {
	case kind < 2:
		m.newOwner()
	case e == nil:
	case kind < 4:
		m.sim.crashVM(e)
	case kind == 4:
		m.cutOff(e)
	case m.sim.now < m.downUntil:
	case kind == 5:
		m.drain(e)
	case kind == 6:
		m.maintain(e)
	default:
		m.moveThereAndBack()
	}
}

func (m *crashMix) newOwner() {
	m.sim.newOwner()
	for _, w := range m.waves {
		m.sim.scheduler.AddWave(m.sim.now, w)
	}
}

// cutOff cuts an executor off for a time that may exceed its lease.
func (m *crashMix) cutOff(e *fakeExecutor) {
	e.unresponsive = true
	m.after(fulmarclock.Millis(500+m.random.intN(int(longestCut)-500)), func() { e.unresponsive = false })
}

// drain lets an executor leave after it has drained. Its VM returns with another one.
func (m *crashMix) drain(e *fakeExecutor) {
	e.info.Draining = true
	m.sim.scheduler.UpdateExecutor(m.sim.now, e.info)
	m.downUntil = m.sim.now + 6000
	m.after(3000, func() {
		if !e.alive {
			return
		}
		e.crash()
		m.sim.scheduler.RemoveExecutor(m.sim.now, e.info.ID)
		id := fmt.Sprintf("%s-%d", e.info.VM, m.sim.now)
		m.after(2000, func() { m.sim.returnVM(id, e.info.VM) })
	})
}

func (m *crashMix) maintain(e *fakeExecutor) {
	w := fulmarjob.Wave{Number: int64(len(m.waves) + 1), VMs: []string{e.info.VM}, MaxDown: 1, MaxDuration: 8000}
	m.waves = append(m.waves, w)
	m.sim.scheduler.AddWave(m.sim.now, w)
	m.downUntil = m.sim.now + 10000
}

// moveThereAndBack lists a VM on standby for a time in which the pool may take it.
func (m *crashMix) moveThereAndBack() {
	vm := fmt.Sprintf("standby-%d", m.sim.now)
	m.downUntil = m.sim.now + 3000
	m.sim.scheduler.UpdateVMs(m.sim.now, m.sim.now, []fulmarjob.VM{{Name: vm, Pool: "parked", Up: true}})
	m.after(2000, func() { m.sim.scheduler.UpdateVMs(m.sim.now, m.sim.now, nil) })
}

func (m *crashMix) after(delay fulmarclock.Millis, do func()) {
	m.sim.events = append(m.sim.events, event{at: m.sim.now + delay, run: do})
}

// Tasks that crash executors beside crashes of other causes, cuts, drains, maintenance, moves,
// owner changes and lost results. The simulation checks that no task runs twice at a time.
func TestRandomMixOfCrashesAndPlannedEnds(t *testing.T) {
	for seed := range int64(crashMixSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			m := newCrashMix(t, seed)
			deadly := map[string]bool{jobID(6): true, jobID(14): true, jobID(15): true, jobID(31): true}
			m.sim.crashesExecutor = func(id fulmarjob.TaskID) bool { return deadly[id.Job] && id.Index == 1 }
			m.sim.runUntil(1200)
			for i := range 40 {
				m.sim.submit(jobID(i), m.randomStep(i))
				m.sim.runUntil(m.sim.now + fulmarclock.Millis(m.random.intN(600)))
				if m.random.intN(3) == 0 {
					m.disrupt()
				}
			}
			for range 20 {
				m.sim.runUntil(m.sim.now + fulmarclock.Millis(m.random.intN(1500)))
				m.disrupt()
			}
			m.sim.waitFor(m.sim.now+90000, "the other jobs are completed", m.sim.othersCompleted(append(m.lasting(), sortedKeys(deadly)...)...))
			for _, id := range sortedKeys(deadly) {
				if m.sim.jobState(id) == "unknown" {
					continue
				}
				m.sim.checkCrashingTask(fulmarjob.TaskID{Job: id, Index: 1}, 3)
				m.sim.scheduler.Cancel(m.sim.now, m.sim.unixMillis(), id)
			}
			m.sim.waitFor(m.sim.now+longestCut+maxLeaseEnd(0, testParameters.MaxLease), "the lasting tasks are available", m.lastingAreAvailable)
		})
	}
}

// lasting returns the jobs of long-running tasks.
func (m *crashMix) lasting() []string {
	return slices.DeleteFunc(sortedKeys(m.sim.jobs), func(id string) bool { return !m.sim.jobs[id].IsLongRunning() })
}

func (m *crashMix) lastingAreAvailable() bool {
	return !slices.ContainsFunc(m.lasting(), func(id string) bool {
		return m.sim.jobState(id) != "unknown" && m.sim.availableTasks(id) < m.sim.jobs[id].Steps[0].Count
	})
}

// randomStep returns the step of the n-th job; some are gangs, some last.
func (m *crashMix) randomStep(n int) fulmarjob.Step {
	s := step(2 + m.random.intN(4))
	if n%10 == 2 {
		return longRunningStep(2+m.random.intN(2), 1)
	}
	if n%7 == 5 {
		// The pool may shrink to minVMs.
		s.Gang, s.MaxPerExecutor, s.Count = true, 1, min(s.Count, minVMs)
	}
	return s
}
