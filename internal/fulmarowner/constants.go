package fulmarowner

import (
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

const (
	// vacancyCheck is how often a member looks whether the scheduler has an owner.
	vacancyCheck = 300 * fulmarclock.Millis(1)
	claimLimit   = 2 * fulmarclock.Second
	// openLimit bounds the reading of the journal; after it another member may try.
	openLimit = 5 * fulmarclock.Second
	// ringEvents bounds the events that wait for the scheduler.
	ringEvents = 4096
	// commitGap is the least time between the starts of two appends to the journal.
	commitGap = 15 * fulmarclock.Millis(1)
	// stallLimit is how long an append may go without an answer before jobs are refused instead of waiting for the next.
	stallLimit = 600 * fulmarclock.Millis(1)
	// longestStallPause bounds when such callers are told to return.
	longestStallPause = 3 * fulmarclock.Second
	// reasonStalled is the reason of these refusals.
	reasonStalled = "store-stalled"
	// tick is how often the scheduler looks at what is due by time alone.
	tick = 50 * fulmarclock.Millis(1)
	// orderLimit bounds the wait for an executor's answer to an order.
	orderLimit = 800 * fulmarclock.Millis(1)
	// leastCopyWait is the shortest wait before an order is sent again beside an unanswered copy.
	leastCopyWait = 120 * fulmarclock.Millis(1)
	// orderCopies bounds the copies of an order, the first among them.
	orderCopies = 4
	// holdSlack is added to the time that a renewal may wait for an end.
	holdSlack = 1000 * fulmarclock.Millis(1)
	// holdHedges bounds the copies of a renewal.
	holdHedges = 2
	// fleetLimit bounds the wait for an answer to an order on a VM.
	fleetLimit = 1500 * fulmarclock.Millis(1)
	// listEvery is the time between two lists of the platform's VMs.
	listEvery = 1000 * fulmarclock.Millis(1)
	// adviceLimit bounds the wait for advice, which is given in turn.
	adviceLimit = 5 * fulmarclock.Second
	// reportLimit bounds one attempt to write a report for operators, reportRetry the wait between two.
	reportLimit = 1500 * fulmarclock.Millis(1)
	reportRetry = 200 * fulmarclock.Millis(1)
	// graceAfterClaim is how long orders to executors go on after the claim's lease may
	// have ended, as in an outage of the store; the executors' leases bound it.
	graceAfterClaim = 0.6
	// releaseLimit bounds the hand-over when the member stops.
	releaseLimit = 1500 * fulmarclock.Millis(1)
	// executorPause passes between two watches of the executors' entries.
	executorPause = 30 * fulmarclock.Millis(1)
)
