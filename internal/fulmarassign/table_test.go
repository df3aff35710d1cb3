package fulmarassign_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/fulmardrum/fulmardrum/internal/fulmarassign"
	"github.com/fulmardrum/fulmardrum/internal/fulmarconfig"
	"github.com/fulmardrum/fulmardrum/internal/fulmarplatform"
)

func liveVMs(n int) []fulmarplatform.VM {
	var list []fulmarplatform.VM
	for i := range n {
		list = append(list, fulmarplatform.VM{ID: fmt.Sprintf("vm-%03d", i), State: fulmarplatform.VMLive})
	}
	return list
}

func TestPlanFillsLargestDeficitFirst(t *testing.T) {
	c := qt.New(t)
	document := fulmarconfig.Document{Pools: map[string]fulmarconfig.Pool{"a": {VMs: 3}, "b": {VMs: 1}}}
	first, changed := fulmarassign.Plan(fulmarassign.Table{}, liveVMs(2), document)
	c.Assert(changed, qt.IsTrue)
	c.Assert(first.VMs["vm-000"].Pool, qt.Equals, "a")
	second, _ := fulmarassign.Plan(first, liveVMs(6), document)
	c.Assert(second.VMs, qt.HasLen, 4)
	c.Assert(second.VMs["vm-000"], qt.Equals, first.VMs["vm-000"])
	_, changed = fulmarassign.Plan(second, liveVMs(6), document)
	c.Assert(changed, qt.IsFalse)
}

// TestAssignmentSurvivesVMAbsence checks that a VM that is missing from the list
// for a while, or whose pool is removed, is not assigned to another pool directly:
// requests of its old pool may still run on it.
func TestAssignmentSurvivesVMAbsence(t *testing.T) {
	c := qt.New(t)
	both := fulmarconfig.Document{Pools: map[string]fulmarconfig.Pool{"a": {VMs: 1}, "b": {VMs: 1}}}
	onlyB := fulmarconfig.Document{Pools: map[string]fulmarconfig.Pool{"b": {VMs: 2}}}
	initial, _ := fulmarassign.Plan(fulmarassign.Table{}, liveVMs(2), both)
	withoutVMs, _ := fulmarassign.Plan(initial, nil, onlyB)
	afterReturn, _ := fulmarassign.Plan(withoutVMs, liveVMs(2), onlyB)
	for id, before := range initial.VMs {
		c.Assert(afterReturn.VMs[id].Pool, qt.Equals, before.Pool)
		c.Assert(afterReturn.VMs[id].Epoch, qt.Equals, before.Epoch)
	}
	c.Assert(afterReturn.VMs["vm-000"].IsMoving(), qt.IsTrue, qt.Commentf("the VM of the removed pool must move in fenced steps"))
}

func TestMovesGoFromSurplusToDeficit(t *testing.T) {
	c := qt.New(t)
	document := func(a, b int) fulmarconfig.Document {
		return fulmarconfig.Document{Pools: map[string]fulmarconfig.Pool{"a": {VMs: a}, "b": {VMs: b}}}
	}
	table, _ := fulmarassign.Plan(fulmarassign.Table{}, liveVMs(8), document(7, 1))
	table, _ = fulmarassign.Plan(table, liveVMs(8), document(1, 7))
	c.Assert(table.MovingVMs(), qt.HasLen, 4, qt.Commentf("at most four VMs move at the same time"))
	again, changed := fulmarassign.Plan(table, liveVMs(8), document(1, 7))
	c.Assert(changed, qt.IsFalse)
	c.Assert(again.MovingVMs(), qt.HasLen, 4)
	vm := table.MovingVMs()[0]
	arrived := table.FinishMove(vm)
	c.Assert(arrived.VMs[vm].Pool, qt.Equals, "b")
	c.Assert(arrived.VMs[vm].Epoch > table.Epoch, qt.IsTrue)
	later, _ := fulmarassign.Plan(arrived, liveVMs(8), document(5, 3))
	for _, moving := range arrived.MovingVMs() {
		c.Assert(later.VMs[moving], qt.Equals, arrived.VMs[moving], qt.Commentf("a move in flight must continue"))
	}
}

func TestTableIsBounded(t *testing.T) {
	document := fulmarconfig.Document{Pools: map[string]fulmarconfig.Pool{"a": {VMs: 4000}}}
	table, _ := fulmarassign.Plan(fulmarassign.Table{}, liveVMs(4000), document)
	table, changed := fulmarassign.Plan(table, nil, document)
	qt.Assert(t, changed, qt.IsTrue)
	qt.Assert(t, table.VMs, qt.HasLen, 1000)
}

// TestEpochsNeverRepeat plans for randomly changing VM lists and checks that no
// epoch is used for two different VMs or pools.
func TestEpochsNeverRepeat(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		document := fulmarconfig.Document{Pools: map[string]fulmarconfig.Pool{"a": {VMs: 3}, "b": {VMs: 2}}}
		table, holderByEpoch := fulmarassign.Table{}, map[int64]string{}
		for range rapid.IntRange(1, 20).Draw(r, "rounds") {
			table, _ = fulmarassign.Plan(table, liveVMs(rapid.IntRange(0, 7).Draw(r, "vms")), document)
			for id, assignment := range table.VMs {
				holder := id + "/" + assignment.Pool
				if previousHolder, given := holderByEpoch[assignment.Epoch]; given && previousHolder != holder {
					r.Fatalf("epoch %d is used for both %s and %s", assignment.Epoch, previousHolder, holder)
				}
				holderByEpoch[assignment.Epoch] = holder
			}
		}
	})
}
