package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	// heldTimeout is how long the case waits for the start.
	heldTimeout = 10 * time.Second
	// lateBy is for how long the start is under way.
	lateBy = 4000 * time.Millisecond
	// killAt, crashAt and backAt are when, after the start was sent, the owner is killed, the executor
	// crashes, and its next life begins.
	killAt  = 2900 * time.Millisecond
	crashAt = 3000 * time.Millisecond
	backAt  = 3600 * time.Millisecond
)

// playLateStart lets a start arrive late, after the executor has restarted under its ID and before a new
// owner has reached it. Another attempt of the start was answered, and its run has ended.
func playLateStart(o options, r *record) verdict {
	p, err := newPlatformWithPaths(r, map[string]int{"alpha": 8}, []string{"alpha"})
	if err != nil {
		return verdict{failure: err}
	}
	queues := []queue{{"queue-a", "/a/", "alpha"}}
	members, c, err := fleetOf(o, r, p, queues, []string{"alpha"})
	defer stopAll(members)
	if err != nil {
		return verdict{failure: err}
	}
	time.Sleep(2 * time.Second)
	p.held.arm()
	job, accepted := c.submit(queues[0], "500", []step{{Count: 1, CPU: 1000, Memory: 500, Estimated: 500}})
	if !accepted {
		return verdict{failure: notReadyError{}}
	}
	select {
	case <-p.held.held:
	case <-time.After(heldTimeout):
		return verdict{failure: noStartError{}}
	}
	heldAt := time.Now()
	e, task := p.byID(p.held.id), job+".0.0.0"
	if e == nil {
		return verdict{failure: noExecutorError{}}
	}
	r.logf("the first attempt of the start of %s at %s is under way", task, e.id)
	sleepUntil(heldAt.Add(2 * time.Second))
	status, body := c.call(http.MethodGet, members[0], queues[0].prefix+job, nil)
	r.logf("client asks for job %s: %d %s", job, status, body)
	sleepUntil(heldAt.Add(killAt))
	if o.trouble {
		killOwner(p, members)
	}
	sleepUntil(heldAt.Add(crashAt))
	if o.trouble {
		e.crash()
		sleepUntil(heldAt.Add(backAt))
		p.restart(e)
	}
	sleepUntil(heldAt.Add(lateBy))
	p.held.passOn(r)
	time.Sleep(3 * time.Second)
	return verdict{broken: repeatedStarts(p, task)}
}

type noStartError struct{}

func (noStartError) Error() string { return "no start was sent" }

func sleepUntil(at time.Time) { time.Sleep(time.Until(at)) }

// killOwner kills the member that owns the scheduler.
func killOwner(p *platform, members []*member) {
	var owner struct {
		Member string `json:"member"`
	}
	if json.Unmarshal(p.store.get("fulmardrum/owner"), &owner) != nil {
		return
	}
	for _, m := range members {
		if m.name == owner.Member {
			_ = m.command.Process.Signal(syscall.SIGKILL)
			p.record.logf("%s, the owner, is killed", m.name)
		}
	}
}

// repeatedStarts returns the starts of a task after a run that ended done and was taken note of. An end is
// forgotten, and no longer listed, once it was.
func repeatedStarts(p *platform, task string) []string {
	p.startsMu.Lock()
	defer p.startsMu.Unlock()
	doneAt, found := p.noted[task]
	if !found {
		return nil
	}
	var broken []string
	for _, s := range p.starts {
		if s.task == task && s.at > doneAt {
			broken = append(broken, fmt.Sprintf("TWICE: at %d ms task %s run %d starts at %s, although it had ended done, and that had been taken note of at %d ms", s.at, task, s.number, s.executor, doneAt))
		}
	}
	return broken
}
