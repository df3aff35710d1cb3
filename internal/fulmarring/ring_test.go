package fulmarring_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarring"
)

func TestRingRejectsEventsWhenFullOrClosed(t *testing.T) {
	c := qt.New(t)
	ring := fulmarring.New[int](2)
	c.Assert(ring.Offer(1), qt.IsTrue)
	c.Assert(ring.Put(2), qt.IsTrue)
	c.Assert(ring.Offer(3), qt.IsFalse)
	c.Assert(<-ring.Events(), qt.Equals, 1)
	ring.Close()
	c.Assert(ring.Put(4), qt.IsFalse)
	c.Assert(<-ring.Events(), qt.Equals, 2)
}
