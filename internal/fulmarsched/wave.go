package fulmarsched

import (
	"encoding/json"
	"math"
	"slices"
	"strconv"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// vmUpkeep is how far the upkeep of a VM is.
type vmUpkeep struct {
	vm string
	// chosen VMs are being emptied; stored tells that the journal holds the choice.
	chosen bool
	stored bool
	// ordered is when the upkeep was confirmed, sent when it was last ordered.
	ordered fulmarclock.Millis
	sent    fulmarclock.Millis
	// before is the executor's life that the upkeep ends.
	beforeID   string
	beforeBorn int64
	done       bool
}

// wave is a request for the upkeep of some VMs.
type wave struct {
	wave      fulmarjob.Wave
	seen      fulmarclock.Millis
	vms       []*vmUpkeep
	completed bool
	dirty     bool
	reported  string
}

// waveRecord is a wave in the journal.
type waveRecord struct {
	Number  int64              `json:"n"`
	MaxDown int                `json:"m"`
	Within  fulmarclock.Millis `json:"w"`
	VMs     []vmRecord         `json:"v"`
}

type vmRecord struct {
	Name   string `json:"n"`
	Chosen bool   `json:"c,omitempty"`
	Done   bool   `json:"d,omitempty"`
	ID     string `json:"i,omitempty"`
	Born   int64  `json:"b,omitempty"`
}

func (w *wave) key() string { return waveKey + strconv.FormatInt(w.wave.Number, 10) }

func (w *wave) record() waveRecord {
	r := waveRecord{Number: w.wave.Number, MaxDown: w.wave.MaxDown, Within: w.wave.Within}
	for _, u := range w.vms {
		r.VMs = append(r.VMs, vmRecord{Name: u.vm, Chosen: u.chosen, Done: u.done, ID: u.beforeID, Born: u.beforeBorn})
	}
	return r
}

func (s *Scheduler) restoreWave(value json.RawMessage) error {
	var r waveRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return err
	}
	w := &wave{wave: fulmarjob.Wave{Number: r.Number, MaxDown: r.MaxDown, Within: r.Within}, seen: s.now}
	for _, v := range r.VMs {
		w.wave.VMs = append(w.wave.VMs, v.Name)
		s.inherited[v.Name] = s.inherited[v.Name] || v.Chosen
		w.vms = append(w.vms, &vmUpkeep{vm: v.Name, chosen: v.Chosen, stored: v.Chosen, done: v.Done, beforeID: v.ID, beforeBorn: v.Born})
	}
	s.waves[r.Number] = w
	return nil
}

// AddWave takes in the operators' request for a wave.
func (s *Scheduler) AddWave(now fulmarclock.Millis, request fulmarjob.Wave) {
	s.now = now
	if s.waves[request.Number] != nil {
		return
	}
	w := &wave{wave: request, seen: now, dirty: true}
	for _, vm := range request.VMs {
		w.vms = append(w.vms, &vmUpkeep{vm: vm})
	}
	s.waves[request.Number] = w
	s.log.Log("wave seen", "wave", request.Number, "vms", len(request.VMs), "max_down", request.MaxDown, "within_ms", request.Within)
}

func (s *Scheduler) executorOfVM(vm string) *executor {
	for _, e := range s.sorted() {
		if e.info.VM == vm && e.listed && !e.retired {
			return e
		}
	}
	return nil
}

