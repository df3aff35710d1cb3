package fulmarsched

import "github.com/fulmardrum/fulmardrum/internal/fulmarclock"

// A repeat suspect runs alone, on an executor that reports often until the run has lasted for
// suspectRuntime. If several such executors in a row crash right after the start, or more of them later,
// other causes are very unlikely: the next starts are delayed ever longer. The task is still not given up.

const (
	// earlyRuntime is how long a run must have been reported before a crash so that the crash does not
	// count as early.
	earlyRuntime = 250 * fulmarclock.Millis(1)
	// earlyCrashLimit is the number of early crashes in a row from which starts are delayed.
	earlyCrashLimit = 2
	// suspicionLimit is the number of suspicions from which starts are delayed, however long the runs
	// had been reported.
	suspicionLimit = 5
	// minRetryDelay is the first delay. It doubles with each further early crash.
	minRetryDelay = 15 * fulmarclock.Second
	maxRetryDelay = 120 * fulmarclock.Second
)

// countEarlyCrash counts the crash of an executor that had confirmed the start of a repeat suspect and
// reported its run for a time.
func (t *task) countEarlyCrash(seenFor fulmarclock.Millis) {
	if seenFor >= earlyRuntime {
		t.earlyCrashes = 0
		return
	}
	t.earlyCrashes++
}

// countDelayed returns how many of a step's waiting tasks may not start yet after early crashes.
func (j *job) countDelayed(tasks []*task, now fulmarclock.Millis) int {
	if j.suspects == 0 {
		return 0
	}
	count := 0
	for _, t := range tasks {
		if t.state == taskWaiting && now < t.retryAt {
			count++
		}
	}
	return count
}

// delayRetry delays the next start of a task, or of its gang, according to its early crashes and its
// suspicions.
func (s *Scheduler) delayRetry(t *task) {
	excess := max(t.earlyCrashes-earlyCrashLimit, t.suspicions-suspicionLimit)
	if excess < 0 {
		return
	}
	delay := minRetryDelay
	for i := 0; i < excess && delay < maxRetryDelay; i++ {
		delay *= 2
	}
	for _, m := range t.startedTogether() {
		m.retryAt = s.now + delay
	}
}
