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
		contact fulmarmember.Contact
		want    bool
	}{
		{"platform responds", fulmarmember.Contact{Platform: recent, Heard: 0, Roster: 7}, false},
		{"a majority in contact", fulmarmember.Contact{Platform: old, Heard: 3, Roster: 7}, false},
		{"two members partitioned together", fulmarmember.Contact{Platform: old, Heard: 1, Roster: 7}, true},
		{"half of the members in contact", fulmarmember.Contact{Platform: old, Heard: 2, Roster: 6}, true},
		{"no contact", fulmarmember.Contact{Platform: old, Heard: 0, Roster: 2}, true},
		{"the only member", fulmarmember.Contact{Platform: old, Heard: 0, Roster: 1}, false},
		{"behind for longer than the limit", fulmarmember.Contact{Platform: recent, Heard: 6, Roster: 7, BehindSince: old}, true},
		{"behind for less than the limit", fulmarmember.Contact{Platform: recent, Heard: 6, Roster: 7, BehindSince: recent}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			tc.contact.Now, tc.contact.Limit = now, 3000
			qt.Assert(t, fulmarmember.IsFenced(tc.contact), qt.Equals, tc.want)
		})
	}
}

// TestUnfencedMembersOverlapAcknowledgingMajority checks partitions of a fleet: members
// that keep dispatching without the platform are in contact with at least one member of
// any majority that has acknowledged a change.
func TestUnfencedMembersOverlapAcknowledgingMajority(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		roster := rapid.IntRange(1, 8).Draw(r, "roster")
		heard := rapid.IntRange(0, roster-1).Draw(r, "heard")
		acknowledged := rapid.IntRange(roster/2+1, roster).Draw(r, "acknowledged")
		dispatches := !fulmarmember.IsFenced(fulmarmember.Contact{Now: 9000, Heard: heard, Roster: roster, Limit: 3000})
		if group := heard + 1; dispatches && group+acknowledged <= roster {
			r.Fatalf("%d of %d members keep dispatching without contact to the %d that acknowledged", group, roster, acknowledged)
		}
	})
}
