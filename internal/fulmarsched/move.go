package fulmarsched

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// moveKey is the prefix of the records of moves.
const moveKey = "m/"

const (
	// balanceEvery is the time between two looks at the sizes of the pools.
	balanceEvery = 100 * fulmarclock.Millis(1)
	// parkAfter is how long a VM is idle before it goes to standby.
	parkAfter = 1500 * fulmarclock.Millis(1)
	// moveGivenUp bounds how long a move is ordered again.
	moveGivenUp = 8 * fulmarclock.Second
	// arrivalSlack is added to the time of a move before its VM no longer counts as arriving.
	arrivalSlack = 3 * fulmarclock.Second
)

// MoveCommand takes a VM to another pool.
type MoveCommand struct {
	VM    string
	Pool  string
	Token int64
}

func (MoveCommand) isOrder() {}

// vmMove is a change of a VM's pool that is under way.
type vmMove struct {
	vm   string
	to   string
	from string
	// stored tells that the journal holds the move.
	stored  bool
	chosen  fulmarclock.Millis
	sent    fulmarclock.Millis
	ordered fulmarclock.Millis
	// beforeID and beforeBorn are the life of the executor that the move ends.
	beforeID   string
	beforeBorn int64
	// ending moves count no more; their record stays until no other owner can order the VM too soon after them.
	ending    bool
	ended     fulmarclock.Millis
	forgotten bool
}

// moveRecord is a move in the journal.
type moveRecord struct {
	To   string `json:"t"`
	ID   string `json:"i,omitempty"`
	Born int64  `json:"b,omitempty"`
}

// UpdateVMs takes in the platform's list of VMs.
func (s *Scheduler) UpdateVMs(now fulmarclock.Millis, vms []fulmarjob.VM) {
	s.now = now
	clear(s.vms)
	for _, v := range vms {
		s.vms[v.Name] = v
	}
}

// balance moves VMs to the pools that need them, from standby and from pools with
// idle ones, and idle VMs to standby. It answers demand that turns from queue to
// queue and asks for more than a pool holds.
func (s *Scheduler) balance() {
	if s.configuration == nil {
		return
	}
	s.driveMoves()
	if s.now < s.balancedAt+balanceEvery || len(s.vms) == 0 {
		return
	}
	s.balancedAt = s.now
	sizes := s.sizes()
	s.fillDeficits(sizes)
	s.parkIdle(sizes)
}

func (s *Scheduler) isMoving(vm string) bool {
	m := s.moves[vm]
	return m != nil && !m.ending
}

func (s *Scheduler) isInUpkeep(vm string) bool {
	for _, w := range s.waves {
		for _, u := range w.vms {
			if u.vm == vm && u.chosen && !u.done {
				return true
			}
		}
	}
	return false
}

// fillDeficits moves VMs to pools that lack some: parked ones first, then idle
// ones of pools with more than they need.
func (s *Scheduler) fillDeficits(sizes []*size) {
	for _, z := range sizes {
		for !z.standby && z.need > z.have {
			if !s.takeParked(z, sizes) && !s.takeIdle(z, sizes) {
				break
			}
			z.have++
		}
	}
}

func (s *Scheduler) takeParked(z *size, sizes []*size) bool {
	for _, from := range sizes {
		for len(from.parked) > 0 {
			vm := from.parked[0]
			from.parked = from.parked[1:]
			if s.beginMove(vm, from.service, z.service, nil) {
				return true
			}
		}
	}
	return false
}

func (s *Scheduler) takeIdle(z *size, sizes []*size) bool {
	for _, from := range slices.Backward(sizes) {
		for !from.standby && from != z && from.have > from.need && len(from.idle) > 0 {
			e := from.idle[0]
			from.idle = from.idle[1:]
			if s.beginMove(e.info.VM, from.service, z.service, e) {
				from.have--
				return true
			}
		}
	}
	return false
}

// parkIdle moves VMs that nobody needs to standby.
func (s *Scheduler) parkIdle(sizes []*size) {
	i := slices.IndexFunc(sizes, func(z *size) bool { return z.standby })
	if i < 0 {
		return
	}
	for _, z := range sizes {
		for !z.standby && z.have > z.need && len(z.idle) > 0 {
			e := z.idle[0]
			z.idle = z.idle[1:]
			if s.now < e.idleSince+parkAfter {
				break
			}
			if s.beginMove(e.info.VM, z.service, sizes[i].service, e) {
				z.have--
			}
		}
	}
}

// beginMove chooses a move; its order goes out when the journal holds it.
func (s *Scheduler) beginMove(vm, from, to string, e *executor) bool {
	if vm == "" || s.barred[vm+" "+to] || s.isMoving(vm) || s.mayBeOrdered(vm) {
		return false
	}
	m := &vmMove{vm: vm, from: from, to: to, chosen: s.now}
	if e != nil {
		m.beforeID, m.beforeBorn = e.info.ID, e.info.Born
		e.cordoned = true
	}
	s.moves[vm] = m
	s.moved = append(s.moved, m)
	s.log.Log("VM moves", "vm", vm, "from", from, "to", to)
	s.log.Count("moves", "begun")
	return true
}

