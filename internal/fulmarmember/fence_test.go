package fulmarmember_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarmember"
)

func TestFence(t *testing.T) {
	cases := []struct {
		name    string
		contact fulmarmember.Contact
		want    bool
	}{
		{"platform answers", fulmarmember.Contact{Now: 9000, Platform: 8000, Peer: 0, Others: 6, Limit: 3000}, false},
		{"only peers answer", fulmarmember.Contact{Now: 9000, Platform: 0, Peer: 8000, Others: 6, Limit: 3000}, false},
		{"nobody answers", fulmarmember.Contact{Now: 9000, Platform: 5000, Peer: 5000, Others: 6, Limit: 3000}, true},
		{"at the limit", fulmarmember.Contact{Now: 9000, Platform: 6000, Peer: 0, Others: 6, Limit: 3000}, false},
		{"alone, platform silent", fulmarmember.Contact{Now: 9000, Platform: 0, Peer: 0, Others: 0, Limit: 3000}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			qt.Assert(t, fulmarmember.IsFenced(tc.contact), qt.Equals, tc.want)
		})
	}
}
