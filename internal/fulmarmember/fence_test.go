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
		{"platform answers", fulmarmember.Contact{Platform: recent, Heard: 0, Roster: 7}, false},
		{"most of the others answer", fulmarmember.Contact{Platform: old, Heard: 3, Roster: 7}, false},
		{"two cut off together", fulmarmember.Contact{Platform: old, Heard: 1, Roster: 7}, true},
		{"half of the members", fulmarmember.Contact{Platform: old, Heard: 2, Roster: 6}, true},
		{"nobody answers", fulmarmember.Contact{Platform: old, Heard: 0, Roster: 2}, true},
		{"the only member", fulmarmember.Contact{Platform: old, Heard: 0, Roster: 1}, false},
		{"behind for long", fulmarmember.Contact{Platform: recent, Heard: 6, Roster: 7, BehindSince: old}, true},
		{"behind for a moment", fulmarmember.Contact{Platform: recent, Heard: 6, Roster: 7, BehindSince: recent}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			tc.contact.Now, tc.contact.Limit = now, 3000
			qt.Assert(t, fulmarmember.IsFenced(tc.contact), qt.Equals, tc.want)
		})
	}
}

// TestUnfencedMembersOverlapAcknowledgingMajority checks every split of a
// fleet: whoever goes on without the platform hears one of any majority that
// has acknowledged a change.
func TestUnfencedMembersOverlapAcknowledgingMajority(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		roster := rapid.IntRange(1, 8).Draw(r, "roster")
		heard := rapid.IntRange(0, roster-1).Draw(r, "heard")
		acknowledged := rapid.IntRange(roster/2+1, roster).Draw(r, "acknowledged")
		goesOn := !fulmarmember.IsFenced(fulmarmember.Contact{Now: 9000, Heard: heard, Roster: roster, Limit: 3000})
		if together := heard + 1; goesOn && together+acknowledged <= roster {
			r.Fatalf("%d of %d go on beside %d that acknowledged", together, roster, acknowledged)
		}
	})
}
