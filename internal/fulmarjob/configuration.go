package fulmarjob

import (
	"strings"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

// Configuration is the newest configuration document that operators have stored.
type Configuration struct {
	Version  int64
	Queues   []Queue
	Services []Service
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
