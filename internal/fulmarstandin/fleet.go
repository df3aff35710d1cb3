package fulmarstandin

import (
	"sort"
	"sync"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarplatform"
)

// registrationTTL is how long a VM stays in the list after its last registration, in milliseconds.
const registrationTTL = 5 * fulmarclock.Second

// Fleet is the VM list of the simulated platform.
type Fleet struct {
	clock   fulmarclock.Clock
	mu      sync.Mutex
	version int64
	vms     map[string]*registration
}

type registration struct {
	vm           fulmarplatform.VM
	registeredAt fulmarclock.Millis
}

// NewFleet returns an empty list.
func NewFleet(clock fulmarclock.Clock) *Fleet {
	return &Fleet{clock: clock, vms: map[string]*registration{}}
}

// Register adds a VM or renews its registration. The list keeps the state and the boot
// count of a known VM, so that a draining VM drains until it is rebooted.
func (f *Fleet) Register(vm fulmarplatform.VM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	listed, found := f.vms[vm.ID]
	if !found {
		listed = &registration{}
		f.vms[vm.ID] = listed
		vm.State = fulmarplatform.VMLive
	} else {
		vm.State, vm.BootCount = listed.vm.State, listed.vm.BootCount
	}
	if listed.vm != vm {
		f.version++
	}
	listed.vm = vm
	listed.registeredAt = f.clock.Now()
}

// SetState changes the state of a VM and returns whether the VM is listed.
func (f *Fleet) SetState(id string, state fulmarplatform.VMState) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	listed, found := f.vms[id]
	if !found {
		return false
	}
	listed.vm.State = state
	f.version++
	return true
}

// Reboot makes a draining VM live again and increments its boot count. It returns false if
// the VM isn't draining.
func (f *Fleet) Reboot(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	listed, found := f.vms[id]
	if !found || listed.vm.State != fulmarplatform.VMDraining {
		return false
	}
	listed.vm.State = fulmarplatform.VMLive
	listed.vm.BootCount++
	f.version++
	return true
}

// List returns the current list, sorted by VM ID.
func (f *Fleet) List() fulmarplatform.VMList {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.removeExpired()
	list := fulmarplatform.VMList{Version: f.version}
	for _, listed := range f.vms {
		list.VMs = append(list.VMs, listed.vm)
	}
	sort.Slice(list.VMs, func(i, j int) bool { return list.VMs[i].ID < list.VMs[j].ID })
	return list
}

// removeExpired removes VMs that haven't registered for longer than registrationTTL. The
// caller holds f.mu.
func (f *Fleet) removeExpired() {
	now := f.clock.Now()
	for id, listed := range f.vms {
		if now-listed.registeredAt > registrationTTL {
			delete(f.vms, id)
			f.version++
		}
	}
}
