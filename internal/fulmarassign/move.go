package fulmarassign

import "github.com/fulmardrum/fulmardrum/internal/fulmarplatform"

// movesMost bounds the VMs that move at a time.
const movesMost = 4

// beginMoves marks VMs of pools with too many for those that lack some. A pool
// gives only what it has above its number, so its availability budget holds.
func (p *planner) beginMoves(vms []fulmarplatform.VM) {
	for p.moving < movesMost {
		needy, found := p.neediest()
		if !found {
			return
		}
		vm, found := p.newestSurplus(vms)
		if !found {
			return
		}
		assignment := p.next.VMs[vm.ID]
		p.lacks[assignment.Pool]++
		p.lacks[needy]--
		assignment.Next, assignment.Since, assignment.Boots = needy, p.next.Sequence, vm.Boots
		p.next.VMs[vm.ID] = assignment
		p.moving++
		p.changed = true
	}
}

// newestSurplus returns the live VM with the highest epoch of the pools that have too many.
func (p *planner) newestSurplus(vms []fulmarplatform.VM) (newest fulmarplatform.VM, found bool) {
	for _, vm := range vms {
		assignment, assigned := p.next.VMs[vm.ID]
		lack, known := p.lacks[assignment.Pool]
		isSurplus := assigned && known && lack < 0 && !assignment.IsMoving() && vm.State == fulmarplatform.VMLive
		if isSurplus && (!found || assignment.Epoch > p.next.VMs[newest.ID].Epoch) {
			newest, found = vm, true
		}
	}
	return newest, found
}

// Moving returns the VMs that are on their way to another pool.
func (t Table) Moving() []string {
	var moving []string
	for id, assignment := range t.VMs {
		if assignment.IsMoving() {
			moving = append(moving, id)
		}
	}
	return moving
}

// Finish returns the table after a VM has arrived in its next pool, under a new epoch.
func (t Table) Finish(vm string) Table {
	next := Table{Sequence: t.Sequence + 1, Epoch: t.Epoch + 1, VMs: make(map[string]Assignment, len(t.VMs))}
	for id, assignment := range t.VMs {
		next.VMs[id] = assignment
	}
	next.VMs[vm] = Assignment{Pool: t.VMs[vm].Next, Epoch: next.Epoch}
	return next
}
