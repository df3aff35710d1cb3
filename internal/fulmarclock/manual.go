package fulmarclock

import "sync"

// Manual is a clock for tests: its time moves only by Advance.
type Manual struct {
	mu      sync.Mutex
	now     Millis
	timers []*timer
}

type timer struct {
	due     Millis
	fire    func(now Millis)
	stopped bool
}

// NewManual returns a manual clock at time start.
func NewManual(start Millis) *Manual { return &Manual{now: start} }

// Now returns the time last set by Advance.
func (m *Manual) Now() Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Unix returns the manual time as wall time.
func (m *Manual) Unix() int64 { return int64(m.Now()) }

// After returns a channel that receives once Advance has passed wait.
func (m *Manual) After(wait Millis) <-chan Millis {
	done := make(chan Millis, 1)
	if wait <= 0 {
		done <- m.Now()
		return done
	}
	m.add(wait, func(now Millis) { done <- now })
	return done
}

// AfterFunc calls f in its own goroutine once Advance has passed wait.
func (m *Manual) AfterFunc(wait Millis, f func()) Timer {
	w := m.add(wait, func(Millis) { go f() })
	return &manualTimer{clock: m, waiter: w}
}

// Advance moves the time on by step and wakes every waiter that is due.
func (m *Manual) Advance(step Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now += step
	kept := m.timers[:0]
	for _, w := range m.timers {
		if w.stopped {
			continue
		}
		if w.due > m.now {
			kept = append(kept, w)
			continue
		}
		w.stopped = true
		w.fire(m.now)
	}
	m.timers = kept
}

func (m *Manual) add(wait Millis, call func(now Millis)) *timer {
	m.mu.Lock()
	defer m.mu.Unlock()
	w := &timer{due: m.now + wait, fire: call}
	m.timers = append(m.timers, w)
	return w
}

type manualTimer struct {
	clock  *Manual
	waiter *timer
}

// Stop prevents the call and reports whether it came in time.
func (t *manualTimer) Stop() bool {
	t.clock.mu.Lock()
	defer t.clock.mu.Unlock()
	inTime := !t.waiter.stopped
	t.waiter.stopped = true
	return inTime
}
