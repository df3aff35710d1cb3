package fulmarsoak

import (
	"slices"
	"testing"
)

// TestLateCallSoak guards against completed tasks that run again because the next incarnation executes late calls.
func TestLateCallSoak(t *testing.T) {
	runSeeds(t, shortRunScenario("late", slices.Concat(shortRunFaults, slices.Repeat([]fault{lateCallFault}, lateCallWeight))), *restarts)
}
