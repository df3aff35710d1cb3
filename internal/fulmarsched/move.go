package fulmarsched

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// moveKeyPrefix is the prefix of the journal keys of moves.
const moveKeyPrefix = "m/"

const (
	// rebalanceInterval is the time between two checks of the pool sizes.
	rebalanceInterval = 100 * fulmarclock.Millis(1)
	// standbyAfterIdle is how long a VM must be idle before it is moved to standby.
	standbyAfterIdle = 1500 * fulmarclock.Millis(1)
	// moveTimeout limits how long a move that the platform does not confirm is retried.
	moveTimeout = 8 * fulmarclock.Second
	// maxMovesInFlight limits the move commands in flight. Those of an owner that is slow, or of a slow
	// platform, would otherwise pile up and time out behind one another.
	maxMovesInFlight = 8
)

// MoveCommand moves a VM to another pool.
type MoveCommand struct {
	VM    string
	Pool  string
	Token int64
}

func (MoveCommand) isCommand() {}

// vmMove is a move of a VM to another pool.
type vmMove struct {
	vm string
	to string
	// journaled means that the journal holds the move.
	journaled   bool
	chosenAt    fulmarclock.Millis
	sentAt      fulmarclock.Millis
	confirmedAt fulmarclock.Millis
	// inFlight means that the last command has no result yet.
	inFlight bool
	// oldExecutor and oldIncarnation identify the executor incarnation that the move shuts down.
	oldExecutor    string
	oldIncarnation int64
	// finished moves have no further effect. Their record is kept until TakeoverDelay has passed,
	// so that a later owner does not send a command for the VM too soon. removing means that the
	// record is being deleted.
	finished bool
	removing bool
}

// moveRecord is the journal record of a move.
type moveRecord struct {
	To          string `json:"t"`
	Executor    string `json:"i,omitempty"`
	Incarnation int64  `json:"b,omitempty"`
}

