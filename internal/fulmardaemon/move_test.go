package fulmardaemon_test

import (
	"context"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarassign"
	"github.com/fulmardrum/fulmardrum/internal/fulmarplatform"
	"github.com/fulmardrum/fulmardrum/internal/fulmarstandin"
	"github.com/fulmardrum/fulmardrum/pkg/fulmarapi"
)

const (
	mostInP = `{"pools": {"p": {"vms": 3}, "q": {"vms": 1}}}`
	mostInQ = `{"pools": {"p": {"vms": 1}, "q": {"vms": 3}}}`
)

// moveSteps are the moments of a move at which the planner is cut off from the platform.
var moveSteps = []struct {
	name    string
	reached func(f *fleet) bool
}{
	{"never", nil},
	{"after the mark", func(f *fleet) bool { return len(f.table().Moving()) > 0 }},
	{"after the drain", func(f *fleet) bool {
		return f.anyVM(func(vm fulmarplatform.VM) bool { return vm.State == fulmarplatform.VMLeaving })
	}},
	{"after the reboot", func(f *fleet) bool {
		return f.anyVM(func(vm fulmarplatform.VM) bool { return vm.Boots > 0 })
	}},
	{"after one VM has arrived", func(f *fleet) bool { return f.countIn("q") > 1 }},
}

func (f *fleet) table() fulmarassign.Table {
	table, err := fulmarassign.Decode(f.platform.Store().Get(fulmarassign.TableKey).Value)
	f.c.Assert(err, qt.IsNil)
	return table
}

func (f *fleet) anyVM(holds func(vm fulmarplatform.VM) bool) bool {
	for _, vm := range f.platform.Fleet().List().VMs {
		if holds(vm) {
			return true
		}
	}
	return false
}

func (f *fleet) countIn(pool string) int {
	n := 0
	for _, assignment := range f.table().VMs {
		if assignment.Pool == pool && !assignment.IsMoving() {
			n++
		}
	}
	return n
}

// startMoveFleet returns three members, the first by name behind a link to the platform.
func startMoveFleet(c *qt.C) (f *fleet, planner *lossyLink) {
	f = startFleet(c, 2, 0)
	planner = startLink(c, strings.TrimPrefix(f.platform.URL(), "http://"))
	settings := testSettings(0, "http://"+planner.listener.Addr().String())
	settings.Member = "a-first"
	f.addMember(settings)
	for i := range 4 {
		f.addWorker(fmt.Sprintf("vm-%d", i), 8)
	}
	f.apply(mostInP)
	f.eventually("the VMs are assigned", func() bool { return f.countIn("p") == 3 && f.countIn("q") == 1 })
	f.eventually("the balancer would send callers to every member", f.allReady)
	return f, planner
}

// allReady tells whether every member takes callers. The balancer sends none to the others, which refuse them.
func (f *fleet) allReady() bool {
	for _, m := range f.members {
		if !m.daemon.Entry().IsReady() {
			return false
		}
	}
	return true
}

// keepBusy sends requests to both pools through every member until stop is closed.
func (f *fleet) keepBusy(stop <-chan struct{}) (wait func() []reply) {
	var all sync.WaitGroup
	var mu sync.Mutex
	var replies []reply
	for place := range 24 {
		all.Add(1)
		go func() {
			defer all.Done()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				r := f.sendTo([]string{"p", "q"}[place%2], ask{
					id: fmt.Sprintf("%d-%d", place, i), method: post, member: (place / 2) % len(f.members),
					query: fmt.Sprintf("work=%d", workOf(i+3*place)), timeout: patient,
				})
				mu.Lock()
				replies = append(replies, r)
				mu.Unlock()
			}
		}()
	}
	return func() []reply {
		all.Wait()
		return replies
	}
}

// workOf returns a request's time on its worker; some take far longer than a round of the planner.
func workOf(i int) int {
	if i%10 == 9 {
		return 700
	}
	return 1 + i%20
}

func (f *fleet) sendTo(pool string, a ask) reply {
	a.pool = pool
	return f.send(context.Background(), a)
}

