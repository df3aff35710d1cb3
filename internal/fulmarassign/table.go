// Package fulmarassign defines the assignment table, which maps each VM to a
// pool, and plans its changes: new VMs get a pool, and surplus VMs move to
// pools with a deficit.
//
// Usage:
//
//	table, err := fulmarassign.Decode(entry.Value)
//	next, changed := fulmarassign.Plan(table, vms, document)
//
// The whole table is stored as one value of the platform's key-value service.
// Updating it by compare-and-swap keeps every VM in exactly one pool, even when
// several members plan at the same time.
package fulmarassign

import (
	"encoding/json"
	"sort"

	"github.com/gravitational/trace"

	"github.com/fulmardrum/fulmardrum/internal/fulmarconfig"
	"github.com/fulmardrum/fulmardrum/internal/fulmarplatform"
)

// TableKey is the table's key in the platform's key-value service.
const TableKey = "fleet/assignments"

// Assignment is one VM's pool and, while the VM moves, its next pool.
type Assignment struct {
	Pool string `json:"pool"`
	// Epoch is unique to this assignment and higher than that of every earlier one.
	Epoch int64 `json:"epoch"`
	// NextPool is the pool that the VM is moving to; while it is set, the VM gets no new requests.
	NextPool string `json:"next,omitempty"`
	// MoveSequence is the sequence number of the table that started the move.
	MoveSequence int64 `json:"since,omitempty"`
	// BootsAtMoveStart is the VM's boot count when the move started.
	BootsAtMoveStart int64 `json:"boots,omitempty"`
}

// IsMoving reports whether the VM is moving to another pool.
func (a Assignment) IsMoving() bool { return a.NextPool != "" }

// Table holds the assignments of all VMs by VM ID.
type Table struct {
	// WriteID identifies the write that stored this table.
	WriteID string `json:"write_id"`
	// Sequence increases by one with each write.
	Sequence int64 `json:"sequence"`
	// Epoch is the highest epoch assigned so far.
	Epoch int64                 `json:"epoch"`
	VMs   map[string]Assignment `json:"vms"`
}

// Decode parses a stored table; an empty value, as of an absent key, gives an empty table. It fails
// if the value has no map of assignments.
func Decode(value []byte) (Table, error) {
	if len(value) == 0 {
		return Table{VMs: map[string]Assignment{}}, nil
	}
	var table Table
	if err := json.Unmarshal(value, &table); err != nil {
		return Table{}, trace.Wrap(err)
	}
	if table.VMs == nil {
		return Table{}, trace.BadParameter("a table without assignments")
	}
	return table, nil
}

// Encode returns the table as JSON, the form in which it is stored.
func (t Table) Encode() ([]byte, error) {
	value, err := json.Marshal(t)
	return value, trace.Wrap(err)
}

// maxMissingVMs is the maximum number of VMs missing from the VM list whose assignment is kept.
const maxMissingVMs = 1000

// Plan returns the table that follows table for the given VM list and
// configuration, and whether any assignment changed. It assigns each live VM
// without a pool to the pool with the largest deficit, and starts moves from
// pools with a surplus to pools that still have a deficit. Every other VM keeps its
// pool, even if it is missing from the list or its pool was removed, because requests
// of that pool may still run on it; only beyond maxMissingVMs are the assignments of
// missing VMs dropped, the oldest first.
func Plan(table Table, vms []fulmarplatform.VM, document fulmarconfig.Document) (next Table, changed bool) {
	p := planner{
		next:     Table{Sequence: table.Sequence + 1, Epoch: table.Epoch, VMs: make(map[string]Assignment, len(table.VMs))},
		deficits: map[string]int{},
	}
	for name, pool := range document.Pools {
		p.deficits[name] = pool.VMs
	}
	p.copyAssignments(table, vms)
	p.assignNewVMs(vms)
	p.startMoves(vms)
	p.dropOldestMissing(vms)
	return p.next, p.changed
}

type planner struct {
	next     Table
	deficits map[string]int
	moving   int
	changed  bool
}

func (p *planner) copyAssignments(table Table, vms []fulmarplatform.VM) {
	for id, assignment := range table.VMs {
		p.next.VMs[id] = assignment
	}
	for _, vm := range vms {
		assignment, assigned := table.VMs[vm.ID]
		switch {
		case !assigned:
		case assignment.IsMoving():
			p.deficits[assignment.NextPool]--
			p.moving++
		default:
			p.deficits[assignment.Pool]--
		}
	}
}

func (p *planner) assignNewVMs(vms []fulmarplatform.VM) {
	for _, vm := range vms {
		if _, assigned := p.next.VMs[vm.ID]; assigned || vm.State != fulmarplatform.VMLive {
			continue
		}
		pool, found := p.poolWithLargestDeficit()
		if !found {
			return
		}
		p.next.Epoch++
		p.next.VMs[vm.ID] = Assignment{Pool: pool, Epoch: p.next.Epoch}
		p.deficits[pool]--
		p.changed = true
	}
}

// dropOldestMissing deletes the assignments with the lowest epochs of VMs
// missing from the list, so that at most maxMissingVMs of them remain.
func (p *planner) dropOldestMissing(vms []fulmarplatform.VM) {
	missing := map[string]Assignment{}
	for id, assignment := range p.next.VMs {
		missing[id] = assignment
	}
	for _, vm := range vms {
		delete(missing, vm.ID)
	}
	if len(missing) <= maxMissingVMs {
		return
	}
	ids := make([]string, 0, len(missing))
	for id := range missing {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return missing[ids[i]].Epoch < missing[ids[j]].Epoch })
	for _, id := range ids[:len(ids)-maxMissingVMs] {
		delete(p.next.VMs, id)
		p.changed = true
	}
}

func (p *planner) poolWithLargestDeficit() (pool string, found bool) {
	maxDeficit := 0
	for name, deficit := range p.deficits {
		if deficit > maxDeficit || deficit == maxDeficit && found && name < pool {
			pool, maxDeficit, found = name, deficit, deficit > 0
		}
	}
	return pool, found
}
