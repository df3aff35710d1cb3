// Package fulmarassign holds which pool each VM belongs to, as one value of the
// platform's key-value service, and plans the assignment of VMs without a pool.
//
// Usage:
//
//	table, err := fulmarassign.Decode(entry.Value)
//	next, changed := fulmarassign.Plan(table, vms, document)
//
// As the whole table is one value, a compare-and-swap on it keeps every VM in
// exactly one pool, whatever planners race one another.
package fulmarassign

import (
	"encoding/json"
	"sort"

	"github.com/gravitational/trace"

	"github.com/fulmardrum/fulmardrum/internal/fulmarconfig"
	"github.com/fulmardrum/fulmardrum/internal/fulmarplatform"
)

// TableKey is the key of the table.
const TableKey = "fleet/assignments"

// Assignment is one VM's pool.
type Assignment struct {
	Pool string `json:"pool"`
	// Epoch is unique to this assignment and above that of every earlier one.
	Epoch int64 `json:"epoch"`
	// Next is the pool that the VM moves to; while it is set, the VM gets no new work.
	Next string `json:"next,omitempty"`
	// Since is the table's sequence from which the VM moves.
	Since int64 `json:"since,omitempty"`
	// Boots is the VM's number of boots at the start of the move.
	Boots int64 `json:"boots,omitempty"`
}

// IsMoving tells whether the VM is on its way to another pool.
func (a Assignment) IsMoving() bool { return a.Next != "" }

// Table is the assignment of every VM.
type Table struct {
	// WriteID is unique to the write that made this table.
	WriteID string `json:"write_id"`
	// Sequence counts the tables, one up with each write.
	Sequence int64 `json:"sequence"`
	// Epoch is the highest epoch given so far.
	Epoch int64                 `json:"epoch"`
	VMs   map[string]Assignment `json:"vms"`
}

// Decode parses a table's stored form; an absent value is an empty table.
func Decode(value []byte) (Table, error) {
	table := Table{VMs: map[string]Assignment{}}
	if len(value) == 0 {
		return table, nil
	}
	if err := json.Unmarshal(value, &table); err != nil {
		return Table{}, trace.Wrap(err)
	}
	return table, nil
}

// Encode returns the table's stored form.
func (t Table) Encode() ([]byte, error) {
	value, err := json.Marshal(t)
	return value, trace.Wrap(err)
}

// vanishedKept is the number of VMs that have left the list whose pool is remembered.
const vanishedKept = 1000

// Plan gives each live VM without a pool to the pool that lacks the most VMs,
// and begins moves from pools with too many VMs to those that still lack some.
// Nothing else changes a pool: a VM that comes back to the list, or whose pool was removed,
// keeps its assignment, as requests of that pool may still run on it.
func Plan(table Table, vms []fulmarplatform.VM, document fulmarconfig.Document) (next Table, changed bool) {
	p := planner{
		next:  Table{Sequence: table.Sequence + 1, Epoch: table.Epoch, VMs: make(map[string]Assignment, len(table.VMs))},
		lacks: map[string]int{},
	}
	for name, pool := range document.Pools {
		p.lacks[name] = pool.VMs
	}
	p.keep(table, vms)
	p.assign(vms)
	p.beginMoves(vms)
	p.forgetOldest(vms)
	return p.next, p.changed
}

type planner struct {
	next    Table
	lacks   map[string]int
	moving  int
	changed bool
}

func (p *planner) keep(table Table, vms []fulmarplatform.VM) {
	for id, assignment := range table.VMs {
		p.next.VMs[id] = assignment
	}
	for _, vm := range vms {
		assignment, assigned := table.VMs[vm.ID]
		switch {
		case !assigned:
		case assignment.IsMoving():
			p.lacks[assignment.Next]--
			p.moving++
		default:
			p.lacks[assignment.Pool]--
		}
	}
}

func (p *planner) assign(vms []fulmarplatform.VM) {
	for _, vm := range vms {
		if _, assigned := p.next.VMs[vm.ID]; assigned || vm.State != fulmarplatform.VMLive {
			continue
		}
		pool, found := p.neediest()
		if !found {
			return
		}
		p.next.Epoch++
		p.next.VMs[vm.ID] = Assignment{Pool: pool, Epoch: p.next.Epoch}
		p.lacks[pool]--
		p.changed = true
	}
}

// forgetOldest drops the oldest assignments of VMs that have left the list, above the number kept.
func (p *planner) forgetOldest(vms []fulmarplatform.VM) {
	vanished := map[string]Assignment{}
	for id, assignment := range p.next.VMs {
		vanished[id] = assignment
	}
	for _, vm := range vms {
		delete(vanished, vm.ID)
	}
	if len(vanished) <= vanishedKept {
		return
	}
	ids := make([]string, 0, len(vanished))
	for id := range vanished {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return vanished[ids[i]].Epoch < vanished[ids[j]].Epoch })
	for _, id := range ids[:len(ids)-vanishedKept] {
		delete(p.next.VMs, id)
		p.changed = true
	}
}

func (p *planner) neediest() (pool string, found bool) {
	most := 0
	for name, lack := range p.lacks {
		if lack > most || lack == most && found && name < pool {
			pool, most, found = name, lack, lack > 0
		}
	}
	return pool, found
}
