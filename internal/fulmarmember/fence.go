package fulmarmember

import "github.com/fulmardrum/fulmardrum/internal/fulmarclock"

// Contact is a member's last word from the rest of the fleet.
type Contact struct {
	Now fulmarclock.Millis
	// Platform is the time of the platform's last answer.
	Platform fulmarclock.Millis
	// Heard counts the other members heard from within Limit.
	Heard int
	// Roster counts the members that may be at work, this one among them.
	Roster int
	// BehindSince is when a peer first told of assignments newer than this member's; zero means never.
	BehindSince fulmarclock.Millis
	// Limit is how long a member goes on without word.
	Limit fulmarclock.Millis
}

// IsFenced tells whether a member must stop sending work.
//
// With the platform's answers a member sees every change by itself. Without
// them it cannot tell an outage from a cut of its own, and goes on only together
// with most of the members that may be at work: a change of the assignments
// needs the word of most of them too, so one of those that it hears knows of it,
// and tells. A member that knows of newer assignments and cannot get them stops.
func IsFenced(c Contact) bool {
	if c.BehindSince > 0 && c.Now-c.BehindSince > c.Limit {
		return true
	}
	if c.Now-c.Platform <= c.Limit {
		return false
	}
	return 2*(c.Heard+1) <= c.Roster
}