// rebalance moves VMs to pools with a deficit, from standby and from pools with idle VMs, and moves
// surplus idle VMs to standby. This adapts the pools to load that shifts between queues and exceeds
// the size of a pool.
func (s *Scheduler) rebalance() {
	if s.configuration == nil {
		return
	}
	s.advanceMoves()
	if s.now < s.rebalancedAt+rebalanceInterval || len(s.vmList.vms) == 0 {
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

// fillDeficits moves VMs to pools that need more: standby VMs first, then idle VMs of pools that
// have more than they need.
func (s *Scheduler) fillDeficits(sizes []*poolSize) {
	for _, p := range sizes {
		for !p.standby && p.need > p.have {
			if !s.moveStandbyVM(p, sizes) && !s.moveIdleVM(p, sizes) {
				break
			}
			p.have++
		}
	}
}

// moveStandbyVM starts to move a standby VM to a pool. It returns false if none can be moved.
func (s *Scheduler) moveStandbyVM(p *poolSize, sizes []*poolSize) bool {
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

// moveIdleVM starts to move an idle VM of a pool with a surplus to another pool. It returns false if
// none can be moved.
func (s *Scheduler) moveIdleVM(p *poolSize, sizes []*poolSize) bool {
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

// moveIdleToStandby moves idle VMs that no pool needs to standby.
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

// startMove records a move; its command is sent once the journal holds the record. It returns
// false if the VM can't be moved now.
func (s *Scheduler) startMove(vm, from, to string, e *executor) bool {
	if vm == "" || s.rejectedMoves[vm+" "+to] || s.isMoving(vm) || s.awaitsPreviousOwner(vm) {
		return false
	}
	m := &vmMove{vm: vm, to: to, chosenAt: s.now}
	if e != nil {
		m.oldExecutor, m.oldIncarnation = e.info.ID, e.info.Incarnation
		e.cordoned = true
	}
	s.moves[vm] = m
	s.changedMoves = append(s.changedMoves, m)
	s.log.Log("moving VM to another pool", "vm", vm, "from", from, "to", to)
	s.log.Count("moves", "begun")
	return true
}

// advanceMoves sends the commands of journaled moves, and finishes moves that are done or have
// timed out.
func (s *Scheduler) advanceMoves() {
	inFlight := s.movesInFlight()
	for _, vm := range sortedKeys(s.moves) {
		m := s.moves[vm]
		switch {
		case m.finished:
			s.removeMoveRecord(m)
		case s.isInheritedAndDone(m):
			s.finishMove(m, "the VM was on standby already")
		case !m.journaled || s.awaitsPreviousOwner(vm):
		case m.confirmedAt > 0:
			s.checkMoveTimeout(m)
		case s.now > m.chosenAt+moveTimeout:
			s.abandonMove(m)
		case m.inFlight || inFlight >= maxMovesInFlight:
		case m.sentAt == 0 || s.now >= m.sentAt+commandRetryInterval:
			s.sendMove(m)
			inFlight++
		}
	}
}

// movesInFlight returns the number of move commands without a result.
func (s *Scheduler) movesInFlight() int {
	count := 0
	for _, m := range s.moves {
		if m.inFlight {
			count++
		}
	}
	return count
}

// abandonMove finishes a move that the platform has not confirmed. Until TakeoverDelay has passed
// since its last command, the platform may still carry the command out, which ends what runs on
// the VM: until then the VM gets no tasks.
func (s *Scheduler) abandonMove(m *vmMove) {
	if m.sentAt == 0 || s.now > m.sentAt+s.params.TakeoverDelay {
		s.finishMove(m, "the platform did not confirm the move in time")
	}
}

func (s *Scheduler) sendMove(m *vmMove) {
	for _, e := range s.allExecutors() {
		if e.mayBeOn(m.vm) && !e.retired && len(e.tasks) > 0 {
			s.finishMove(m, "the VM is in use")
			return
		}
	}
	m.sentAt, m.inFlight = s.now, true
	s.dropLapse(m.vm)
	s.commands = append(s.commands, MoveCommand{VM: m.vm, Pool: m.to, Token: s.token})
}

func (s *Scheduler) finishMove(m *vmMove, reason string) {
	m.finished = true
	s.log.Log("VM move ended", "vm", m.vm, "to", m.to, "why", reason, "took_ms", s.now-m.chosenAt)
	s.uncordon(m.vm)
}

// removeMoveRecord deletes the record of a finished move once TakeoverDelay has passed since its
// command.
func (s *Scheduler) removeMoveRecord(m *vmMove) {
	if !m.removing && !s.awaitsPreviousOwner(m.vm) && s.now > m.sentAt+s.params.TakeoverDelay {
		m.removing = true
		s.changedMoves = append(s.changedMoves, m)
	}
}

// awaitsPreviousOwner reports whether a previous owner may have sent a command for the VM so
// recently that this owner must still wait. Every such command is in the journal before it is sent,
// so the journal lists all these VMs.
func (s *Scheduler) awaitsPreviousOwner(vm string) bool {
	return s.inheritedVMs[vm] && s.now < s.startedAt+s.params.TakeoverDelay
}

// HandleMoveResult applies the platform's result of a move command: confirmed, rejected for good,
// or neither, in which case the command is retried.
func (s *Scheduler) HandleMoveResult(now fulmarclock.Millis, vm, pool string, confirmed, rejected bool) {
	s.now = now
	m := s.moves[vm]
	if m == nil || m.to != pool {
		return
	}
	m.inFlight = false
	if m.finished {
		return
	}
	if confirmed && m.confirmedAt == 0 {
		m.confirmedAt = now
		s.retireIncarnation(m.oldExecutor, m.oldIncarnation, "its VM has moved to another pool")
	}
	if rejected {
		s.rejectedMoves[vm+" "+pool] = true
		s.finishMove(m, "the platform rejected the move")
	}
}

// changedMoveRecords returns the journal records of the moves that changed.
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

// commitMoves marks moves as journaled, and deletes those whose record was removed from the
// journal.
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
	s.moves[vm] = &vmMove{vm: vm, to: r.To, journaled: true, chosenAt: s.now + s.params.TakeoverDelay, oldExecutor: r.Executor, oldIncarnation: r.Incarnation}
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
