// Package fulmarqueue is the queue of waiting requests of one pool. It serves
// urgent requests first without starving the others, and divides service among
// teams by weighted fair queueing.
//
// Usage:
//
//	queue := fulmarqueue.New[*Ticket](fulmarqueue.Bounds{MaxWaiting: 1000, TeamShare: 0.5})
//	entry, reason := queue.Push(ticket, "registrars", fulmarapi.Normal)
//	entry, found := queue.Pop()
//	queue.Done(entry)
//
// A queue is not safe for concurrent use. Push, Remove and Done take constant
// time; Pop takes time linear in the number of teams.
package fulmarqueue

import "github.com/fulmardrum/fulmardrum/pkg/fulmarapi"

// Bounds limits the number of waiting requests.
type Bounds struct {
	// MaxWaiting is the maximum number of waiting requests of all teams.
	MaxWaiting int
	// TeamShare is the maximum fraction of MaxWaiting that one team may use, 0 to 1.
	TeamShare float64
}

// TeamQuota is one team's quota. The zero value means weight 1 and no limit.
type TeamQuota struct {
	// Weight is the team's service relative to that of other waiting teams; 0 means 1.
	Weight float64
	// MaxRunning is the maximum number of the team's requests between Pop and Done; 0 means no limit.
	MaxRunning int
}

// Entry is one request in the queue, or popped from it and not yet done.
type Entry[T any] struct {
	value          T
	team           *team[T]
	urgency        fulmarapi.Urgency
	previous, next *Entry[T]
	waiting        bool
}

// Queue holds the waiting requests of a pool.
type Queue[T any] struct {
	bounds           Bounds
	teams            map[string]*team[T]
	waiting          int
	waitingByUrgency [fulmarapi.UrgencyCount]int
	popCount         int
	// virtualTime is the virtual time of the team served last, before that service.
	// A team that starts waiting begins here, so that it gains no credit while idle.
	virtualTime float64
}

// New returns an empty queue.
func New[T any](bounds Bounds) *Queue[T] {
	return &Queue[T]{bounds: bounds, teams: map[string]*team[T]{}}
}

// SetBounds replaces the bounds; requests already waiting stay in the queue.
func (q *Queue[T]) SetBounds(bounds Bounds) { q.bounds = bounds }

// SetQuotas sets the quotas of all teams. A team without one gets the zero quota.
func (q *Queue[T]) SetQuotas(quotas map[string]TeamQuota) {
	for name, t := range q.teams {
		t.quota = quotas[name]
		q.dropIfUnused(t)
	}
	for name, quota := range quotas {
		q.getOrAddTeam(name).quota = quota
	}
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return q.waiting }

// CountAhead returns the number of waiting requests that are at least as urgent as urgency.
func (q *Queue[T]) CountAhead(urgency fulmarapi.Urgency) int {
	n := 0
	for u := fulmarapi.Urgent; u <= urgency; u++ {
		n += q.waitingByUrgency[u]
	}
	return n
}

// Push adds a request at the tail of its team's list. If a bound is reached it
// returns the reason for the refusal, which is empty otherwise.
func (q *Queue[T]) Push(value T, teamName string, urgency fulmarapi.Urgency) (*Entry[T], fulmarapi.Reason) {
	if q.waiting >= q.bounds.MaxWaiting {
		return nil, fulmarapi.ReasonQueueFull
	}
	team := q.getOrAddTeam(teamName)
	if float64(team.waiting) >= float64(q.bounds.MaxWaiting)*q.bounds.TeamShare {
		return nil, fulmarapi.ReasonTeamQueueFull
	}
	entry := &Entry[T]{value: value, team: team, urgency: urgency}
	q.link(entry, false)
	return entry, ""
}

// PushFront returns a popped entry to the head of its team's list; the bounds do not apply.
func (q *Queue[T]) PushFront(entry *Entry[T]) {
	entry.team.running--
	q.link(entry, true)
}

// Remove removes an entry and reports whether it was still waiting.
func (q *Queue[T]) Remove(entry *Entry[T]) bool {
	if !entry.waiting {
		return false
	}
	q.unlink(entry)
	q.dropIfUnused(entry.team)
	return true
}

