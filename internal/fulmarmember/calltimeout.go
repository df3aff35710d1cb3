package fulmarmember

import "github.com/fulmardrum/fulmardrum/internal/fulmarclock"

const (
	// timeoutFactor times the latency of a call is the least timeout of the next one.
	timeoutFactor = 4
	// A timeout falls to no less than this fraction of itself after one fast call.
	timeoutDecayNumerator   = 3
	timeoutDecayDenominator = 4
)

// callTimeout is the timeout of the calls to one peer. It follows the observed latency,
// since a fixed timeout would fail every call while both processes are short of CPU time.
type callTimeout struct {
	min, max fulmarclock.Millis
	current  fulmarclock.Millis
}

// newCallTimeout returns a timeout that starts at the minimum and stays between it and the maximum.
func newCallTimeout(minimum, maximum fulmarclock.Millis) callTimeout {
	return callTimeout{min: minimum, max: maximum, current: minimum}
}

// value returns the timeout of the next call.
func (c *callTimeout) value() fulmarclock.Millis { return c.current }

// recordResponse adapts the timeout to the latency of a call that got a response.
func (c *callTimeout) recordResponse(latency fulmarclock.Millis) {
	decayed := c.current * timeoutDecayNumerator / timeoutDecayDenominator
	c.current = min(max(decayed, latency*timeoutFactor, c.min), c.max)
}

// recordTimeout doubles the timeout after a call without a response in time.
func (c *callTimeout) recordTimeout() { c.current = min(2*c.current, c.max) }
