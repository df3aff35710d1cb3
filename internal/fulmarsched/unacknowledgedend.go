package fulmarsched

import "github.com/fulmardrum/fulmardrum/internal/fulmarclock"

// unacknowledgedEnd is a finished run that a report listed for the first time at readAt.
type unacknowledgedEnd struct {
	sequence int64
	readAt   fulmarclock.Millis
}

// countAcknowledged counts the ends whose acknowledgement the executor has confirmed, by whether that took longer
// than the timeout for acknowledgements.
func (s *Scheduler) countAcknowledged(e *executor) {
	for len(e.unacknowledged) > 0 && e.unacknowledged[0].sequence <= e.acknowledgementConfirmed {
		reason := "in time"
		if s.now > e.unacknowledged[0].readAt+s.params.AcknowledgeTimeout {
			reason = "late"
		}
		s.log.Count("acknowledged_ends", reason)
		e.unacknowledged = e.unacknowledged[1:]
	}
}