// Pop removes and returns the next entry of a team that is below its quota.
// The entry counts as running until Done or PushFront.
func (q *Queue[T]) Pop() (*Entry[T], bool) {
	q.popCount++
	for _, urgency := range urgencyOrder(q.popCount) {
		if q.waitingByUrgency[urgency] == 0 {
			continue
		}
		if team := q.nextTeam(urgency); team != nil {
			return q.popFrom(team, urgency), true
		}
	}
	return nil, false
}

// Done records that a popped request has ended.
func (q *Queue[T]) Done(entry *Entry[T]) {
	entry.team.running--
	q.dropIfUnused(entry.team)
}

// Drain removes and returns every waiting request, regardless of quotas.
func (q *Queue[T]) Drain() []T {
	var drained []T
	for _, t := range q.teams {
		for urgency := range t.byUrgency {
			for entry := t.byUrgency[urgency].head; entry != nil; entry = t.byUrgency[urgency].head {
				q.unlink(entry)
				drained = append(drained, entry.value)
			}
		}
		q.dropIfUnused(t)
	}
	return drained
}

// Value returns the request.
func (e *Entry[T]) Value() T { return e.value }

// popFrom removes a team's first request of an urgency and advances the team's virtual time.
func (q *Queue[T]) popFrom(team *team[T], urgency fulmarapi.Urgency) *Entry[T] {
	entry := team.byUrgency[urgency].head
	q.unlink(entry)
	q.virtualTime = team.virtualTime
	team.virtualTime += 1 / team.weight()
	team.running++
	return entry
}

// nextTeam returns the team with the lowest virtual time among those below their quota that
// have a waiting request of an urgency, or nil.
func (q *Queue[T]) nextTeam(urgency fulmarapi.Urgency) *team[T] {
	var best *team[T]
	for _, t := range q.teams {
		if t.byUrgency[urgency].head == nil || t.isAtQuota() {
			continue
		}
		if best == nil || t.virtualTime < best.virtualTime || (t.virtualTime == best.virtualTime && t.name < best.name) {
			best = t
		}
	}
	return best
}

func (q *Queue[T]) getOrAddTeam(name string) *team[T] {
	if t, found := q.teams[name]; found {
		return t
	}
	t := &team[T]{name: name, virtualTime: q.virtualTime}
	q.teams[name] = t
	return t
}

// dropIfUnused deletes a team that has no requests and no quota.
func (q *Queue[T]) dropIfUnused(t *team[T]) {
	if t.waiting == 0 && t.running == 0 && t.quota == (TeamQuota{}) {
		delete(q.teams, t.name)
	}
}

func (q *Queue[T]) link(entry *Entry[T], front bool) {
	if entry.team.waiting == 0 {
		entry.team.virtualTime = max(entry.team.virtualTime, q.virtualTime)
		q.teams[entry.team.name] = entry.team
	}
	entry.team.byUrgency[entry.urgency].link(entry, front)
	entry.waiting = true
	entry.team.waiting++
	q.waitingByUrgency[entry.urgency]++
	q.waiting++
}

func (q *Queue[T]) unlink(entry *Entry[T]) {
	entry.team.byUrgency[entry.urgency].unlink(entry)
	entry.waiting = false
	entry.team.waiting--
	q.waitingByUrgency[entry.urgency]--
	q.waiting--
}

// Every slowFirstInterval-th Pop serves slow requests first, and every
// normalFirstInterval-th normal ones, so that urgent requests cannot starve them.
const (
	normalFirstInterval = 8
	slowFirstInterval   = 32
)

var (
	urgentFirst = [fulmarapi.UrgencyCount]fulmarapi.Urgency{fulmarapi.Urgent, fulmarapi.Normal, fulmarapi.Slow}
	normalFirst = [fulmarapi.UrgencyCount]fulmarapi.Urgency{fulmarapi.Normal, fulmarapi.Slow, fulmarapi.Urgent}
	slowFirst   = [fulmarapi.UrgencyCount]fulmarapi.Urgency{fulmarapi.Slow, fulmarapi.Normal, fulmarapi.Urgent}
)

func urgencyOrder(popCount int) [fulmarapi.UrgencyCount]fulmarapi.Urgency {
	if popCount%slowFirstInterval == 0 {
		return slowFirst
	}
	if popCount%normalFirstInterval == 0 {
		return normalFirst
	}
	return urgentFirst
}
