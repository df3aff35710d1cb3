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
}

// Table is the assignment of every VM.
type Table struct {
	// WriteID is unique to the write that made this table.
	WriteID string `json:"write_id"`
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

// Plan gives each live VM without a pool to the pool that lacks the most VMs,
// and forgets the VMs that have left the list or whose pool is gone. It moves no VM.
func Plan(table Table, vms []fulmarplatform.VM, document fulmarconfig.Document) (next Table, changed bool) {
	p := planner{
		next:  Table{Epoch: table.Epoch, VMs: make(map[string]Assignment, len(vms))},
		lacks: map[string]int{}, document: document,
	}
	for name, pool := range document.Pools {
		p.lacks[name] = pool.VMs
	}
	p.keep(table, vms)
	p.assign(vms)
	return p.next, p.changed || len(p.next.VMs) != len(table.VMs)
}

type planner struct {
	next     Table
	lacks    map[string]int
	document fulmarconfig.Document
	changed  bool
}

func (p *planner) keep(table Table, vms []fulmarplatform.VM) {
	for _, vm := range vms {
		assignment, assigned := table.VMs[vm.ID]
		if _, known := p.document.Pools[assignment.Pool]; assigned && known {
			p.next.VMs[vm.ID] = assignment
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

func (p *planner) neediest() (pool string, found bool) {
	names := make([]string, 0, len(p.lacks))
	for name := range p.lacks {
		names = append(names, name)
	}
	sort.Strings(names)
	most := 0
	for _, name := range names {
		if p.lacks[name] > most {
			pool, most = name, p.lacks[name]
		}
	}
	return pool, most > 0
}
