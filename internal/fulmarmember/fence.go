package fulmarmember

import "github.com/fulmardrum/fulmardrum/internal/fulmarclock"

// Contact is a member's last word from the rest of the fleet.
type Contact struct {
	Now fulmarclock.Millis
	// Platform and Peer are the times of the last answer of the platform and of any other member.
	Platform fulmarclock.Millis
	Peer     fulmarclock.Millis
	// Others is the number of other members last known.
	Others int
	// Limit is how long a member goes on without word from either.
	Limit fulmarclock.Millis
}

// IsFenced tells whether a member must stop sending work. When the platform is
// silent to everyone, nothing can move, and the members that still hear one
// another go on with their last view. A member that hears neither the platform
// nor any of its peers cannot tell that case from being cut off, so it stops;
// one that knows of no peers goes on.
func IsFenced(c Contact) bool {
	if c.Others == 0 || c.Now-c.Platform <= c.Limit {
		return false
	}
	return c.Now-c.Peer > c.Limit
}
