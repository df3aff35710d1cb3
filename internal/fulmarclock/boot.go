package fulmarclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is a clock that also counts the time in which the VM was suspended.
type Boot struct {
	*System
	start Millis
}

// NewBoot returns a clock that starts at zero now.
func NewBoot() *Boot { return &Boot{System: NewSystem(), start: sinceBoot()} }

// Now returns the time since the clock was made, suspension included.
func (b *Boot) Now() Millis { return sinceBoot() - b.start }

func sinceBoot() Millis {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Kernels without this clock have CLOCK_MONOTONIC.
		return FromDuration(time.Duration(time.Now().UnixNano()))
	}
	return FromDuration(time.Duration(t.Nano()))
}
