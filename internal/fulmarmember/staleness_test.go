package fulmarmember

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarplatform"
)

// TestStaleness plays reports and adoptions of revisions. A member that adopts every
// revision within a second of its report is never stale for longer, even when it never
// has the newest one.
func TestStaleness(t *testing.T) {
	cases := []struct {
		name string
		// reports are revisions by the time of their report.
		reports []revisionReport
		adopted fulmarplatform.Revision
		want    fulmarclock.Millis
	}{
		{"nothing reported", nil, 3, 0},
		{"an adopted revision reported", []revisionReport{{3, 1000}}, 3, 0},
		{"one revision missing", []revisionReport{{4, 1000}}, 3, 1000},
		{"several missing, the oldest counts", []revisionReport{{4, 1000}, {5, 1500}, {4, 1700}}, 3, 1000},
		{"the older one adopted, the newer missing", []revisionReport{{4, 1000}, {5, 1500}}, 4, 1500},
		{"all adopted", []revisionReport{{4, 1000}, {5, 1500}}, 5, 0},
		{"reported at time zero", []revisionReport{{4, 0}}, 3, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var s staleness
			for _, r := range tc.reports {
				s.report(r.reportedAt, r.revision, 3)
			}
			qt.Assert(t, s.since(tc.adopted), qt.Equals, tc.want)
		})
	}
}

// TestStalenessIsBounded reports more revisions than are tracked. Adopting all but the
// newest must leave the member stale, by no later a time than that of the true report.
func TestStalenessIsBounded(t *testing.T) {
	var s staleness
	const reported = 3 * maxReports
	for i := range fulmarplatform.Revision(reported) {
		s.report(fulmarclock.Millis(1000+i), i+1, 0)
	}
	qt.Assert(t, len(s.reports), qt.Equals, maxReports)
	since := s.since(reported - 1)
	qt.Assert(t, since > 0 && since <= 1000+reported-1, qt.IsTrue, qt.Commentf("since %d", since))
	qt.Assert(t, s.since(reported), qt.Equals, fulmarclock.Millis(0))
}
