package fulmarrelay

import (
	"sync"
	"time"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

// clockDriftDivisor is the time in which two clocks drift apart by one unit of that time at most.
const clockDriftDivisor = 1000

// memberClock is what the owner knows of a member's clock: each message shows a time that the clock has reached by
// the time that the message is read. It is safe for concurrent use.
type memberClock struct {
	mu    sync.Mutex
	known bool
	// ahead is by how much the member's clock is ahead of the owner's at least, as of the owner's time at.
	ahead, at fulmarclock.Millis
}

// observe records the time in a message that is read at the owner's time now. A message that took longer than
// others says less.
func (c *memberClock) observe(now, memberTime fulmarclock.Millis) {
	if memberTime <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	ahead := memberTime - now
	if c.known {
		ahead = max(ahead, c.aheadAt(now))
	}
	c.known, c.ahead, c.at = true, ahead, now
}

// aheadAt returns the lower bound at the owner's time now. The caller holds the lock.
func (c *memberClock) aheadAt(now fulmarclock.Millis) fulmarclock.Millis {
	return c.ahead - (now-c.at)/clockDriftDivisor
}

// after returns a time on the member's clock that it reaches within left of the owner's time now, zero if the clock is
// unknown.
func (c *memberClock) after(now fulmarclock.Millis, left time.Duration) fulmarclock.Millis {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known {
		return 0
	}
	return max(now+c.aheadAt(now)+fulmarclock.FromDuration(left), 1)
}
