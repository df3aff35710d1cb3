// Package fulmarfleet keeps a member's view of the fleet: the configuration,
// the assignments, the members and the VM list, from the platform and from peers.
//
// Usage:
//
//	fleet := fulmarfleet.New(client, clock, options)
//	go fleet.Watch(ctx)
//	go fleet.PollVMs(ctx)
//	for range fleet.Changed() { use(fleet.View()) }
//
// A view never shows an older configuration than an earlier view did.
package fulmarfleet

import (
	"sort"

	"github.com/fulmardrum/fulmardrum/internal/fulmarassign"
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarconfig"
	"github.com/fulmardrum/fulmardrum/internal/fulmarplatform"
)

const (
	// Prefix is the prefix of every key that members watch.
	Prefix = "fleet/"
	// MembersPrefix is the prefix of the members' own keys.
	MembersPrefix = "fleet/members/"
	// lapsedKept is how long a member counts after its line has ended without a planned stop, in milliseconds.
	lapsedKept = 10 * fulmarclock.Minute
	// vanishedUsed is how long a VM is used after it has vanished from the list, in milliseconds.
	vanishedUsed = 15 * fulmarclock.Second
)

// vanishedVM is a VM that has left the list, with the time at which that was seen.
type vanishedVM struct {
	vm fulmarplatform.VM
	at fulmarclock.Millis
}

// setVMs replaces the list and notes which VMs have vanished from it. A VM that
// was leaving is gone, and so is one whose address another VM has now.
func (v *View) setVMs(list fulmarplatform.VMList, now fulmarclock.Millis) {
	vanished := map[string]vanishedVM{}
	for id, gone := range v.vanished {
		if now-gone.at < vanishedUsed {
			vanished[id] = gone
		}
	}
	for _, vm := range v.vms.VMs {
		if vm.State == fulmarplatform.VMLive {
			vanished[vm.ID] = vanishedVM{vm: vm, at: now}
		}
	}
	addresses := map[string]bool{}
	for _, vm := range list.VMs {
		addresses[vm.Address] = true
		delete(vanished, vm.ID)
	}
	for id, gone := range vanished {
		if addresses[gone.vm.Address] {
			delete(vanished, id)
		}
	}
	v.vms, v.vanished = list, vanished
}

// Member is one entry VM's line in the platform's key-value service.
type Member struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	Region      string `json:"region"`
	DataCentre  string `json:"data_centre"`
	Peers       string `json:"peers"`
	Operators   string `json:"operators"`
	// Left is set by a member on its planned way out.
	Left bool `json:"left,omitempty"`
}

// View is one state of the fleet. It is not changed after it is made.
type View struct {
	record        fulmarconfig.Record
	table         fulmarassign.Table
	tableRevision fulmarplatform.Revision
	members       map[string]Member
	// lapsed are members whose line ended without a planned stop, with the time of its end.
	lapsed map[string]fulmarclock.Millis
	vms    fulmarplatform.VMList
	// vanished are VMs that left the list without being told to leave.
	vanished         map[string]vanishedVM
	platformSeen     fulmarclock.Millis
	platformAnswered bool
}

// Record returns the configuration in force; generation zero means none is known.
func (v *View) Record() fulmarconfig.Record { return v.record }

// Table returns the assignments and their revision.
func (v *View) Table() (fulmarassign.Table, fulmarplatform.Revision) { return v.table, v.tableRevision }

// VMs returns the platform's VM list as last seen.
func (v *View) VMs() fulmarplatform.VMList { return v.vms }

// Workers returns the listed VMs and those that have vanished from the list a
// short while ago: after an outage of the platform the list may lack VMs that
// could not report, and a VM that is gone refuses connections by itself.
func (v *View) Workers(now fulmarclock.Millis) []fulmarplatform.VM {
	workers := append([]fulmarplatform.VM(nil), v.vms.VMs...)
	for _, gone := range v.vanished {
		if now-gone.at < vanishedUsed {
			workers = append(workers, gone.vm)
		}
	}
	sort.Slice(workers, func(i, j int) bool { return workers[i].ID < workers[j].ID })
	return workers
}

// PlatformSeen returns the time of the last answered watch.
func (v *View) PlatformSeen() fulmarclock.Millis { return v.platformSeen }

// HasPlatform tells whether a watch has ever been answered.
func (v *View) HasPlatform() bool { return v.platformAnswered }

// Members returns the members in order of name.
func (v *View) Members() []Member {
	members := make([]Member, 0, len(v.members))
	for _, m := range v.members {
		members = append(members, m)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Name < members[j].Name })
	return members
}

// HasMember tells whether the view shows the line of one incarnation of a member.
func (v *View) HasMember(name, incarnation string) bool {
	return v.members[name].Incarnation == incarnation
}

// IsPlanner tells whether a member is the first by name, which plans. Two members
// may think so at once; their writes are fenced by revisions.
func (v *View) IsPlanner(name string) bool {
	members := v.Members()
	return len(members) > 0 && members[0].Name == name
}

// Roster returns how many members may be at work: those with a line, and those
// whose line ended without a planned stop a short while ago.
func (v *View) Roster(now fulmarclock.Millis) int {
	n := len(v.members)
	for _, at := range v.lapsed {
		if now-at < lapsedKept {
			n++
		}
	}
	return n
}

// Others returns the members but the one with a name.
func (v *View) Others(name string) []Member {
	var others []Member
	for _, m := range v.Members() {
		if m.Name != name {
			others = append(others, m)
		}
	}
	return others
}
