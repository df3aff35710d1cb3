package fulmarrig

import (
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	fulmaradapter "github.com/fulmardrum/fulmardrum/platform"
)

const (
	// heartbeatInterval is the time between two writes of an executor to the store. missedHeartbeats is after how
	// many intervals of silence its entry goes.
	heartbeatInterval = 1500 * fulmarclock.Millis(1)
	missedHeartbeats  = 3
)

// SetCutFromStore sets whether the executor of a VM is cut off from the store. Its entry then goes after some
// heartbeats of silence, and is back with the first heartbeat that reaches the store. The executor runs on.
func (r *Rig) SetCutFromStore(vm string, cut bool) {
	f := r.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.find(vm)
	if f.closed || v == nil || v.isCutFromStore == cut {
		return
	}
	now := r.options.Clock.Now()
	last := v.latestHeartbeat(now)
	if v.heartbeatTimer != nil {
		v.heartbeatTimer.Stop()
	}
	v.isCutFromStore = cut
	if cut {
		v.lastHeartbeat = last
		wait := last + missedHeartbeats*heartbeatInterval - now
		v.heartbeatTimer = r.options.Clock.AfterFunc(max(wait, 0), func() { f.expireEntry(v) })
		return
	}
	wait := heartbeatInterval - (now-last)%heartbeatInterval
	v.heartbeatTimer = r.options.Clock.AfterFunc(wait, func() { f.resumeHeartbeats(v) })
}

// latestHeartbeat returns when the executor of a VM last wrote to the store, as of now. The caller holds fleet.mu.
func (v *vm) latestHeartbeat(now fulmarclock.Millis) fulmarclock.Millis {
	e := v.executor
	if v.isCutFromStore || e == nil || !e.published || e.hasCrashed() {
		return v.lastHeartbeat
	}
	return v.lastHeartbeat + (now-v.lastHeartbeat)/heartbeatInterval*heartbeatInterval
}

// expireEntry removes the entry of an executor that has been cut off from the store for long.
func (f *fleet) expireEntry(v *vm) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.closed && v.isCutFromStore && v.executor != nil {
		f.rig.store.delete(fulmaradapter.ExecutorPrefix + v.executor.id)
	}
}

// resumeHeartbeats writes the entry of an executor that reaches the store again.
func (f *fleet) resumeHeartbeats(v *vm) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.closed && v.executor != nil && !v.executor.hasCrashed() {
		_ = f.register(v)
	}
}
