package fulmarsched

import "github.com/fulmardrum/fulmardrum/internal/fulmarclock"

const (
	// slowestClock is the slowest rate of an executor's clock against ours.
	minClockRate = 0.98
	// leaseShare is the part of the longest lease that is asked for.
	leaseFraction = 0.5
	// renewShare is the part of the asked lease that may pass before the next renewal.
	renewalFraction = 0.25
	// startValidity is how long a start order may be carried out after it was sent.
	startValidity = 2500 * fulmarclock.Millis(1)
	// resendAfter is the wait before a start without an answer is sent again.
	resendDelay = 400 * fulmarclock.Millis(1)
	// lapseMargin is added to the time at which a lease has surely ended.
	expiryMargin = 150 * fulmarclock.Millis(1)
	// longPoll bounds how long a renewal waits for an end.
	maxPollWait = 1500 * fulmarclock.Millis(1)
	// silenceStep is by how much the rest of a silent executor's lease shrinks between two records of it.
	unresponsiveRecordStep = 1000 * fulmarclock.Millis(1)
	// sharedPoll bounds that wait where serving and filling tasks share an executor.
	sharedMaxPollWait = 400 * fulmarclock.Millis(1)
	// minHoldGap is the least time between two renewals at one executor.
	minRenewalInterval = 40 * fulmarclock.Millis(1)
	// maxHoldGap bounds that time where many executors are busy.
	maxRenewalInterval = 200 * fulmarclock.Millis(1)
	// stalledHoldGap is that time while ends wait for the journal.
	unjournaledRenewalInterval = 500 * fulmarclock.Millis(1)
	// probeGap is the time between two calls to an executor that does not answer.
	probeInterval = 700 * fulmarclock.Millis(1)
	// fullPause keeps tasks away from an executor that had no room.
	noCapacityPause = 250 * fulmarclock.Millis(1)
	// unhealthyPause keeps tasks away from an executor that refused an order.
	unhealthyPause = 1000 * fulmarclock.Millis(1)
	// blamedPause keeps tasks away from an executor on which the tasks of several jobs failed.
	suspectPause = 4 * fulmarclock.Second
	// blamedFailures in a row, of at least blamedJobs jobs, bring an executor under suspicion.
	suspectFailures = 3
	suspectJobs     = 2
	// keptExtra is how much longer than promised the state of an ended job is known.
	statusRetentionMargin = 10 * fulmarclock.Second
	// returnedVMAfter is when a VM whose upkeep was ordered counts as back although nothing was heard of it, in
	// multiples of the time that an upkeep takes.
	maintenanceTimeoutFactor = 5
	// emptyingTime is how long a VM takes to run empty before its upkeep.
	drainDuration = 1500 * fulmarclock.Millis(1)
	// absentVMAfter is when a VM without an executor is ordered down without waiting for one.
	missingExecutorTimeout = 8 * fulmarclock.Second
	// orderRetry is the wait before an order to the fleet is sent again.
	commandRetryInterval = 500 * fulmarclock.Millis(1)
	// fullSpeed is the pace of a task that is not slowed, in percent.
	fullSpeed = 100
	// paceEvery is the least time between two changes of the pace on one executor.
	throttleInterval = 500 * fulmarclock.Millis(1)
	// A tail above paceDownAt of its target slows the filling tasks; below paceUpAt they speed up.
	slowDownRatio = 0.7
	speedUpRatio  = 0.4
	speedUpStep   = 10
	// defaultEstimate is the assumed duration of a task without an estimate.
	defaultEstimate = 1000 * fulmarclock.Millis(1)
)
