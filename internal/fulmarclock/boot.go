package fulmarclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is a clock whose monotonic time includes the time that the VM was suspended.
//
// If the kernel does not provide that time when the clock is created, the fallback is System,
// which stands still while the VM is suspended: a lease then seems to last longer than it does.
// A single reading that fails later returns System's time too, which may be behind earlier ones.
type Boot struct {
	*System
	read  readBootTime
	start Millis
}

// readBootTime returns the time since the VM booted, including suspended time.
type readBootTime func() (time.Duration, error)

// NewBoot returns a clock that starts at zero now.
func NewBoot() *Boot { return newBoot(sinceBoot) }

func newBoot(read readBootTime) *Boot {
	b := &Boot{System: NewSystem()}
	if boot, err := read(); err == nil {
		b.read, b.start = read, FromDuration(boot)
	}
	return b
}

// Now returns the monotonic time since the clock was created, including suspended time.
func (b *Boot) Now() Millis {
	if b.read == nil {
		return b.System.Now()
	}
	boot, err := b.read()
	if err != nil {
		return b.System.Now()
	}
	return FromDuration(boot) - b.start
}

func sinceBoot() (time.Duration, error) {
	var t unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t)
	return time.Duration(t.Nano()), err
}
