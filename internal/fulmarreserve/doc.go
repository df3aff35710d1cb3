// Package fulmarreserve decides on which executor, and from when, a task that fits nowhere now will
// have room, and whether another task may fill the gap until then. It is pure code over the free
// resources of executors and the estimated ends of what runs there. It addresses mixed loads, in
// which small tasks would take each gap before it is large enough for a large task.
//
// Usage:
//
//	timeline := fulmarreserve.NewTimeline(free, runs)
//	start, found := timeline.EarliestFit(now, large)
//	gap := timeline.GapBefore(start, large)
//	if gap.Admits(free, small, now+longestDuration) { … }   // backfill
//
//	set.Recompute(executorCount)                  // at each placement, in the order of the ranks
//	if !set.IsFull() && start <= limit { set.Add(reservation) }
//	for _, r := range set.TakeRemoved() { … }     // what was not reserved again
package fulmarreserve
