package fulmarclock_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

func TestAdvanceFiresOnlyDueTimers(t *testing.T) {
	c := qt.New(t)
	clock := fulmarclock.NewManual(100)
	early, late := clock.After(10), clock.After(20)
	clock.Advance(10)
	c.Assert(<-early, qt.Equals, fulmarclock.Millis(110))
	c.Assert(late, qt.HasLen, 0)
	clock.Advance(10)
	c.Assert(<-late, qt.Equals, fulmarclock.Millis(120))
}
