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
)

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
	lapsed           map[string]fulmarclock.Millis
	vms              fulmarplatform.VMList
	platformSeen     fulmarclock.Millis
	platformAnswered bool
}

// Record returns the configuration in force; generation zero means none is known.
func (v *View) Record() fulmarconfig.Record { return v.record }

// Table returns the assignments and their revision.
func (v *View) Table() (fulmarassign.Table, fulmarplatform.Revision) { return v.table, v.tableRevision }

// VMs returns the platform's VM list as last seen.
func (v *View) VMs() fulmarplatform.VMList { return v.vms }

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
