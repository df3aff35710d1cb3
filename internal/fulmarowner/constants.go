package fulmarowner

import (
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

const (
	// vacancyCheckInterval is how often a member checks whether the scheduler has an owner.
	vacancyCheckInterval = 300 * fulmarclock.Millis(1)
	// acquireTimeout is the timeout of one attempt to acquire the ownership.
	acquireTimeout = 2 * fulmarclock.Second
	// journalOpenTimeout is the timeout of reading the journal; after it the member resigns,
	// so that another one may try.
	journalOpenTimeout = 5 * fulmarclock.Second
	// maxQueuedEvents is the capacity of the channel of events for the scheduler.
	maxQueuedEvents = 4096
	// maxQueueDelay is how long a submission may wait for the scheduler before it is refused.
	maxQueueDelay = 100 * fulmarclock.Millis(1)
	// minAppendInterval is the minimum time between the starts of two appends to the journal.
	minAppendInterval = 15 * fulmarclock.Millis(1)
	// stallTimeout is how long an append may be in flight before new jobs are refused
	// instead of waiting for the next append.
	stallTimeout = 600 * fulmarclock.Millis(1)
	// maxStallRetryAfter is the maximum retry delay in these refusals.
	maxStallRetryAfter = 3 * fulmarclock.Second
	// reasonStoreStalled is the reason in these refusals.
	reasonStoreStalled = "store-stalled"
	// refreshInterval is the minimum time between two reads of the executors' entries that do not wait
	// for the watch.
	refreshInterval = 500 * fulmarclock.Millis(1)
	// tickInterval is how often the scheduler runs its time-driven work.
	tickInterval = 50 * fulmarclock.Millis(1)
	// commandTimeout is the timeout of a command to an executor, hedged attempts included.
	commandTimeout = 800 * fulmarclock.Millis(1)
	// commandValidity is the time in which a start or stop must be written since it was decided, as the process may
	// be paused before commandTimeout begins.
	commandValidity = 2500 * fulmarclock.Millis(1)
	// minHedgeDelay is the minimum delay before a hedged attempt of a command.
	minHedgeDelay = 120 * fulmarclock.Millis(1)
	// maxCommandAttempts is the most hedged attempts of a command, the first included.
	maxCommandAttempts = 4
	// renewalGrace is added to the time that a lease renewal may wait at the executor for
	// the end of a run.
	renewalGrace = 1000 * fulmarclock.Millis(1)
	// acknowledgementSendTimeout is the time in which a renewal that acknowledges ends must be written. An
	// acknowledgement relies on a report: the executor must not have restarted since.
	acknowledgementSendTimeout = 100 * fulmarclock.Millis(1)
	// maxRenewalAttempts is the most hedged attempts of a lease renewal.
	maxRenewalAttempts = 2
	// fleetTimeout is the timeout of a call about VMs.
	fleetTimeout = 1500 * fulmarclock.Millis(1)
	// listInterval is the time between two listings of the platform's VMs.
	listInterval = 1000 * fulmarclock.Millis(1)
	// adviceTimeout is the timeout of a call to the placement advisor beyond the time that the
	// advisor works on it.
	adviceTimeout = 5 * fulmarclock.Second
	// maxAdviceDuration limits the time that the advisor is given for its work.
	maxAdviceDuration = 600 * fulmarclock.Second
	// reportTimeout is the timeout of one attempt to store the state of a wave,
	// reportRetryDelay the delay between two attempts.
	reportTimeout    = 1500 * fulmarclock.Millis(1)
	reportRetryDelay = 200 * fulmarclock.Millis(1)
	// commandGraceFactor times the longest executor lease is how long commands to executors
	// continue after the ownership lease may have expired, as in an outage of the store.
	// The executors' leases limit this time.
	commandGraceFactor = 0.6
	// resignTimeout is the timeout of revoking the ownership lease.
	resignTimeout = 1500 * fulmarclock.Millis(1)
	// executorWatchInterval is the delay between two watches of the executors' entries.
	executorWatchInterval = 30 * fulmarclock.Millis(1)
)