// driveMoves orders the moves that are stored and ends those that are done.
func (s *Scheduler) driveMoves() {
	for _, vm := range sortedKeys(s.moves) {
		m := s.moves[vm]
		switch {
		case m.ending:
			s.forgetMove(m)
		case !m.stored || s.mayBeOrdered(vm):
		case m.ordered > 0:
			s.settleMove(m)
		case s.now > m.chosen+moveGivenUp:
			s.endMove(m, "it was not confirmed in time")
		case m.sent == 0 || s.now >= m.sent+orderRetry:
			s.orderMove(m)
		}
	}
}

func (s *Scheduler) orderMove(m *vmMove) {
	for _, e := range s.sorted() {
		if e.info.VM == m.vm && !e.retired && len(e.tasks) > 0 {
			s.endMove(m, "the VM is in use")
			return
		}
	}
	m.sent = s.now
	s.orders = append(s.orders, MoveCommand{VM: m.vm, Pool: m.to, Token: s.token})
}

// settleMove ends a move whose VM has arrived, or should have long ago.
func (s *Scheduler) settleMove(m *vmMove) {
	service, _ := s.configuration.ServiceNamed(m.to)
	if service.Standby && s.now > m.ordered+s.bounds.MoveDuration {
		s.endMove(m, "the VM is on standby")
		return
	}
	if s.now > m.ordered+s.bounds.MoveDuration+arrivalSlack {
		s.endMove(m, "the VM did not arrive in time")
	}
}

func (s *Scheduler) endMove(m *vmMove, why string) {
	m.ending, m.ended = true, s.now
	s.log.Log("move ended", "vm", m.vm, "to", m.to, "why", why, "took_ms", s.now-m.chosen)
	for _, e := range s.sorted() {
		if e.info.VM == m.vm && !e.retired && !s.isInUpkeep(m.vm) {
			e.cordoned = false
		}
	}
}

// forgetMove removes the record of a move that ended long enough ago.
func (s *Scheduler) forgetMove(m *vmMove) {
	if !m.forgotten && s.now > m.sent+s.bounds.TakeoverDelay {
		m.forgotten = true
		s.moved = append(s.moved, m)
	}
}

// mayBeOrdered tells whether the owner before may have ordered a VM so shortly ago
// that this owner must wait. Every order is in the journal before it is sent.
func (s *Scheduler) mayBeOrdered(vm string) bool {
	return s.inherited[vm] && s.now < s.openedAt+s.bounds.TakeoverDelay
}

// HandleMoveResult takes in what the platform said to a move.
func (s *Scheduler) HandleMoveResult(now fulmarclock.Millis, vm, pool string, done, impossible bool) {
	s.now = now
	m := s.moves[vm]
	if m == nil || m.to != pool || m.ending {
		return
	}
	if done && m.ordered == 0 {
		m.ordered = now
		s.retireLife(m.beforeID, m.beforeBorn, "its VM has moved")
	}
	if impossible {
		s.barred[vm+" "+pool] = true
		s.endMove(m, "the platform does not allow it")
	}
}

// arrivedVM ends the move of a VM whose executor has begun its life in the new pool.
func (s *Scheduler) arrivedVM(e *executor) {
	m := s.moves[e.info.VM]
	if m == nil || m.ending {
		return
	}
	if e.info.ID == m.beforeID && e.info.Born == m.beforeBorn {
		e.cordoned = true
		return
	}
	if e.info.Service == m.to {
		s.endMove(m, "the VM has arrived")
	}
}

// moveRecords returns the records of the moves that changed.
func (s *Scheduler) moveRecords() []Record {
	var records []Record
	for _, m := range s.moved {
		records = append(records, s.moveRecord(m.vm))
	}
	return records
}

func (s *Scheduler) moveRecord(vm string) Record {
	m := s.moves[vm]
	if m == nil || m.forgotten {
		return Record{Key: moveKey + vm}
	}
	return encode(moveKey+vm, moveRecord{To: m.to, ID: m.beforeID, Born: m.beforeBorn})
}

// settleMoves releases the orders of moves that the journal holds, and forgets those that it no longer does.
func (s *Scheduler) settleMoves(moved []*vmMove) {
	for _, m := range moved {
		m.stored = true
		if m.forgotten && s.moves[m.vm] == m {
			delete(s.moves, m.vm)
		}
	}
}

func (s *Scheduler) restoreMove(vm string, value json.RawMessage) error {
	var r moveRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return err
	}
	s.inherited[vm] = true
	s.moves[vm] = &vmMove{vm: vm, to: r.To, stored: true, chosen: s.now + s.bounds.TakeoverDelay, beforeID: r.ID, beforeBorn: r.Born}
	return nil
}

func (s *Scheduler) restoreMoves(records []Record) error {
	for _, r := range records {
		if vm, found := strings.CutPrefix(r.Key, moveKey); found {
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
