package fulmarrig

import "github.com/fulmardrum/fulmardrum/internal/fulmarclock"

// Restart ends the executor of a VM and its runs. After downtime the next incarnation serves under
// the same ID and address, and knows nothing of the earlier one. Its entry in the store replaces that
// of the earlier incarnation publicationDelay later. Restart does nothing while the VM has no executor
// that serves.
func (r *Rig) Restart(vm string, downtime, publicationDelay fulmarclock.Millis) {
	r.fleet.restartExecutor(vm, downtime, publicationDelay, false)
}

// RestartBehindListener is a Restart whose listener lives on. Calls that arrive during the downtime wait and are
// executed by the next incarnation. Those that the earlier one was executing get no response, and their callers don't
// learn of its end.
func (r *Rig) RestartBehindListener(vm string, downtime, publicationDelay fulmarclock.Millis) {
	r.fleet.restartExecutor(vm, downtime, publicationDelay, true)
}

// ExecutorID returns the ID of a VM's executor, or an empty string while it has none.
func (r *Rig) ExecutorID(vm string) string {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	if v := r.fleet.find(vm); v != nil && v.executor != nil {
		return v.executor.id
	}
	return ""
}

func (f *fleet) restartExecutor(name string, downtime, publicationDelay fulmarclock.Millis, keepsListener bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.find(name)
	if f.closed || v == nil || v.executor == nil || v.executor.hasCrashed() {
		return
	}
	ended := v.executor
	v.lastHeartbeat = v.latestHeartbeat(f.rig.options.Clock.Now())
	if keepsListener {
		ended.endpoint.hold()
		ended.endSilently()
	} else {
		ended.endpoint.disconnect()
	}
	ended.crash(runCrashed)
	f.rig.options.Clock.AfterFunc(downtime, func() { f.resumeExecutor(v, ended, publicationDelay) })
}

// resumeExecutor starts the next incarnation of an executor that has ended, unless its VM has been
// taken down since.
func (f *fleet) resumeExecutor(v *vm, ended *executor, publicationDelay fulmarclock.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed || v.executor != ended {
		return
	}
	e := newExecutor(f.rig, v, ended.id)
	e.incarnation = max(e.incarnation, ended.incarnation+1)
	e.setCapacity(ended.capacity())
	e.address, e.endpoint = ended.address, ended.endpoint
	v.executor = e
	e.endpoint.serveIncarnation(e)
	f.rig.options.Clock.AfterFunc(publicationDelay, func() { f.publish(v, e) })
}

// publish registers an incarnation in the store for the first time, unless it has ended.
func (f *fleet) publish(v *vm, e *executor) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed || v.executor != e || e.hasCrashed() {
		return
	}
	e.published = true
	_ = f.register(v)
}
