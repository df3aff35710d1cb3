package fulmarsched

import (
	"cmp"
	"slices"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// rank orders jobs: lower comes first.
type rank struct {
	priority int
	// class is 0 for lasting work, 1 for what can be in time, 2 for what is late.
	class int
	// slack is the time left beyond the remaining chain of work.
	slack fulmarclock.Millis
}

// The classes of a rank.
const (
	classLasting = iota
	classInTime
	classLate
)

func (r rank) compare(o rank) int {
	return cmp.Or(cmp.Compare(r.priority, o.priority), cmp.Compare(r.class, o.class), cmp.Compare(r.slack, o.slack))
}

func (s *Scheduler) rankOf(j *job) rank {
	r := rank{priority: j.queue.Priority}
	if j.lasting {
		r.class = classLasting
		r.slack = j.received
		return r
	}
	r.class = classInTime
	r.slack = j.deadline - s.now - s.remainingChain(j)
	if r.slack < 0 {
		r.class = classLate
		r.slack = j.received
	}
	return r
}

// place gives waiting tasks to executors, the best ranked jobs first. It answers
// the load of queues that ask for more than their pool holds.
func (s *Scheduler) place() {
	waiting := s.waitingJobs()
	if len(waiting) == 0 {
		return
	}
	for _, j := range waiting {
		j.rank = s.rankOf(j)
	}
	slices.SortStableFunc(waiting, func(a, b *job) int { return a.rank.compare(b.rank) })
	pools := s.usableByService()
	for _, j := range waiting {
		if pool := pools[j.queue.Service]; len(pool) > 0 {
			s.placeJob(j, pool)
		}
	}
}

// waitingJobs returns the jobs that have a task to place.
func (s *Scheduler) waitingJobs() []*job {
	var waiting []*job
	for _, j := range s.order {
		if !j.state.IsFinal() && j.hasWaiting() {
			waiting = append(waiting, j)
		}
	}
	return waiting
}

func (j *job) hasWaiting() bool {
	for _, o := range j.active {
		for i, tasks := range o.steps {
			if o.left[i] == 0 || !o.stepReady(j, i) {
				continue
			}
			if anyWaiting(tasks) {
				return true
			}
		}
	}
	return false
}

func anyWaiting(tasks []*task) bool {
	return slices.ContainsFunc(tasks, func(t *task) bool { return t.state == taskWaiting })
}

func (s *Scheduler) usableByService() map[string][]*executor {
	pools := map[string][]*executor{}
	for _, e := range s.sorted() {
		if e.isUsable(s.now) {
			pools[e.info.Service] = append(pools[e.info.Service], e)
		}
	}
	for _, pool := range pools {
		slices.SortFunc(pool, func(a, b *executor) int { return cmp.Compare(a.info.ID, b.info.ID) })
	}
	return pools
}

func (s *Scheduler) placeJob(j *job, pool []*executor) {
	for _, o := range j.active {
		for i, tasks := range o.steps {
			if o.left[i] == 0 || !o.stepReady(j, i) {
				continue
			}
			if !anyWaiting(tasks) {
				continue
			}
			allowed := s.allowed(j, o, i, pool)
			if j.specification.Steps[i].Gang {
				s.placeGang(tasks, allowed)
				continue
			}
			s.placeEach(o, i, allowed)
		}
	}
}

func (s *Scheduler) placeEach(o *occurrence, step int, pool []*executor) {
	for _, t := range o.steps[step] {
		if t.state != taskWaiting {
			continue
		}
		e := choose(t, o.steps[step], pool)
		if e == nil {
			return
		}
		s.put(t, e, t.run+1)
	}
}

// placeGang places all members of a gang, or none when there is no room for all.
func (s *Scheduler) placeGang(members []*task, pool []*executor) {
	run := int64(0)
	for _, t := range members {
		if t.state != taskWaiting {
			return
		}
		run = max(run, t.run)
	}
	chosen := make([]*executor, len(members))
	for i, t := range members {
		if chosen[i] = choose(t, members, pool); chosen[i] == nil {
			break
		}
		chosen[i].add(t)
	}
	complete := chosen[len(members)-1] != nil
	saved := newestSaved(members)
	for i, t := range members {
		if chosen[i] == nil {
			break
		}
		chosen[i].remove(t)
		t.state = taskWaiting
		if complete {
			t.saved = saved
			s.put(t, chosen[i], run+1)
		}
	}
}

// newestSaved returns one checkpoint for all members of a gang.
func newestSaved(members []*task) string {
	saved := ""
	for _, t := range members {
		saved = max(saved, t.saved)
	}
	return saved
}

// put places a task; its start goes out when the journal holds the placement.
func (s *Scheduler) put(t *task, e *executor, run int64) {
	t.run = run
	t.sent, t.answered, t.running, t.stopping, t.stopped, t.percent = 0, 0, 0, false, 0, 0
	t.ordered, t.stored = s.now, false
	e.add(t)
	s.starts = append(s.starts, t)
	s.touch(t.job)
	s.log.Log("task placed", "job", t.id.Job, "step", t.id.Step, "index", t.id.Index, "run", run, "executor", e.info.ID, "slack_ms", t.job.rank.slack, "free_mcpu", e.free().MilliCPU)
}

// choose returns the executor for a task, or nil when none has room.
func choose(t *task, step []*task, pool []*executor) *executor {
	var best *executor
	bestScore := 0.0
	for _, e := range pool {
		if !admits(e, t, step) {
			continue
		}
		score := scoreOf(e, t)
		if best == nil || score > bestScore {
			best, bestScore = e, score
		}
	}
	return best
}

func admits(e *executor, t *task, step []*task) bool {
	if !t.step.Counted().FitsIn(e.free()) || !e.info.HasLabel(t.step.Label) {
		return false
	}
	if t.step.MaxPerExecutor == 0 {
		return true
	}
	n := 0
	for _, m := range step {
		if m.executor == e {
			n++
		}
	}
	return n < t.step.MaxPerExecutor
}

// The weights of what speaks for an executor, against its free share between 0 and 1.
const (
	scoreNearData   = 4.0
	scoreOtherPlace = 2.0
)

// scoreOf prefers executors near the data, then those where the task did not
// fail. Lasting tasks go where most is free, others where least is left over.
func scoreOf(e *executor, t *task) float64 {
	score := 0.0
	if t.step.NearRack != "" && t.step.NearRack == e.info.Rack {
		score += scoreNearData
	}
	if t.failedOn != e.info.ID {
		score += scoreOtherPlace
	}
	free := freeShare(e)
	if t.step.Lasting {
		return score + free
	}
	return score - free
}

func freeShare(e *executor) float64 {
	if e.info.Capacity.MilliCPU == 0 {
		return 0
	}
	return float64(e.free().MilliCPU) / float64(e.info.Capacity.MilliCPU)
}

// refusal decides whether a new job surely can't be in time.
func (s *Scheduler) refusal(j *job) (Decision, bool) {
	if j.lasting || j.specification.FirstDue > 0 {
		return Decision{}, false
	}
	room := fulmarjob.Resources{}
	for _, e := range s.sorted() {
		if e.info.Service == j.queue.Service && e.isUsable(s.now) {
			room = room.Plus(e.info.Capacity)
		}
	}
	if room.MilliCPU == 0 {
		return Decision{}, false
	}
	wait := fulmarclock.Millis(s.backlog(j.queue.Service) / float64(room.MilliCPU))
	slack := j.queue.Aim + fulmarclock.Millis((j.queue.Slack-1)*float64(s.chain(j, nil)))
	if wait <= slack {
		return Decision{}, false
	}
	return Decision{Outcome: OutcomeRefused, Reason: "backlog", RetryAfter: wait - slack}, true
}

// backlog returns the work, in milliseconds of a thousandth of a core, that is waiting in a service's queues.
func (s *Scheduler) backlog(service string) float64 {
	sum := 0.0
	for _, j := range s.order {
		if j.queue.Service != service || j.state.IsFinal() || j.lasting {
			continue
		}
		j.each(func(t *task) {
			if t.state == taskWaiting {
				sum += float64(t.step.Need.MilliCPU) * float64(s.estimate(t.job, t.step))
			}
		})
	}
	return sum
}
