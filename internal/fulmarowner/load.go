package fulmarowner

import "github.com/fulmardrum/fulmardrum/internal/fulmarclock"

// loadLogInterval is the time between two log lines on the load of the owner.
const loadLogInterval = 2 * fulmarclock.Second

// percent converts a fraction.
const percent = 100

// loadMeter gathers how busy the owner was since the last log line about it. An owner short of
// processor time ticks late; one short of link capacity doesn't, but gets responses late.
type loadMeter struct {
	loggedAt      fulmarclock.Millis
	processorTime fulmarclock.Millis
	// tickDelay is the longest time by which a tick was late.
	tickDelay fulmarclock.Millis
}

// recordTick records a tick that was due at a time.
func (m *loadMeter) recordTick(now, due fulmarclock.Millis) { m.tickDelay = max(m.tickDelay, now-due) }

// logLoad logs the load of the owner every loadLogInterval.
func (t *term) logLoad(now fulmarclock.Millis) {
	m := &t.load
	elapsed := now - m.loggedAt
	if elapsed < loadLogInterval {
		return
	}
	processorTime := fulmarclock.ProcessorTime()
	if m.loggedAt > 0 {
		t.options.Logger.Info("load of the owner", "interval_ms", elapsed, "processor_ms", processorTime-m.processorTime, "tick_late_ms", m.tickDelay, "queued_events", len(t.events),
			"starts_in_flight", t.window.inFlight, "start_window", t.window.limit, "late_starts_percent", int(t.window.lateFraction*percent))
	}
	*m = loadMeter{loggedAt: now, processorTime: processorTime}
}
