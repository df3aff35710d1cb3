package fulmarsched

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// moveKey is the prefix of the records of moves.
const moveKeyPrefix = "m/"

const (
	// balanceEvery is the time between two looks at the sizes of the pools.
	rebalanceInterval = 100 * fulmarclock.Millis(1)
	// parkAfter is how long a VM is idle before it goes to standby.
	standbyAfterIdle = 1500 * fulmarclock.Millis(1)
	// moveGivenUp bounds how long a move is ordered again.
	moveTimeout = 8 * fulmarclock.Second
	// arrivalSlack is added to the time of a move before its VM no longer counts as arriving.
	arrivalMargin = 3 * fulmarclock.Second
)

// MoveOrder takes a VM to another pool.
type MoveOrder struct {
	VM    string
	Pool  string
	Token int64
}

func (MoveOrder) isOrder() {}

// vmMove is a change of a VM's pool that is under way.
type vmMove struct {
	vm   string
	to   string
	from string
	// stored tells that the journal holds the move.
	journaled   bool
	chosenAt    fulmarclock.Millis
	sentAt      fulmarclock.Millis
	confirmedAt fulmarclock.Millis
	// beforeID and beforeBorn are the life of the executor that the move ends.
	oldExecutor    string
	oldIncarnation int64
	// ending moves count no more; their record stays until no other owner can order the VM too soon after them.
	finished   bool
	finishedAt fulmarclock.Millis
	removing   bool
}

// moveRecord is a move in the journal.
type moveRecord struct {
	To          string `json:"t"`
	Executor    string `json:"i,omitempty"`
	Incarnation int64  `json:"b,omitempty"`
}

// SeeVMs takes in the platform's list of VMs.
func (s *Scheduler) SeeVMs(now fulmarclock.Millis, vms []fulmarjob.VM) {
	s.now = now
	clear(s.vms)
	for _, v := range vms {
		s.vms[v.Name] = v
	}
}

// balance moves VMs to the pools that need them, from standby and from pools with
// idle ones, and idle VMs to standby. It answers demand that turns from queue to
// queue and asks for more than a pool holds.
func (s *Scheduler) rebalance() {
	if s.configuration == nil {
		return
	}
	s.advanceMoves()
	if s.now < s.rebalancedAt+rebalanceInterval || len(s.vms) == 0 {
		return
	}
	s.rebalancedAt = s.now
	sizes := s.poolSizes()
	s.fillDeficits(sizes)
	s.moveIdleToStandby(sizes)
}

func (s *Scheduler) isMoving(vm string) bool {
	m := s.moves[vm]
	return m != nil && !m.finished
}

func (s *Scheduler) isInMaintenance(vm string) bool {
	for _, w := range s.waves {
		for _, m := range w.vms {
			if m.vm == vm && m.chosen && !m.done {
				return true
			}
		}
	}
	return false
}

// fillDeficits moves VMs to pools that lack some: parked ones first, then idle
// ones of pools with more than they need.
func (s *Scheduler) fillDeficits(sizes []*poolSize) {
	for _, p := range sizes {
		for !p.standby && p.need > p.have {
			if !s.takeStandbyVM(p, sizes) && !s.takeIdleVM(p, sizes) {
				break
			}
			p.have++
		}
	}
}

func (s *Scheduler) takeStandbyVM(p *poolSize, sizes []*poolSize) bool {
	for _, from := range sizes {
		for len(from.standbyVMs) > 0 {
			vm := from.standbyVMs[0]
			from.standbyVMs = from.standbyVMs[1:]
			if s.startMove(vm, from.service, p.service, nil) {
				return true
			}
		}
	}
	return false
}

func (s *Scheduler) takeIdleVM(p *poolSize, sizes []*poolSize) bool {
	for _, from := range slices.Backward(sizes) {
		for !from.standby && from != p && from.have > from.need && len(from.idleExecutors) > 0 {
			e := from.idleExecutors[0]
			from.idleExecutors = from.idleExecutors[1:]
			if s.startMove(e.info.VM, from.service, p.service, e) {
				from.have--
				return true
			}
		}
	}
	return false
}

// parkIdle moves VMs that nobody needs to standby.
func (s *Scheduler) moveIdleToStandby(sizes []*poolSize) {
	standbyIndex := slices.IndexFunc(sizes, func(p *poolSize) bool { return p.standby })
	if standbyIndex < 0 {
		return
	}
	for _, p := range sizes {
		for !p.standby && p.have > p.need && len(p.idleExecutors) > 0 {
			e := p.idleExecutors[0]
			p.idleExecutors = p.idleExecutors[1:]
			if s.now < e.idleSince+standbyAfterIdle {
				break
			}
			if s.startMove(e.info.VM, p.service, sizes[standbyIndex].service, e) {
				p.have--
			}
		}
	}
}

// beginMove chooses a move; its order goes out when the journal holds it.
func (s *Scheduler) startMove(vm, from, to string, e *executor) bool {
	if vm == "" || s.rejectedMoves[vm+" "+to] || s.isMoving(vm) || s.awaitsPreviousOwner(vm) {
		return false
	}
	m := &vmMove{vm: vm, from: from, to: to, chosenAt: s.now}
	if e != nil {
		m.oldExecutor, m.oldIncarnation = e.info.ID, e.info.Born
		e.cordoned = true
	}
	s.moves[vm] = m
	s.changedMoves = append(s.changedMoves, m)
	s.log.Decide("VM moves", "vm", vm, "from", from, "to", to)
	s.log.Count("moves", "begun")
	return true
}

