package fulmarjob

import (
	"strings"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

// Configuration is the operators' newest document in full.
type Configuration struct {
	Version  int64
	Queues   []Queue
	Services []Service
}

// Queue is where callers hand jobs in.
type Queue struct {
	Name    string
	Host    string
	Prefix  string
	Service string
	// Priority zero comes first.
	Priority    int
	MaxAttempts int
	// Slack times the longest chain of work, and Aim on top, is how long a job may take to be in time.
	Slack   float64
	Aim     fulmarclock.Millis
	Timeout fulmarclock.Millis
	// NeedsAdvice tells that only the advice service knows which executors may run a step.
	NeedsAdvice bool
}

// Service is a pool of executors.
type Service struct {
	Name string
	// GuardsRoom executors reject what does not fit.
	GuardsRoom bool
	// Standby VMs are off and cost nothing.
	Standby bool
}

// QueueFor returns the queue of a host with the longest prefix of path.
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

// QueueNamed returns the queue with a name.
func (c *Configuration) QueueNamed(name string) (Queue, bool) {
	if c != nil {
		for _, q := range c.Queues {
			if q.Name == name {
				return q, true
			}
		}
	}
	return Queue{}, false
}

// ServiceNamed returns the service with a name.
func (c *Configuration) ServiceNamed(name string) (Service, bool) {
	if c != nil {
		for _, s := range c.Services {
			if s.Name == name {
				return s, true
			}
		}
	}
	return Service{}, false
}

// Wave asks for the upkeep of some VMs.
type Wave struct {
	Number int64
	VMs    []string
	// Within is how long the wave may take from its announcement.
	Within fulmarclock.Millis
	// MaxDown bounds the VMs that are down for the wave at a time.
	MaxDown int
}
