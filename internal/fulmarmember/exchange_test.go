package fulmarmember

import (
	"io"
	"testing"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmardispatch"
	"github.com/fulmardrum/fulmardrum/internal/fulmarfleet"
	"github.com/fulmardrum/fulmardrum/internal/fulmarmember/fulmarpeerpb"
)

type fakeSource struct{ isolated bool }

func (s fakeSource) Demands() map[string]int                                { return nil }
func (s fakeSource) SetPeerDemands(map[string][]fulmardispatch.Demand)      {}
func (s fakeSource) IsStopping() bool                                       { return false }
func (s fakeSource) AppliedAssignments() (sequence int64, busyVMs []string) { return 0, nil }
func (s fakeSource) IsIsolated() bool                                       { return s.isolated }

type noMetrics struct{}

func (noMetrics) PeerMessage(string)    {}
func (noMetrics) PeerBytes(string, int) {}

// TestShouldCall checks which of two members calls the other. A member that needs newer
// state calls regardless of its name.
func TestShouldCall(t *testing.T) {
	cases := []struct {
		name, self string
		cutOff     bool
		// reportedRevision is the assignments' revision in the peer's last digest, which has just arrived.
		reportedRevision int64
		want             bool
	}{
		{"first by name", "a", false, 0, true},
		{"second by name, digest just received", "z", false, 0, false},
		{"second by name, isolated from the platform", "z", true, 0, true},
		{"second by name, behind", "z", false, 7, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			clock := fulmarclock.NewManual(10_000)
			fleet := fulmarfleet.New(nil, clock, log.New(io.Discard), nil, 1000, 1000)
			e := NewExchange(fulmarfleet.Member{Name: tc.self}, fleet, clock, fakeSource{tc.cutOff}, noMetrics{}, log.New(io.Discard), 250)
			e.storeDigest(&fulmarpeerpb.Digest{Member: "m", TableRevision: tc.reportedRevision})
			qt.Assert(t, e.shouldCall(fulmarfleet.Member{Name: "m"}, false), qt.Equals, tc.want)
		})
	}
}
