package fulmarjob

import (
	"math"
	"strings"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

// Configuration is the newest configuration document that operators have stored.
type Configuration struct {
	Version  int64
	Queues   []Queue
	Services []Service
	// HasCustomers means that requests need an API key of one of Customers, which may be empty. Without
	// it nothing is checked.
	HasCustomers bool
	Customers    []Customer
}

// Queue accepts jobs from callers. The journal stores it as JSON under the names of its
// fields; the tags keep the stored names.
type Queue struct {
	Name string
	// Host and Prefix select the requests for this queue; see QueueFor.
	Host   string
	Prefix string
	// Service runs the tasks of the queue's jobs.
	Service string
	// Priority 0 is scheduled first.
	Priority    int
	MaxAttempts int
	// A job meets its target when it takes at most the longest dependency chain of its
	// steps × SlackFactor + TargetLatency.
	SlackFactor   float64            `json:"Slack"`
	TargetLatency fulmarclock.Millis `json:"Aim"`
	Timeout       fulmarclock.Millis
	// NeedsPlacementAdvice means that only the placement advisor knows which executors may run a step.
	NeedsPlacementAdvice bool `json:"NeedsAdvice"`
	// Advice is what the configuration says of the advisor's calls for this queue.
	Advice AdviceTimes `json:"Advice,omitzero"`
	// AllowAnonymous means that requests need no API key.
	AllowAnonymous bool `json:"AllowAnonymous,omitempty"`
}

// AdviceTimes is how long the placement advisor takes and its tickets are valid. The zero value means
// that nothing is known.
type AdviceTimes struct {
	// Decision is the time for a call, to which PerExecutor is added for each executor that it names.
	Decision    fulmarclock.Millis
	PerExecutor fulmarclock.Millis
	// Validity is how long a ticket is valid.
	Validity fulmarclock.Millis
}

// CallDuration returns how long the advisor works on a call about a number of executors.
func (a AdviceTimes) CallDuration(executors int) fulmarclock.Millis {
	return a.Decision + a.PerExecutor*fulmarclock.Millis(executors)
}

// MaxExecutors returns the most executors, at least 1, in a call that takes no more than a fraction of
// the validity of its tickets.
func (a AdviceTimes) MaxExecutors(fraction float64) int {
	if a.PerExecutor == 0 || a.Validity == 0 {
		return math.MaxInt
	}
	duration := fulmarclock.Millis(float64(a.Validity)*fraction) - a.Decision
	return max(1, int(duration/a.PerExecutor))
}

// ExecutorsPerDecision returns how many executors a call can name for as much time as it takes anyway.
func (a AdviceTimes) ExecutorsPerDecision() int {
	if a.PerExecutor == 0 {
		return math.MaxInt
	}
	return int(a.Decision / a.PerExecutor)
}

// Service is a pool of executors.
type Service struct {
	Name string
	// AdmissionControl means that the executors reject tasks beyond their free capacity.
	AdmissionControl bool
	// Standby means that the pool's VMs are powered off and cost nothing.
	Standby bool
}

// QueueFor returns the queue of host whose Prefix is the longest prefix of path.
func (c *Configuration) QueueFor(host, path string) (Queue, bool) {
	if c == nil {
		return Queue{}, false
	}
	found, best := false, Queue{}
	for _, q := range c.Queues {
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (!found || len(q.Prefix) > len(best.Prefix)) {
			found, best = true, q
		}
	}
	return best, found
}

// QueueByName returns the queue with the given name.
func (c *Configuration) QueueByName(name string) (Queue, bool) {
	if c != nil {
		for _, q := range c.Queues {
			if q.Name == name {
				return q, true
			}
		}
	}
	return Queue{}, false
}

// ServiceByName returns the service with the given name.
func (c *Configuration) ServiceByName(name string) (Service, bool) {
	if c != nil {
		for _, s := range c.Services {
			if s.Name == name {
				return s, true
			}
		}
	}
	return Service{}, false
}

// Wave is an operator's request to maintain a set of VMs, a few at a time.
type Wave struct {
	Number int64
	VMs    []string
	// MaxDuration is the longest time the wave may take, counted from its announcement.
	MaxDuration fulmarclock.Millis
	// MaxDown is the most VMs that may be down for the wave at the same time.
	MaxDown int
}
