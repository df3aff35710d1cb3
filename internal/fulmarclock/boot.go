package fulmarclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is a clock whose monotonic time includes the time that the VM was suspended.
type Boot struct {
	*System
	start Millis
}

// NewBoot returns a clock that starts at zero now.
func NewBoot() *Boot { return &Boot{System: NewSystem(), start: sinceBoot()} }

// Now returns the monotonic time since the clock was created, including suspended time.
func (b *Boot) Now() Millis { return sinceBoot() - b.start }

// sinceBoot returns the time since the VM booted, including suspended time.
func sinceBoot() Millis {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The kernel has no CLOCK_BOOTTIME: fall back to the wall clock.
		return FromDuration(time.Duration(time.Now().UnixNano()))
	}
	return FromDuration(time.Duration(t.Nano()))
}
