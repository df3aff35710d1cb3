package fulmarclock

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestBootCountsSuspendedTime(t *testing.T) {
	boot := 100 * time.Second
	clock := newBoot(func() (time.Duration, error) { return boot, nil })
	qt.Assert(t, clock.Now(), qt.Equals, Millis(0))
	boot += 7 * time.Second
	qt.Assert(t, clock.Now(), qt.Equals, 7*Second)
}

// TestBootWithoutKernelSupportIsMonotonic guards against a fallback to the wall clock, which
// may jump: a lease would seem to last longer or shorter.
func TestBootWithoutKernelSupportIsMonotonic(t *testing.T) {
	clock := newBoot(func() (time.Duration, error) { return 0, errors.New("not supported") })
	first := clock.Now()
	qt.Assert(t, first >= 0 && first < Minute, qt.IsTrue, qt.Commentf("%d ms after the start", first))
	qt.Assert(t, clock.Now() >= first, qt.IsTrue)
}
