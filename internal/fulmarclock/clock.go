// Package fulmarclock is the project's one source of time, in milliseconds.
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
// Tests pass a Manual clock, whose time moves only when the test says so.
package fulmarclock

import "time"

// Millis is a point in time or a length of time in milliseconds.
// Points are counted from the clock's own start and never go backwards.
type Millis int64

// Second and Minute are common lengths of time in milliseconds.
const (
	Second Millis = 1000
	Minute Millis = 60 * Second
)

// Duration converts a length of time for the standard library.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// FromDuration converts a length of time of the standard library, rounded down.
func FromDuration(d time.Duration) Millis { return Millis(d / time.Millisecond) }

// Clock tells the time and wakes goroutines.
type Clock interface {
	// Now returns the monotonic time since the clock's start.
	Now() Millis
	// Unix returns the wall time in milliseconds since 1970, for records that leave the process.
	Unix() int64
	// After returns a channel that receives once when wait has passed.
	After(wait Millis) <-chan Millis
	// AfterFunc calls f in its own goroutine when wait has passed, unless Stop comes first.
	AfterFunc(wait Millis, f func()) Timer
}

// Timer is a call that is still to come.
type Timer interface {
	// Stop prevents the call and reports whether it came in time.
	Stop() bool
}

// System is the machine's own clock.
type System struct {
	start time.Time
}

// NewSystem returns a clock that starts at zero now.
func NewSystem() *System { return &System{start: time.Now()} }

// Now returns the monotonic time since the clock was made.
func (s *System) Now() Millis { return FromDuration(time.Since(s.start)) }

// Unix returns the machine's wall time.
func (s *System) Unix() int64 { return time.Now().UnixMilli() }

// After returns a channel that receives once when wait has passed.
func (s *System) After(wait Millis) <-chan Millis {
	done := make(chan Millis, 1)
	time.AfterFunc(wait.Duration(), func() { done <- s.Now() })
	return done
}

// AfterFunc calls f when wait has passed.
func (s *System) AfterFunc(wait Millis, f func()) Timer { return time.AfterFunc(wait.Duration(), f) }
