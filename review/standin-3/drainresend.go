package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// hangLength is how long some executors leave all calls without an answer.
	hangLength = 5500 * time.Millisecond
	// drainAfter is when they report draining, after the hang has begun.
	drainAfter = 1500 * time.Millisecond
	// drainTimeout is the bound of the rule.
	drainTimeout = 2000
)

// playDrainResend drains an executor that leaves calls unanswered for a time.
func playDrainResend(o options, r *record) verdict {
	p, err := newPlatform(r, map[string]int{"alpha": 10, standbyPool: 2}, []string{"alpha", standbyPool})
	if err != nil {
		return verdict{failure: err}
	}
	queues := []queue{{"queue-a", "/a/", "alpha"}}
	members, c, err := fleetOf(o, r, p, queues, []string{"alpha", standbyPool})
	defer stopAll(members)
	if err != nil {
		return verdict{failure: err}
	}
	stop := make(chan struct{})
	var load sync.WaitGroup
	load.Go(func() { steady(c, queues[0], stop) })
	defer load.Wait()
	defer close(stop)
	time.Sleep(3 * time.Second)
	var broken []string
	end := time.Now().Add(o.length)
	for time.Now().Add(hangLength+4*time.Second).Before(end) && len(broken) == 0 {
		e := busiest(p.executors("alpha"))
		if e == nil {
			return verdict{failure: noExecutorError{}}
		}
		if o.trouble {
			e.setHangs(true)
		}
		time.Sleep(drainAfter)
		e.drain()
		time.Sleep(hangLength - drainAfter)
		e.setHangs(false)
		time.Sleep(3 * time.Second)
		broken = lateStarts(p, e)
		e.end("it leaves")
	}
	return verdict{broken: broken}
}

type noExecutorError struct{}

func (noExecutorError) Error() string { return "the pool has no executor" }

// steady submits jobs that fill half of the pool.
func steady(c *clients, q queue, stop chan struct{}) {
	var jobs sync.WaitGroup
	defer jobs.Wait()
	for {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		jobs.Go(func() {
			c.submit(q, "700", []step{{Count: 5, CPU: 2000, Memory: 1000, Estimated: 700}})
		})
	}
}

// busiest returns the executor with the most runs, of those that are ready.
func busiest(executors []*executor) *executor {
	var best *executor
	most := -1
	for _, e := range executors {
		e.mu.Lock()
		if len(e.running) > most && e.state == "ready" && !e.ended {
			best, most = e, len(e.running)
		}
		e.mu.Unlock()
	}
	return best
}

// lateStarts returns the starts at an executor later than the bound after a member has read that it drains.
func lateStarts(p *platform, e *executor) []string {
	readAt, found := p.store.readAt("servers/" + e.id)
	if !found {
		return nil
	}
	read := readAt.Sub(p.record.start).Milliseconds()
	var broken []string
	for _, s := range p.startsOf() {
		if s.executor == e.id && s.at > read+drainTimeout {
			broken = append(broken, fmt.Sprintf("DRAIN: at %d ms task %s run %d starts at %s, %d ms after a member has read that it drains", s.at, s.task, s.number, s.executor, s.at-read))
		}
	}
	return broken
}
