package fulmarmember

import (
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarplatform"
)

// maxReports is the most reported revisions that are tracked one by one.
const maxReports = 64

// revisionReport is a revision of the assignments and the time of its first report.
type revisionReport struct {
	revision   fulmarplatform.Revision
	reportedAt fulmarclock.Millis
}

// staleness tracks how long this member has lacked a revision of the assignments that a
// peer has reported. A member that adopts each revision a little after its report is not
// stale, also when there is always a newer one.
type staleness struct {
	// reports are the reported revisions that this member lacks, in rising order.
	reports []revisionReport
}

// report adds a revision that a peer has reported. adopted is this member's own revision.
func (s *staleness) report(now fulmarclock.Millis, reported, adopted fulmarplatform.Revision) {
	s.dropAdopted(adopted)
	newest := adopted
	if n := len(s.reports); n > 0 {
		newest = s.reports[n-1].revision
	}
	if reported <= newest {
		return
	}
	if len(s.reports) == maxReports {
		// The last report keeps its earlier time, so that staleness is never underestimated.
		s.reports[maxReports-1].revision = reported
		return
	}
	s.reports = append(s.reports, revisionReport{revision: reported, reportedAt: max(now, 1)})
}

// since returns the time of the first report of the oldest revision that this member
// lacks, or zero if it lacks none.
func (s *staleness) since(adopted fulmarplatform.Revision) fulmarclock.Millis {
	s.dropAdopted(adopted)
	if len(s.reports) == 0 {
		return 0
	}
	return s.reports[0].reportedAt
}

// dropAdopted removes the reports that this member's revision includes.
func (s *staleness) dropAdopted(adopted fulmarplatform.Revision) {
	n := 0
	for n < len(s.reports) && s.reports[n].revision <= adopted {
		n++
	}
	s.reports = s.reports[n:]
}
