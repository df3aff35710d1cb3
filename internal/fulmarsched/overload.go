package fulmarsched

// maxWaitingFraction is the CPU that the waiting tasks of jobs on time request, as a fraction of the
// service's, above which none is reserved: the pool is overloaded, and capacity that is held idle
// for a large job would serve several small ones in time.
const maxWaitingFraction = 0.4

// overloadState says whether a service is overloaded.
type overloadState int

const (
	overloadUnknown overloadState = iota
	notOverloaded
	overloaded
)

// isOverloaded reports whether the tasks that wait and could be on time request too much CPU for
// reservations.
func (l *lookAhead) isOverloaded(service string) bool {
	if l.overload == overloadUnknown {
		l.overload = notOverloaded
		if l.waitsForMore(service, int64(maxWaitingFraction*float64(l.capacity))) {
			l.overload = overloaded
		}
	}
	return l.overload == overloaded
}

// waitsForMore reports whether the waiting tasks of a service's jobs on time request more than limit
// millicores.
func (l *lookAhead) waitsForMore(service string, limit int64) bool {
	for _, j := range l.scheduler.services().jobs[service] {
		if j.rank.class != classOnTime {
			continue
		}
		for _, o := range j.activeOccurrences {
			for i := range o.steps {
				if o.isStepPlaceable(j, i) && !j.state.IsFinal() {
					limit -= int64(o.waiting[i]) * o.steps[i][0].step.Reserved().MilliCPU
				}
			}
		}
		if limit < 0 {
			return true
		}
	}
	return false
}
