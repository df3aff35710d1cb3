// Package fulmarfleet keeps a member's view of the fleet: the configuration, the
// assignments of VMs to pools, the members and the VM list. The state comes from
// the platform and, while that is unreachable, from peers.
//
// Usage:
//
//	fleet := fulmarfleet.New(client, clock, logger, failures, vmPollInterval, watchTimeout)
//	go fleet.Watch(ctx)
//	go fleet.PollVMs(ctx)
//	for range fleet.Changed() { use(fleet.View()) }
//
// Configuration and assignments never revert: an update that isn't newer is ignored.
package fulmarfleet

import (
	"sort"

	"github.com/fulmardrum/fulmardrum/internal/fulmarassign"
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarconfig"
	"github.com/fulmardrum/fulmardrum/internal/fulmarplatform"
)

const (
	// Prefix is the key prefix that every member watches.
	Prefix = "fleet/"
	// MembersPrefix precedes a member's name in the key of its registration.
	MembersPrefix = "fleet/members/"
	// expiredMemberTTL is how long a member counts as expected after its registration
	// has expired without a graceful stop.
	expiredMemberTTL = 10 * fulmarclock.Minute
	// missingVMTTL is how long a live VM stays in use after it has disappeared from the list.
	missingVMTTL = 15 * fulmarclock.Second
)

// missingVM is a VM that has disappeared from the list.
type missingVM struct {
	vm fulmarplatform.VM
	// since is when the list was first seen without the VM.
	since fulmarclock.Millis
}

// setVMs replaces the list and records which live VMs have disappeared from it. A
// draining VM that disappears is not kept, nor is one whose address has been
// given to another VM.
func (v *View) setVMs(list fulmarplatform.VMList, now fulmarclock.Millis) {
	missing := map[string]missingVM{}
	for id, m := range v.missing {
		if now-m.since < missingVMTTL {
			missing[id] = m
		}
	}
	for _, vm := range v.vms.VMs {
		if vm.State == fulmarplatform.VMLive {
			missing[vm.ID] = missingVM{vm: vm, since: now}
		}
	}
	addresses := map[string]bool{}
	for _, vm := range list.VMs {
		addresses[vm.Address] = true
		delete(missing, vm.ID)
	}
	for id, m := range missing {
		if addresses[m.vm.Address] {
			delete(missing, id)
		}
	}
	v.vms, v.missing = list, missing
}

// Member is the registration of one entry VM in the platform's key-value service.
type Member struct {
	Name string `json:"name"`
	// Incarnation is unique to the member's process.
	Incarnation string `json:"incarnation"`
	Region      string `json:"region"`
	DataCentre  string `json:"data_centre"`
	// PeerAddress and OperatorAddress are those of the listeners for other members and for operators.
	PeerAddress     string `json:"peers"`
	OperatorAddress string `json:"operators"`
	// Left is set by a member that stops gracefully.
	Left bool `json:"left,omitempty"`
}

// View is an immutable snapshot of the fleet.
type View struct {
	record        fulmarconfig.Record
	table         fulmarassign.Table
	tableRevision fulmarplatform.Revision
	members       map[string]Member
	// expired holds the members whose registration expired without a graceful stop,
	// by name, with the time at which this was seen.
	expired map[string]fulmarclock.Millis
	vms     fulmarplatform.VMList
	// missing holds the live VMs that have disappeared from the list, by ID.
	missing              map[string]missingVM
	lastPlatformResponse fulmarclock.Millis
}

// Record returns the newest known configuration; generation zero means none.
func (v *View) Record() fulmarconfig.Record { return v.record }

// Table returns the assignments of VMs to pools and their revision in the key-value service.
func (v *View) Table() (fulmarassign.Table, fulmarplatform.Revision) { return v.table, v.tableRevision }

// VMs returns the newest known VM list of the platform.
func (v *View) VMs() fulmarplatform.VMList { return v.vms }

// Workers returns, in order of ID, the listed VMs and the live VMs that have been
// missing from the list for less than missingVMTTL. After a platform outage the list
// may lack VMs that could not register. Keeping them is safe, as connections to a VM
// that no longer runs fail.
func (v *View) Workers(now fulmarclock.Millis) []fulmarplatform.VM {
	workers := append([]fulmarplatform.VM(nil), v.vms.VMs...)
	for _, m := range v.missing {
		if now-m.since < missingVMTTL {
			workers = append(workers, m.vm)
		}
	}
	sort.Slice(workers, func(i, j int) bool { return workers[i].ID < workers[j].ID })
	return workers
}

// LastPlatformResponse returns when the platform last responded to a watch.
func (v *View) LastPlatformResponse() fulmarclock.Millis { return v.lastPlatformResponse }

// Members returns the registered members in order of name.
func (v *View) Members() []Member {
	members := make([]Member, 0, len(v.members))
	for _, m := range v.members {
		members = append(members, m)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Name < members[j].Name })
	return members
}

// HasMember reports whether this incarnation of a member is registered.
func (v *View) HasMember(name, incarnation string) bool {
	return v.members[name].Incarnation == incarnation
}

// IsPlanner reports whether a member is the planner: the first by name. Members with
// different views may have two planners at a time, so writes compare revisions.
func (v *View) IsPlanner(name string) bool {
	members := v.Members()
	return len(members) > 0 && members[0].Name == name
}

// ExpectedMembers returns how many members may be running: the registered ones,
// and those whose registration expired less than expiredMemberTTL ago without a
// graceful stop.
func (v *View) ExpectedMembers(now fulmarclock.Millis) int {
	n := len(v.members)
	for _, at := range v.expired {
		if now-at < expiredMemberTTL {
			n++
		}
	}
	return n
}

// Peers returns the registered members except the named one, in order of name.
func (v *View) Peers(name string) []Member {
	var peers []Member
	for _, m := range v.Members() {
		if m.Name != name {
			peers = append(peers, m)
		}
	}
	return peers
}
