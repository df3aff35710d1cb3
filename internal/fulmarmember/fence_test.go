package fulmarmember_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/fulmardrum/fulmardrum/internal/fulmarmember"
)

func TestIsFenced(t *testing.T) {
	const now, old, recent = 9000, 5000, 8000
	cases := []struct {
		name    string
		contact fulmarmember.Connectivity
		want    bool
	}{
		{"platform responds", fulmarmember.Connectivity{PlatformResponse: recent, ReachablePeers: 0, ExpectedMembers: 7}, false},
		{"a majority in contact", fulmarmember.Connectivity{PlatformResponse: old, ReachablePeers: 3, ExpectedMembers: 7}, false},
		{"two members partitioned together", fulmarmember.Connectivity{PlatformResponse: old, ReachablePeers: 1, ExpectedMembers: 7}, true},
		{"half of the members in contact", fulmarmember.Connectivity{PlatformResponse: old, ReachablePeers: 2, ExpectedMembers: 6}, true},
		{"no contact", fulmarmember.Connectivity{PlatformResponse: old, ReachablePeers: 0, ExpectedMembers: 2}, true},
		{"the only member", fulmarmember.Connectivity{PlatformResponse: old, ReachablePeers: 0, ExpectedMembers: 1}, false},
		{"behind for longer than the limit", fulmarmember.Connectivity{PlatformResponse: recent, ReachablePeers: 6, ExpectedMembers: 7, BehindSince: old}, true},
		{"behind for less than the limit", fulmarmember.Connectivity{PlatformResponse: recent, ReachablePeers: 6, ExpectedMembers: 7, BehindSince: recent}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			tc.contact.Now, tc.contact.FencingTimeout = now, 3000
			qt.Assert(t, fulmarmember.IsFenced(tc.contact), qt.Equals, tc.want)
		})
	}
}

// TestUnfencedMembersOverlapAcknowledgingMajority checks partitions of a fleet: members
// that keep dispatching without the platform are in contact with at least one member of
// any majority that has acknowledged a change.
func TestUnfencedMembersOverlapAcknowledgingMajority(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		expected := rapid.IntRange(1, 8).Draw(r, "roster")
		reachable := rapid.IntRange(0, expected-1).Draw(r, "heard")
		acknowledged := rapid.IntRange(expected/2+1, expected).Draw(r, "acknowledged")
		dispatches := !fulmarmember.IsFenced(fulmarmember.Connectivity{Now: 9000, ReachablePeers: reachable, ExpectedMembers: expected, FencingTimeout: 3000})
		if group := reachable + 1; dispatches && group+acknowledged <= expected {
			r.Fatalf("%d of %d members keep dispatching without contact to the %d that acknowledged", group, expected, acknowledged)
		}
	})
}
