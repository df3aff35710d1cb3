package fulmarspeculate

// runsPerCopy is the number of running tasks for each of which one copy may run: copies take at most a
// twentieth of what runs.
const runsPerCopy = 20

// Load is the state of the pool that runs and their copies share.
type Load struct {
	// Running is the number of running tasks, without copies.
	Running int
	// Copies is the number of copies that may be running.
	Copies int
	// IsWaiting means that tasks wait for capacity, which copies must not take.
	IsWaiting bool
}

// Budget returns how many more copies may start. One may always run unless tasks wait, so that small
// pools have copies, too.
func (l Load) Budget() int {
	if l.IsWaiting {
		return 0
	}
	return max(max(l.Running/runsPerCopy, 1)-l.Copies, 0)
}
