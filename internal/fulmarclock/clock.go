// Package fulmarclock is the source of time for the whole project, in milliseconds.
//
// Usage:
//
//	clock := fulmarclock.NewSystem()
//	start := clock.Now()
//	select {
//	case <-clock.After(250):
//	case <-ctx.Done():
//	}
//	elapsed := clock.Now() - start
//
// Tests use a Manual clock, whose time changes only when the test calls Advance.
package fulmarclock

import "time"

// Millis is a point in time or a duration in milliseconds.
// Points in time count from the clock's start and are monotonic.
type Millis int64

// Common durations.
const (
	Second Millis = 1000
	Minute Millis = 60 * Second
)

// Duration converts m to a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// FromDuration converts d to milliseconds, truncated toward zero.
func FromDuration(d time.Duration) Millis { return Millis(d / time.Millisecond) }

// Clock returns the time and starts timers.
type Clock interface {
	// Now returns the monotonic time since the clock's start.
	Now() Millis
	// Unix returns the wall-clock time in milliseconds since 1970 (UTC), for stored and sent records.
	Unix() int64
	// After returns a channel that receives the time once, after wait.
	After(wait Millis) <-chan Millis
	// AfterFunc calls f in its own goroutine after wait, unless the timer is stopped before.
	AfterFunc(wait Millis, f func()) Timer
}

// Timer is a pending call of AfterFunc.
type Timer interface {
	// Stop cancels the call and reports whether it was still pending.
	Stop() bool
}

// System is the clock of the operating system.
type System struct {
	start time.Time
}

// NewSystem returns a clock that starts at zero now.
func NewSystem() *System { return &System{start: time.Now()} }

// Now returns the monotonic time since the clock was created.
func (s *System) Now() Millis { return FromDuration(time.Since(s.start)) }

// Unix returns the wall-clock time in milliseconds since 1970 (UTC).
func (s *System) Unix() int64 { return time.Now().UnixMilli() }

// After returns a channel that receives the time once, after wait.
func (s *System) After(wait Millis) <-chan Millis {
	done := make(chan Millis, 1)
	time.AfterFunc(wait.Duration(), func() { done <- s.Now() })
	return done
}

// AfterFunc calls f in its own goroutine after wait, unless the timer is stopped before.
func (s *System) AfterFunc(wait Millis, f func()) Timer { return time.AfterFunc(wait.Duration(), f) }
