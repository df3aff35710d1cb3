package fulmarmember

import "github.com/fulmardrum/fulmardrum/internal/fulmarclock"

// Connectivity is a member's connectivity to the platform and to the other members.
type Connectivity struct {
	Now fulmarclock.Millis
	// PlatformResponse is the time of the platform's last response.
	PlatformResponse fulmarclock.Millis
	// ReachablePeers is the number of other members whose digest arrived within FencingTimeout.
	ReachablePeers int
	// ExpectedMembers is the number of members that may be running, including this one.
	ExpectedMembers int
	// BehindSince is when a peer first reported assignments newer than this member's; zero means never.
	BehindSince fulmarclock.Millis
	// FencingTimeout is how long a member may dispatch work without contact.
	FencingTimeout fulmarclock.Millis
}

// IsFenced reports whether a member must stop dispatching work.
//
// A member that the platform responds to reads every change of the assignments by
// itself. Without responses it cannot distinguish a platform outage from a network
// partition, and continues only while it and the peers whose digests it receives are a majority of
// the members that may be running. A change of the assignments needs acknowledgements
// from a majority too, so at least one of these members has read the change and reports it in its digest.
// A member that has been behind the reported assignments for longer than FencingTimeout stops.
func IsFenced(c Connectivity) bool {
	if c.BehindSince > 0 && c.Now-c.BehindSince > c.FencingTimeout {
		return true
	}
	if c.Now-c.PlatformResponse <= c.FencingTimeout {
		return false
	}
	return 2*(c.ReachablePeers+1) <= c.ExpectedMembers
}
