package fulmarclock

import "sync"

// Manual is a clock for tests whose time changes only by Advance. Its methods may be called concurrently.
type Manual struct {
	mu     sync.Mutex
	now    Millis
	timers []*timer
}

// timer is a call to make once the clock has reached a point in time.
type timer struct {
	due     Millis
	fire    func(now Millis)
	stopped bool
}

// NewManual returns a manual clock that shows the time start.
func NewManual(start Millis) *Manual { return &Manual{now: start} }

// Now returns the clock's current time.
func (m *Manual) Now() Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Unix returns the same number as Now.
func (m *Manual) Unix() int64 { return int64(m.Now()) }

// After returns a channel that receives the time once Advance has moved the clock by wait.
func (m *Manual) After(wait Millis) <-chan Millis {
	done := make(chan Millis, 1)
	if wait <= 0 {
		done <- m.Now()
		return done
	}
	m.add(wait, func(now Millis) { done <- now })
	return done
}

// AfterFunc calls f in its own goroutine once Advance has moved the clock by wait.
func (m *Manual) AfterFunc(wait Millis, f func()) Timer {
	t := m.add(wait, func(Millis) { go f() })
	return &manualTimer{clock: m, timer: t}
}

// Advance moves the time forward by step and fires every timer whose time has been reached.
func (m *Manual) Advance(step Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now += step
	pending := m.timers[:0]
	for _, t := range m.timers {
		if t.stopped {
			continue
		}
		if t.due > m.now {
			pending = append(pending, t)
			continue
		}
		t.stopped = true
		t.fire(m.now)
	}
	m.timers = pending
}

func (m *Manual) add(wait Millis, fire func(now Millis)) *timer {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := &timer{due: m.now + wait, fire: fire}
	m.timers = append(m.timers, t)
	return t
}

// manualTimer is the Timer of a Manual clock.
type manualTimer struct {
	clock *Manual
	timer *timer
}

// Stop cancels the call and reports whether it was still pending.
func (t *manualTimer) Stop() bool {
	t.clock.mu.Lock()
	defer t.clock.mu.Unlock()
	wasPending := !t.timer.stopped
	t.timer.stopped = true
	return wasPending
}
