package fulmarsched

import "github.com/fulmardrum/fulmardrum/internal/fulmarclock"

const (
	// minClockRate is the slowest rate of an executor's clock relative to the owner's.
	minClockRate = 0.98
	// leaseFraction is the requested lease as a fraction of the maximum lease.
	leaseFraction = 0.5
	// renewalFraction limits the wait of a renewal's long poll to a fraction of the requested
	// lease.
	renewalFraction = 0.25
	// startValidity is how long a start command may be executed after it was sent.
	startValidity = 2500 * fulmarclock.Millis(1)
	// freshReport is how long after its request a report shows that its executor can't have restarted since.
	freshReport = 20 * fulmarclock.Millis(1)
	// lateExecutionBound is how long after it was sent a command, any hedged attempt of it included, may
	// be executed without a response.
	lateExecutionBound = 13 * fulmarclock.Second
	// settledRecordDelay is how long the journal waits for other changes before it records a settled start alone.
	settledRecordDelay = fulmarclock.Second
	// maxLastingWait is how long a task that lasts waits for a start of its earlier run that may still be executed.
	maxLastingWait = 4 * fulmarclock.Second
	// resendDelay is the delay before a start or stop without a result is sent again.
	resendDelay = 400 * fulmarclock.Millis(1)
	// expiryMargin is added to leasesEndBy before the leases count as expired.
	expiryMargin = 150 * fulmarclock.Millis(1)
	// maxPollWait limits how long a renewal waits for a run to finish.
	maxPollWait = 1500 * fulmarclock.Millis(1)
	// unresponsiveRecordStep is by how much the remaining lease of an unresponsive executor
	// shrinks between two journal records of it.
	unresponsiveRecordStep = 1000 * fulmarclock.Millis(1)
	// sharedMaxPollWait replaces maxPollWait on executors that run both latency-sensitive and
	// best-effort tasks, whose speed depends on frequent reports.
	sharedMaxPollWait = 400 * fulmarclock.Millis(1)
	// minRenewalInterval is the minimum time between two renewals at one executor.
	minRenewalInterval = 40 * fulmarclock.Millis(1)
	// maxRenewalInterval limits that time when many executors are busy.
	maxRenewalInterval = 200 * fulmarclock.Millis(1)
	// unjournaledRenewalInterval is the renewal interval while finished runs wait for the journal.
	unjournaledRenewalInterval = 500 * fulmarclock.Millis(1)
	// probeInterval is the time between two requests to an executor that does not respond.
	probeInterval = 700 * fulmarclock.Millis(1)
	// noCapacityBackoff is how long no tasks are placed on an executor that rejected a start for
	// lack of capacity.
	noCapacityBackoff = 250 * fulmarclock.Millis(1)
	// unhealthyBackoff is how long no tasks are placed on an executor that refused a start because
	// it is unhealthy, has another incarnation or considers the command malformed.
	unhealthyBackoff = 1000 * fulmarclock.Millis(1)
	// suspectBackoff is how long no tasks are placed on an executor on which tasks of several jobs
	// failed.
	suspectBackoff = 4 * fulmarclock.Second
	// suspectFailures is the number of failures without a success, from at least suspectJobs jobs,
	// after which suspectBackoff applies to an executor.
	suspectFailures = 3
	suspectJobs     = 2
	// statusRetentionMargin is added to Parameters.StatusRetention before an ended job is deleted.
	statusRetentionMargin = 10 * fulmarclock.Second
	// maintenanceTimeoutFactor times the maintenance duration is the time after which a confirmed
	// maintenance counts as done although no new executor incarnation has appeared.
	maintenanceTimeoutFactor = 5
	// drainDuration is the time allowed for draining a VM before its maintenance.
	drainDuration = 1500 * fulmarclock.Millis(1)
	// missingExecutorTimeout is how long a wave waits for the executor of a VM to appear before it
	// takes the VM down without one.
	missingExecutorTimeout = 8 * fulmarclock.Second
	// commandRetryInterval is the delay before a command to the platform is sent again.
	commandRetryInterval = 500 * fulmarclock.Millis(1)
	// fullPercent is the speed of a task that is not throttled, and the progress of a long-running
	// task that is available.
	fullPercent = 100
	// throttleInterval is the minimum time between two speed changes on one executor.
	throttleInterval = 500 * fulmarclock.Millis(1)
	// Best-effort tasks slow down when the tail latency is above slowDownRatio of its target, and
	// speed up by speedUpStep percentage points when it is below speedUpRatio.
	slowDownRatio = 0.7
	speedUpRatio  = 0.4
	speedUpStep   = 10
	// defaultEstimate is the assumed duration of a task without an estimate.
	defaultEstimate = 1000 * fulmarclock.Millis(1)
)