// driveMoves orders the moves that are stored and ends those that are done.
func (s *Scheduler) advanceMoves() {
	for _, vm := range sortedKeys(s.moves) {
		m := s.moves[vm]
		switch {
		case m.finished:
			s.removeMoveRecord(m)
		case !m.journaled || s.awaitsPreviousOwner(vm):
		case m.confirmedAt > 0:
			s.checkMoveTimeout(m)
		case s.now > m.chosenAt+moveTimeout:
			s.finishMove(m, "it was not confirmed in time")
		case m.sentAt == 0 || s.now >= m.sentAt+commandRetryInterval:
			s.sendMove(m)
		}
	}
}

func (s *Scheduler) sendMove(m *vmMove) {
	for _, e := range s.allExecutors() {
		if e.info.VM == m.vm && !e.retired && len(e.tasks) > 0 {
			s.finishMove(m, "the VM is in use")
			return
		}
	}
	m.sentAt = s.now
	s.commands = append(s.commands, MoveOrder{VM: m.vm, Pool: m.to, Token: s.token})
}

// settleMove ends a move whose VM has arrived, or should have long ago.
func (s *Scheduler) checkMoveTimeout(m *vmMove) {
	service, _ := s.configuration.ServiceNamed(m.to)
	if service.Standby && s.now > m.confirmedAt+s.params.Move {
		s.finishMove(m, "the VM is on standby")
		return
	}
	if s.now > m.confirmedAt+s.params.Move+arrivalMargin {
		s.finishMove(m, "the VM did not arrive in time")
	}
}

func (s *Scheduler) finishMove(m *vmMove, reason string) {
	m.finished, m.finishedAt = true, s.now
	s.log.Decide("move ended", "vm", m.vm, "to", m.to, "why", reason, "took_ms", s.now-m.chosenAt)
	for _, e := range s.allExecutors() {
		if e.info.VM == m.vm && !e.retired && !s.isInMaintenance(m.vm) {
			e.cordoned = false
		}
	}
}

// forgetMove removes the record of a move that ended long enough ago.
func (s *Scheduler) removeMoveRecord(m *vmMove) {
	if !m.removing && s.now > m.sentAt+s.params.OwnerPause {
		m.removing = true
		s.changedMoves = append(s.changedMoves, m)
	}
}

// mayBeOrdered tells whether the owner before may have ordered a VM so shortly ago
// that this owner must wait. Every order is in the journal before it is sent.
func (s *Scheduler) awaitsPreviousOwner(vm string) bool {
	return s.inheritedVMs[vm] && s.now < s.startedAt+s.params.OwnerPause
}

// MoveAnswered takes in what the platform said to a move.
func (s *Scheduler) MoveAnswered(now fulmarclock.Millis, vm, pool string, confirmed, rejected bool) {
	s.now = now
	m := s.moves[vm]
	if m == nil || m.to != pool || m.finished {
		return
	}
	if confirmed && m.confirmedAt == 0 {
		m.confirmedAt = now
		s.retireIncarnation(m.oldExecutor, m.oldIncarnation, "its VM has moved")
	}
	if rejected {
		s.rejectedMoves[vm+" "+pool] = true
		s.finishMove(m, "the platform does not allow it")
	}
}

// arrivedVM ends the move of a VM whose executor has begun its life in the new pool.
func (s *Scheduler) handleArrivedVM(e *executor) {
	m := s.moves[e.info.VM]
	if m == nil || m.finished {
		return
	}
	if e.info.ID == m.oldExecutor && e.info.Born == m.oldIncarnation {
		e.cordoned = true
		return
	}
	if e.info.Service == m.to {
		s.finishMove(m, "the VM has arrived")
	}
}

// moveRecords returns the records of the moves that changed.
func (s *Scheduler) changedMoveRecords() []Record {
	var records []Record
	for _, m := range s.changedMoves {
		records = append(records, s.encodeMove(m.vm))
	}
	return records
}

func (s *Scheduler) encodeMove(vm string) Record {
	m := s.moves[vm]
	if m == nil || m.removing {
		return Record{Key: moveKeyPrefix + vm}
	}
	return encodeRecord(moveKeyPrefix+vm, moveRecord{To: m.to, Executor: m.oldExecutor, Incarnation: m.oldIncarnation})
}

// settleMoves releases the orders of moves that the journal holds, and forgets those that it no longer does.
func (s *Scheduler) commitMoves(moves []*vmMove) {
	for _, m := range moves {
		m.journaled = true
		if m.removing && s.moves[m.vm] == m {
			delete(s.moves, m.vm)
		}
	}
}

func (s *Scheduler) restoreMove(vm string, value json.RawMessage) error {
	var r moveRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return err
	}
	s.inheritedVMs[vm] = true
	s.moves[vm] = &vmMove{vm: vm, to: r.To, journaled: true, chosenAt: s.now + s.params.OwnerPause, oldExecutor: r.Executor, oldIncarnation: r.Incarnation}
	return nil
}

func (s *Scheduler) restoreMoves(records []Record) error {
	for _, r := range records {
		if vm, found := strings.CutPrefix(r.Key, moveKeyPrefix); found {
			if err := s.restoreMove(vm, r.Value); err != nil {
				return &fulmarjob.FormatError{What: r.Key, Cause: err}
			}
		}
	}
	return nil
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
