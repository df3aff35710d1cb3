package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// gangMillis is how long the members of a gang wait for the others.
const gangMillis = 3000

// gang is one run of a gang: its members that are present, and on which executors.
type gang struct {
	members   map[*run]*executor
	isAtWork  bool
	isOver    bool
	completed bool
}

// gangs are the gangs by the job, the step and the run.
var gangs = struct {
	mu    sync.Mutex
	byRun map[string]*gang
}{byRun: map[string]*gang{}}

func gangKey(r *run) string {
	return fmt.Sprintf("%s run %d", r.Task[:strings.LastIndexByte(r.Task, '.')], r.Number)
}

// joinGang adds a run to its gang, which is at work once all members are present. A member that waits
// for too long ends alone.
func (w *world) joinGang(e *executor, r *run) {
	gangs.mu.Lock()
	defer gangs.mu.Unlock()
	g := gangs.byRun[gangKey(r)]
	if g == nil {
		g = &gang{members: map[*run]*executor{}}
		gangs.byRun[gangKey(r)] = g
	}
	g.members[r] = e
	if len(g.members) == r.job.Gang && !g.isOver {
		g.isAtWork = true
		time.AfterFunc(time.Duration(r.job.Millis)*time.Millisecond, func() { g.finish() })
		return
	}
	time.AfterFunc(gangMillis*time.Millisecond, func() {
		gangs.mu.Lock()
		isAlone := !g.isAtWork
		gangs.mu.Unlock()
		if isAlone {
			e.endIfRunning(r, "alone")
		}
	})
}

// finish ends all members together, unless one of them has ended before.
func (g *gang) finish() {
	gangs.mu.Lock()
	if g.isOver {
		gangs.mu.Unlock()
		return
	}
	g.isOver, g.completed = true, true
	gangs.mu.Unlock()
	for r, e := range g.members {
		e.endIfRunning(r, "done")
	}
}

// breakGang ends the other members of a gang of which one has ended.
func (w *world) breakGang(r *run) {
	gangs.mu.Lock()
	defer gangs.mu.Unlock()
	g := gangs.byRun[gangKey(r)]
	if g == nil || g.completed || !g.isAtWork {
		return
	}
	g.isOver = true
	for other, e := range g.members {
		if other != r {
			go e.endIfRunning(other, "broken")
		}
	}
}