// driveWaves chooses the VMs that go down next, empties them and orders their upkeep.
func (s *Scheduler) driveWaves() {
	for _, number := range s.waveNumbers() {
		w := s.waves[number]
		if !w.completed {
			s.driveWave(w)
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

func (s *Scheduler) driveWave(w *wave) {
	s.report(w, false)
	busy := 0
	for _, u := range w.vms {
		if u.chosen && !u.done {
			busy++
		}
	}
	for busy < w.wave.MaxDown {
		u := s.nextVM(w)
		if u == nil {
			break
		}
		s.chooseVM(w, u)
		busy++
	}
	s.orderUpkeeps(w)
	if s.isOver(w) {
		w.completed = true
		s.report(w, true)
		s.log.Log("wave completed", "wave", w.wave.Number, "took_ms", s.now-w.seen, "within_ms", w.wave.Within)
	}
}

func (s *Scheduler) report(w *wave, completed bool) {
	state := strconv.FormatBool(completed)
	if w.reported != state {
		w.reported = state
		s.orders = append(s.orders, WaveReport{Wave: w.wave.Number, Completed: completed})
	}
}

func (s *Scheduler) isOver(w *wave) bool {
	for _, u := range w.vms {
		if !u.done && (!u.chosen || u.ordered == 0) {
			return false
		}
	}
	return true
}

// nextVM returns the VM of a wave with the least running work, or nil when none can go.
func (s *Scheduler) nextVM(w *wave) *vmUpkeep {
	var best *vmUpkeep
	bestWork := 0.0
	hurry := s.mustHurry(w)
	for _, u := range w.vms {
		if u.chosen || u.done || s.isMoving(u.vm) || s.mayBeOrdered(u.vm) {
			continue
		}
		e := s.executorOfVM(u.vm)
		if e == nil && s.now > w.seen+absentVMAfter && best == nil {
			best, bestWork = u, math.MaxFloat64
		}
		if e == nil || e.info.Draining || !e.fenced || !hurry && s.isBusy(e.info.Service) {
			continue
		}
		work := float64(e.used.MilliCPU) + lastingWeight*float64(countLasting(e))
		if best == nil || work < bestWork {
			best, bestWork = u, work
		}
	}
	return best
}

// mustHurry tells whether the rest of a wave would be late if VMs of busy pools were spared any longer.
func (s *Scheduler) mustHurry(w *wave) bool {
	rest := 0
	for _, u := range w.vms {
		if !u.chosen && !u.done {
			rest++
		}
	}
	rounds := (rest + w.wave.MaxDown - 1) / w.wave.MaxDown
	needed := fulmarclock.Millis(rounds+1) * (s.bounds.MaintenanceDuration + emptyingTime)
	return s.now+needed > w.seen+w.wave.Within
}

// busyShare of a pool's room in use makes the pool busy.
const busyShare = 0.5

// isBusy tells whether a pool has waiting work, or little room left.
func (s *Scheduler) isBusy(service string) bool {
	p := s.summary[service]
	if p == nil {
		return false
	}
	return p.ready > 0 || float64(p.used.MilliCPU) > busyShare*float64(p.capacity.MilliCPU)
}

// lastingWeight makes VMs without lasting tasks go first.
const lastingWeight = 100000

func countLasting(e *executor) int {
	n := 0
	for _, t := range e.tasks {
		if t.step.Lasting {
			n++
		}
	}
	return n
}

func (s *Scheduler) chooseVM(w *wave, u *vmUpkeep) {
	e := s.executorOfVM(u.vm)
	u.chosen, u.stored = true, false
	w.dirty = true
	s.waved = append(s.waved, u)
	if e == nil {
		s.log.Log("VM without executor chosen for upkeep", "vm", u.vm, "wave", w.wave.Number)
		return
	}
	u.beforeID, u.beforeBorn = e.info.ID, e.info.Born
	e.cordoned = true
	s.log.Log("VM chosen for upkeep", "vm", u.vm, "wave", w.wave.Number, "executor", e.info.ID, "tasks", len(e.tasks))
}

// orderUpkeeps orders the upkeep of chosen VMs that are empty, and moves lasting
// tasks away from those that are not.
func (s *Scheduler) orderUpkeeps(w *wave) {
	for _, u := range w.vms {
		if !u.chosen || u.done || u.ordered > 0 {
			s.settleVM(w, u)
			continue
		}
		if !s.emptyVM(u) || !u.stored || s.mayBeOrdered(u.vm) || u.sent > 0 && s.now < u.sent+orderRetry {
			continue
		}
		u.sent = s.now
		s.orders = append(s.orders, MaintenanceCommand{VM: u.vm, Wave: w.wave.Number, Token: s.token})
	}
}

// emptyVM keeps new tasks away from a VM, moves lasting ones, and tells whether
// nothing runs there, whichever life of its executor that is. The journal must hold
// that too: a later owner could not know that the order has ended the life, and would
// wait for the lease of the tasks that the journal still places there.
func (s *Scheduler) emptyVM(u *vmUpkeep) bool {
	empty := true
	for _, e := range s.sorted() {
		if e.retired || e.info.VM != u.vm && e.info.ID != u.beforeID {
			continue
		}
		e.cordoned = true
		if e.listed {
			u.beforeID, u.beforeBorn = e.info.ID, e.info.Born
		}
		s.moveLasting(e)
		empty = empty && len(e.tasks) == 0 && e.idleSince < s.journaled
	}
	return empty
}

// settleVM counts a VM as back when its upkeep has surely ended.
func (s *Scheduler) settleVM(w *wave, u *vmUpkeep) {
	if u.done || u.ordered == 0 || s.now < u.ordered+returnedVMAfter*s.bounds.MaintenanceDuration {
		return
	}
	u.done, w.dirty = true, true
}

// moveLasting stops lasting tasks on an executor whose VM is to go down, within their steps' bounds.
func (s *Scheduler) moveLasting(e *executor) {
	for _, t := range sortedTasks(e) {
		if t.step.Lasting && !t.stopping && !t.leaving && s.maySpare(t) {
			s.log.Log("lasting task moved", "job", t.id.Job, "step", t.id.Step, "index", t.id.Index, "run", t.run, "executor", e.info.ID)
			s.leave(t)
		}
	}
}

// leave chooses a lasting task to move; its stop goes out when the journal holds
// the choice, so that a later owner does not take the task for one at work.
func (s *Scheduler) leave(t *task) {
	t.leaving, t.leavingStored = true, false
	s.leavers = append(s.leavers, t)
	s.touch(t.job)
}

// maySpare tells whether a lasting task may be away for a while: fewer tasks of its
// step than its bound allows are away, and there is room for it elsewhere.
func (s *Scheduler) maySpare(t *task) bool {
	o := t.job.occurrence(t.id.Occurrence)
	if o == nil {
		return true
	}
	members := o.steps[t.id.Step]
	away := 0
	for _, m := range members {
		if m != t && !m.isAtWork() {
			away++
		}
	}
	if t.step.HasMaxUnavailable && away >= t.step.MaxUnavailable {
		return false
	}
	return choose(t, members, s.usableByService()[t.job.queue.Service]) != nil
}

// HandleMaintenanceResult takes in what the platform said to an upkeep.
func (s *Scheduler) HandleMaintenanceResult(now fulmarclock.Millis, vm string, number int64, done, impossible bool) {
	s.now = now
	w := s.waves[number]
	if w == nil {
		return
	}
	for _, u := range w.vms {
		if u.vm != vm || u.done {
			continue
		}
		if done && u.ordered == 0 {
			u.ordered = now
			s.log.Log("upkeep confirmed", "vm", vm, "wave", number)
			if e := s.executors[u.beforeID]; e != nil && e.info.Born == u.beforeBorn {
				s.probe(e)
			}
		}
		if impossible {
			u.done, w.dirty = true, true
			s.log.Log("upkeep impossible", "vm", vm, "wave", number)
		}
	}
}

// outlivedUpkeep counts a VM as back whose executor answers a question that was
// asked after the platform had confirmed the upkeep: an owner before has ordered it,
// and this is already the life after it.
func (s *Scheduler) outlivedUpkeep(e *executor, asked fulmarclock.Millis) {
	for _, w := range s.waves {
		for _, u := range w.vms {
			if u.vm != e.info.VM || u.done || u.ordered == 0 || asked <= u.ordered {
				continue
			}
			u.done, w.dirty = true, true
			e.cordoned = false
			s.log.Log("upkeep was done before", "vm", u.vm, "wave", w.wave.Number, "executor", e.info.ID)
		}
	}
}

// returnedVM notes that a VM is back from its upkeep when its executor has a later life.
func (s *Scheduler) returnedVM(e *executor) {
	for _, w := range s.waves {
		for _, u := range w.vms {
			if u.vm != e.info.VM || u.done || !u.chosen {
				continue
			}
			if u.ordered == 0 {
				e.cordoned = true
				continue
			}
			if e.info.ID != u.beforeID || e.info.Born != u.beforeBorn {
				u.done, w.dirty = true, true
				e.cordoned = false
				s.log.Log("VM is back from its upkeep", "vm", u.vm, "wave", w.wave.Number)
			}
		}
	}
}
