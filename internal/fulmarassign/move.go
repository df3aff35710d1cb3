package fulmarassign

import "github.com/fulmardrum/fulmardrum/internal/fulmarplatform"

// maxConcurrentMoves is the maximum number of VMs that move between pools at the same time.
const maxConcurrentMoves = 4

// startMoves marks VMs of pools with a surplus to move to pools with a deficit.
// A pool gives up only its surplus VMs, so that its availability budget holds.
func (p *planner) startMoves(vms []fulmarplatform.VM) {
	for p.moving < maxConcurrentMoves {
		target, found := p.poolWithLargestDeficit()
		if !found {
			return
		}
		vm, found := p.newestSurplusVM(vms)
		if !found {
			return
		}
		assignment := p.next.VMs[vm.ID]
		p.deficits[assignment.Pool]++
		p.deficits[target]--
		assignment.NextPool, assignment.MoveSequence, assignment.BootsAtMoveStart = target, p.next.Sequence, vm.BootCount
		p.next.VMs[vm.ID] = assignment
		p.moving++
		p.changed = true
	}
}

// newestSurplusVM returns the live VM with the highest epoch among the pools with a surplus.
func (p *planner) newestSurplusVM(vms []fulmarplatform.VM) (newest fulmarplatform.VM, found bool) {
	for _, vm := range vms {
		assignment, assigned := p.next.VMs[vm.ID]
		deficit, ok := p.deficits[assignment.Pool]
		isSurplus := assigned && ok && deficit < 0 && !assignment.IsMoving() && vm.State == fulmarplatform.VMLive
		if isSurplus && (!found || assignment.Epoch > p.next.VMs[newest.ID].Epoch) {
			newest, found = vm, true
		}
	}
	return newest, found
}

// MovingVMs returns the IDs of the VMs that are moving to another pool, in no particular order.
func (t Table) MovingVMs() []string {
	var moving []string
	for id, assignment := range t.VMs {
		if assignment.IsMoving() {
			moving = append(moving, id)
		}
	}
	return moving
}

// FinishMove returns the table with a moving VM assigned to its next pool under a new epoch.
func (t Table) FinishMove(vm string) Table {
	next := Table{Sequence: t.Sequence + 1, Epoch: t.Epoch + 1, VMs: make(map[string]Assignment, len(t.VMs))}
	for id, assignment := range t.VMs {
		next.VMs[id] = assignment
	}
	next.VMs[vm] = Assignment{Pool: t.VMs[vm].NextPool, Epoch: next.Epoch}
	return next
}
