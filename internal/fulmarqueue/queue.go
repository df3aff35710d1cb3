// Package fulmarqueue orders the waiting requests of one pool: the urgent
// first without starving the rest, and fair among teams.
//
// Usage:
//
//	queue := fulmarqueue.New[*Ticket](fulmarqueue.Bounds{Requests: 1000, TeamShare: 0.5})
//	entry, refusal := queue.Push(ticket, "registrars", fulmarapi.Normal)
//	ticket, found := queue.Pop()
//	queue.Done("registrars")
//
// A queue belongs to one goroutine. Push, Remove and Done take constant time;
// Pop takes time in proportion to the waiting teams.
package fulmarqueue

import "github.com/fulmardrum/fulmardrum/pkg/fulmarapi"

// Bounds limit a queue.
type Bounds struct {
	// Requests bounds all waiting requests.
	Requests int
	// TeamShare bounds one team's part of Requests, 0 to 1.
	TeamShare float64
}

// TeamBounds is one team's quota.
type TeamBounds struct {
	// Weight is the team's share against other waiting teams.
	Weight float64
	// Running bounds the team's requests between Pop and Done; zero means no bound.
	Running int
}

// Entry is one waiting request.
type Entry[T any] struct {
	value          T
	team           *team[T]
	urgency        fulmarapi.Urgency
	previous, next *Entry[T]
	waiting        bool
}

// Queue holds the waiting requests of a pool.
type Queue[T any] struct {
	bounds  Bounds
	teams   map[string]*team[T]
	waiting int
	byClass [fulmarapi.UrgencyCount]int
	pops    int
	// served is the virtual service of the team that was served last.
	served float64
}

// New returns an empty queue.
func New[T any](bounds Bounds) *Queue[T] {
	return &Queue[T]{bounds: bounds, teams: map[string]*team[T]{}}
}

// SetBounds replaces the limits; requests already waiting stay.
func (q *Queue[T]) SetBounds(bounds Bounds) { q.bounds = bounds }

// SetTeam sets a team's quota.
func (q *Queue[T]) SetTeam(name string, bounds TeamBounds) { q.team(name).bounds = bounds }

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return q.waiting }

// Ahead returns how many waiting requests are at least as urgent.
func (q *Queue[T]) Ahead(urgency fulmarapi.Urgency) int {
	n := 0
	for u := fulmarapi.Urgent; u <= urgency; u++ {
		n += q.byClass[u]
	}
	return n
}

// Push adds a request at the end of its team's list, or returns the reason of its refusal.
func (q *Queue[T]) Push(value T, name string, urgency fulmarapi.Urgency) (*Entry[T], fulmarapi.Reason) {
	if q.waiting >= q.bounds.Requests {
		return nil, fulmarapi.ReasonQueueFull
	}
	team := q.team(name)
	if float64(team.waiting) >= float64(q.bounds.Requests)*q.bounds.TeamShare {
		return nil, fulmarapi.ReasonTeamQueueFull
	}
	entry := &Entry[T]{value: value, team: team, urgency: urgency}
	q.link(entry, false)
	return entry, ""
}

// PushFront puts a popped entry back at the head of its team's list; the limits do not apply.
func (q *Queue[T]) PushFront(entry *Entry[T]) {
	entry.team.running--
	q.link(entry, true)
}

// Remove takes a waiting entry out and reports whether it was waiting.
func (q *Queue[T]) Remove(entry *Entry[T]) bool {
	if !entry.waiting {
		return false
	}
	q.unlink(entry)
	q.forget(entry.team)
	return true
}

// Pop takes the next entry of a team within its quota. The team's request counts as running until Done.
func (q *Queue[T]) Pop() (*Entry[T], bool) {
	q.pops++
	for _, urgency := range classOrder(q.pops) {
		if q.byClass[urgency] == 0 {
			continue
		}
		if team := q.leastServed(urgency); team != nil {
			return q.take(team, urgency), true
		}
	}
	return nil, false
}

// Done tells that a popped request has ended.
func (q *Queue[T]) Done(entry *Entry[T]) {
	entry.team.running--
	q.forget(entry.team)
}

// Drain takes out every waiting request, whatever the quotas say.
func (q *Queue[T]) Drain() []T {
	var drained []T
	for _, t := range q.teams {
		for urgency := range t.classes {
			for entry := t.classes[urgency].head; entry != nil; entry = t.classes[urgency].head {
				q.unlink(entry)
				drained = append(drained, entry.value)
			}
		}
		q.forget(t)
	}
	return drained
}

// Value returns the request.
func (e *Entry[T]) Value() T { return e.value }

func (q *Queue[T]) take(team *team[T], urgency fulmarapi.Urgency) *Entry[T] {
	entry := team.classes[urgency].head
	q.unlink(entry)
	q.served = team.served
	team.served += 1 / team.weight()
	team.running++
	return entry
}

func (q *Queue[T]) leastServed(urgency fulmarapi.Urgency) *team[T] {
	var least *team[T]
	for _, t := range q.teams {
		if t.classes[urgency].head == nil || t.isAtQuota() {
			continue
		}
		if least == nil || t.served < least.served || (t.served == least.served && t.name < least.name) {
			least = t
		}
	}
	return least
}

func (q *Queue[T]) team(name string) *team[T] {
	if t, known := q.teams[name]; known {
		return t
	}
	t := &team[T]{name: name, served: q.served}
	q.teams[name] = t
	return t
}

// forget drops a team that holds nothing and has no quota.
func (q *Queue[T]) forget(t *team[T]) {
	if t.waiting == 0 && t.running == 0 && t.bounds == (TeamBounds{}) {
		delete(q.teams, t.name)
	}
}

func (q *Queue[T]) link(entry *Entry[T], front bool) {
	if entry.team.waiting == 0 {
		entry.team.served = max(entry.team.served, q.served)
		q.teams[entry.team.name] = entry.team
	}
	entry.team.classes[entry.urgency].link(entry, front)
	entry.waiting = true
	entry.team.waiting++
	q.byClass[entry.urgency]++
	q.waiting++
}

func (q *Queue[T]) unlink(entry *Entry[T]) {
	entry.team.classes[entry.urgency].unlink(entry)
	entry.waiting = false
	entry.team.waiting--
	q.byClass[entry.urgency]--
	q.waiting--
}

// Every slowTurn-th pop looks at the slow requests first, and every normalTurn-th at the normal ones.
const (
	normalTurn = 8
	slowTurn   = 32
)

var (
	urgentFirst = [fulmarapi.UrgencyCount]fulmarapi.Urgency{fulmarapi.Urgent, fulmarapi.Normal, fulmarapi.Slow}
	normalFirst = [fulmarapi.UrgencyCount]fulmarapi.Urgency{fulmarapi.Normal, fulmarapi.Slow, fulmarapi.Urgent}
	slowFirst   = [fulmarapi.UrgencyCount]fulmarapi.Urgency{fulmarapi.Slow, fulmarapi.Normal, fulmarapi.Urgent}
)

func classOrder(pops int) [fulmarapi.UrgencyCount]fulmarapi.Urgency {
	if pops%slowTurn == 0 {
		return slowFirst
	}
	if pops%normalTurn == 0 {
		return normalFirst
	}
	return urgentFirst
}
