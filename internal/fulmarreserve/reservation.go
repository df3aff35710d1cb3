package fulmarreserve

import (
	"cmp"
	"slices"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// reservableFraction limits the reservations to one for so many executors of a service. Held
// capacity is lost to all other tasks when an estimate is wrong.
const reservableFraction = 8

// Reservation assigns future capacity of an executor to a task that waits.
type Reservation struct {
	Task     fulmarjob.TaskID
	Executor string
	// Start is when the task is expected to fit.
	Start fulmarclock.Millis
	// Since is when the task got its reservation, on whichever executor.
	Since fulmarclock.Millis
}

// Limit returns the latest start of a reservation. It holds capacity for at most the task's estimated
// duration, less what the task's earlier reservations held, and not beyond latestStart, the time from
// which the task would be late.
func Limit(since, held, duration, latestStart fulmarclock.Millis) fulmarclock.Millis {
	return min(since+duration-held, latestStart)
}

// Set holds the reservations of a service, at most one for each task and each executor. They are
// recomputed at each placement. The zero value is empty and admits none.
type Set struct {
	maximum int
	current []Reservation
	// earlier are those of the placement before that are not reserved again so far.
	earlier []Reservation
}

// Recompute begins a placement on a number of executors.
func (s *Set) Recompute(executors int) {
	s.maximum = executors / reservableFraction
	s.earlier, s.current = append(s.earlier, s.current...), s.current[:0]
}

// IsFull reports whether no more reservations are permitted.
func (s *Set) IsFull() bool { return len(s.current) >= s.maximum }

// All returns the present reservations, in the order in which they were added. The slice is valid until
// the next call of Recompute.
func (s *Set) All() []Reservation { return s.current }

// HasExecutor reports whether the executor is reserved.
func (s *Set) HasExecutor(id string) bool {
	return slices.ContainsFunc(s.current, func(r Reservation) bool { return r.Executor == id })
}

// Earlier returns the reservation that the task had at the placement before.
func (s *Set) Earlier(task fulmarjob.TaskID) (Reservation, bool) {
	if i := indexOf(s.earlier, task); i >= 0 {
		return s.earlier[i], true
	}
	return Reservation{}, false
}

// Add adds a reservation. It returns false, without effect, if the set is full or if the task or the
// executor has one.
func (s *Set) Add(r Reservation) bool {
	if s.IsFull() || indexOf(s.current, r.Task) >= 0 || s.HasExecutor(r.Executor) {
		return false
	}
	s.current = append(s.current, r)
	if i := indexOf(s.earlier, r.Task); i >= 0 && s.earlier[i].Executor == r.Executor {
		s.earlier = slices.Delete(s.earlier, i, i+1)
	}
	return true
}

// TakeRemoved returns the earlier reservations that were not added again on the same executor. The slice
// is valid until the next call of Recompute.
func (s *Set) TakeRemoved() []Reservation {
	removed := s.earlier
	s.earlier = s.earlier[:0]
	return removed
}

func indexOf(reservations []Reservation, task fulmarjob.TaskID) int {
	return slices.IndexFunc(reservations, func(r Reservation) bool { return r.Task == task })
}

// Choice is an executor on which a task could get a reservation.
type Choice struct {
	Executor string
	Start    fulmarclock.Millis
}

// MoveGain is by how much sooner a task must fit elsewhere for its reservation to move. The gaps that
// were held so far are lost then, and estimates vary by some runs' ends.
const MoveGain = 100 * fulmarclock.Millis(1)

// Soonest returns the choice with the earliest start, the first by executor among equals; the present
// executor unless another one is sooner by MoveGain. It returns false if there is none.
func Soonest(choices []Choice, present string) (Choice, bool) {
	if len(choices) == 0 {
		return Choice{}, false
	}
	best := slices.MinFunc(choices, func(a, b Choice) int {
		return cmp.Or(cmp.Compare(a.Start, b.Start), cmp.Compare(a.Executor, b.Executor))
	})
	for _, c := range choices {
		if c.Executor == present && c.Start < best.Start+MoveGain {
			return c, true
		}
	}
	return best, true
}