// TestMovesKeepEachVMInOnePool moves VMs under load, with the planner cut off at
// each step, and checks on the workers' side that requests of two pools never
// ran on a VM at the same time and that no older assignment came after a newer one.
func TestMovesKeepEachVMInOnePool(t *testing.T) {
	for _, step := range moveSteps {
		t.Run(step.name, func(t *testing.T) {
			t.Parallel()
			f, planner := startMoveFleet(qt.New(t))
			stop := make(chan struct{})
			wait := f.keepBusy(stop)
			f.eventually("work has begun", func() bool { return len(f.journal.Runs()) > 300 })
			f.apply(mostInQ)
			if step.reached != nil {
				f.eventually(step.name, func() bool { return step.reached(f) })
				planner.cut()
			}
			f.eventually("three VMs are in q", func() bool { return f.countIn("q") == 3 && f.countIn("p") == 1 })
			f.eventually("the moved VMs serve q", func() bool { return f.movedTo("q") == 2 })
			close(stop)
			replies := wait()
			f.checkTruth(replies)
			for _, r := range replies {
				f.c.Check(r.outcome, qt.Equals, fulmarapi.Answered, qt.Commentf("%s %s", r.ask.id, r.reason))
			}
			f.checkOnePool(2)
		})
	}
}

// movedTo counts the VMs that have run requests of a pool after those of another one.
func (f *fleet) movedTo(pool string) int {
	first, moved := map[string]string{}, map[string]bool{}
	for _, run := range f.journal.Runs() {
		if _, known := first[run.Worker]; !known {
			first[run.Worker] = run.Pool
		}
		if run.Pool == pool && first[run.Worker] != pool {
			moved[run.Worker] = true
		}
	}
	return len(moved)
}

// checkOnePool looks at each VM's runs in the order of their starts.
func (f *fleet) checkOnePool(moves int) {
	byVM := map[string][]fulmarstandin.Run{}
	for _, run := range f.journal.Runs() {
		byVM[run.Worker] = append(byVM[run.Worker], run)
	}
	moved := 0
	for vm, runs := range byVM {
		sort.Slice(runs, func(i, j int) bool { return runs[i].Begin < runs[j].Begin })
		lastEnd := int64(0)
		for i := 1; i < len(runs); i++ {
			earlier, later := runs[i-1], runs[i]
			lastEnd = max(lastEnd, earlier.End)
			note := qt.Commentf("%s: %s of %s epoch %s, then %s of %s epoch %s", vm,
				earlier.RequestID, earlier.Pool, earlier.Epoch, later.RequestID, later.Pool, later.Epoch)
			f.c.Check(epochOf(f.c, earlier) <= epochOf(f.c, later), qt.IsTrue, note)
			if earlier.Pool != later.Pool {
				moved++
				f.c.Check(lastEnd < later.Begin, qt.IsTrue, note)
			}
		}
	}
	f.c.Check(moved, qt.Equals, moves, qt.Commentf("VMs that served two pools"))
}

func epochOf(c *qt.C, run fulmarstandin.Run) int {
	epoch, err := strconv.Atoi(run.Epoch)
	c.Assert(err, qt.IsNil)
	return epoch
}

// TestRemovedPoolGivesItsVMsAway removes a pool with a long request in flight.
func TestRemovedPoolGivesItsVMsAway(t *testing.T) {
	t.Parallel()
	f, _ := startMoveFleet(qt.New(t))
	long := make(chan reply, 1)
	go func() { long <- f.sendTo("q", ask{id: "long", method: post, query: "work=1500"}) }()
	f.eventually("it runs", func() bool { return len(f.journal.Runs()) == 1 })
	f.apply(`{"pools": {"p": {"vms": 4}}}`)
	f.eventually("the pool is refused", func() bool {
		r := f.sendTo("q", ask{id: "late", method: http.MethodPost, member: 1})
		return r.reason == fulmarapi.ReasonUnknownPool
	})
	stop := make(chan struct{})
	wait := f.keepBusy(stop)
	f.eventually("its VM serves the other pool", func() bool {
		runs := f.journal.Runs()
		return f.countIn("p") == 4 && runs[len(runs)-1].Worker == runs[0].Worker
	})
	close(stop)
	f.checkTruth(wait())
	r := <-long
	f.c.Assert(r.outcome, qt.Equals, fulmarapi.Answered)
	f.checkOnePool(1)
}
