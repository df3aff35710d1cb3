package fulmarrig

import (
	"fmt"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

// Acknowledgement is how an acknowledgement reached the end of a run.
type Acknowledgement struct {
	At fulmarclock.Millis
	// Late is whether the renewal with the acknowledgement got no response and was executed late.
	Late bool
	// Unread is whether no report had contained the end, so that the owner can't have read it.
	Unread bool
	// AfterLapse is whether the executor's lease expired between the end and the acknowledgement.
	AfterLapse bool
	// AfterLapseOfRuns is whether such an expiry ended a run.
	AfterLapseOfRuns bool
}

// FindUnreadAcknowledgements returns a description of each acknowledgement of an end that no report
// had contained. That violates no guarantee by itself, but a task whose completion it reaches is lost
// to the owner.
func FindUnreadAcknowledgements(runs []Run) []string {
	var found []string
	for _, r := range runs {
		if r.Acknowledged && r.Acknowledgement.Unread {
			found = append(found, fmt.Sprintf("end acknowledged that no report had contained: %+v", r))
		}
	}
	return found
}
