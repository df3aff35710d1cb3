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
	threeInP = `{"pools": {"p": {"vms": 3}, "q": {"vms": 1}}}`
	threeInQ = `{"pools": {"p": {"vms": 1}, "q": {"vms": 3}}}`
)

// movePhases are the phases of a move after which the planner is isolated from the platform.
var movePhases = []struct {
	name    string
	reached func(f *fleet) bool
}{
	{"never", nil},
	{"after the VM is marked as moving", func(f *fleet) bool { return len(f.table().MovingVMs()) > 0 }},
	{"after the drain", func(f *fleet) bool {
		return f.hasVMWhere(func(vm fulmarplatform.VM) bool { return vm.State == fulmarplatform.VMDraining })
	}},
	{"after the reboot", func(f *fleet) bool {
		return f.hasVMWhere(func(vm fulmarplatform.VM) bool { return vm.BootCount > 0 })
	}},
	{"after one VM has moved", func(f *fleet) bool { return f.countIn("q") > 1 }},
}

// table returns the stored assignments.
func (f *fleet) table() fulmarassign.Table {
	table, err := fulmarassign.Decode(f.platform.Store().Get(fulmarassign.TableKey).Value)
	f.c.Assert(err, qt.IsNil)
	return table
}

// hasVMWhere reports whether a condition holds for any VM in the platform's list.
func (f *fleet) hasVMWhere(holds func(vm fulmarplatform.VM) bool) bool {
	for _, vm := range f.platform.Fleet().List().VMs {
		if holds(vm) {
			return true
		}
	}
	return false
}

// countIn returns the number of VMs assigned to a pool that are not moving.
func (f *fleet) countIn(pool string) int {
	n := 0
	for _, assignment := range f.table().VMs {
		if assignment.Pool == pool && !assignment.IsMoving() {
			n++
		}
	}
	return n
}

// startMoveFleet returns a fleet of three members and four VMs in the pools "p" and
// "q". The planner, first by name, reaches the platform through a proxy only.
func startMoveFleet(c *qt.C) (f *fleet, planner *tcpProxy) {
	f = startFleet(c, 2, 0)
	planner = startTCPProxy(c, strings.TrimPrefix(f.platform.URL(), "http://"))
	settings := testSettings(0, "http://"+planner.listener.Addr().String())
	settings.Member = "a-first"
	f.addMember(settings)
	for i := range 4 {
		f.addWorker(fmt.Sprintf("vm-%d", i), 8)
	}
	f.apply(threeInP)
	f.eventually("the VMs are assigned", func() bool { return f.countIn("p") == 3 && f.countIn("q") == 1 })
	f.eventually("every member is ready", f.allMembersReady)
	// A member that is ready may still use the configuration before, without the pool "q".
	f.eventually("every member has a scheduler for each pool", func() bool { return f.allMembersServe("p", "q") })
	return f, planner
}

// allMembersServe reports whether every member has applied a configuration with the pools.
func (f *fleet) allMembersServe(pools ...string) bool {
	for _, m := range f.members {
		for _, pool := range pools {
			if _, found := m.daemon.Record().Document.Pools[pool]; !found {
				return false
			}
		}
	}
	return true
}

// allMembersReady reports whether every member accepts callers. One that is not ready refuses them.
func (f *fleet) allMembersReady() bool {
	for _, m := range f.members {
		if !m.daemon.Gateway().IsReady() {
			return false
		}
	}
	return true
}

// startLoad sends requests to both pools through every member until stop is closed.
// wait returns the responses once all requests have ended.
func (f *fleet) startLoad(stop <-chan struct{}) (wait func() []clientResponse) {
	var all sync.WaitGroup
	var mu sync.Mutex
	var responses []clientResponse
	for index := range 24 {
		all.Add(1)
		go func() {
			defer all.Done()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				r := f.sendTo([]string{"p", "q"}[index%2], clientRequest{
					id: fmt.Sprintf("%d-%d", index, i), method: post, member: (index / 2) % len(f.members),
					query: fmt.Sprintf("work=%d", workMillis(i+3*index)), timeout: waitTimeout,
				})
				mu.Lock()
				responses = append(responses, r)
				mu.Unlock()
			}
		}()
	}
	return func() []clientResponse {
		all.Wait()
		return responses
	}
}

// workMillis returns how long request i runs on its worker; some take far longer than a planning round.
func workMillis(i int) int {
	if i%10 == 9 {
		return 700
	}
	return 1 + i%20
}

func (f *fleet) sendTo(pool string, req clientRequest) clientResponse {
	req.pool = pool
	return f.send(context.Background(), req)
}

// TestVMServesOnePoolAtATimeDuringMoves moves VMs between pools under load and
// isolates the planner from the platform at each phase. By the workers' journal, no
// VM may run requests of two pools at the same time, nor a request of an older
// assignment after one of a newer.
func TestVMServesOnePoolAtATimeDuringMoves(t *testing.T) {
	for _, phase := range movePhases {
		t.Run(phase.name, func(t *testing.T) {
			t.Parallel()
			f, planner := startMoveFleet(qt.New(t))
			stop := make(chan struct{})
			wait := f.startLoad(stop)
			f.eventually("the load is running", func() bool { return len(f.journal.Runs()) > 300 })
			f.apply(threeInQ)
			if phase.reached != nil {
				f.eventually(phase.name, func() bool { return phase.reached(f) })
				planner.disconnect()
			}
			f.eventually("three VMs are in q", func() bool { return f.countIn("q") == 3 && f.countIn("p") == 1 })
			f.eventually("the moved VMs serve q", func() bool { return f.countMovedTo("q") == 2 })
			close(stop)
			responses := wait()
			f.checkOutcomes(responses)
			for _, r := range responses {
				f.c.Check(r.outcome, qt.Equals, fulmarapi.Answered, qt.Commentf("%s %s", r.request.id, r.reason))
			}
			f.checkOnePoolPerVM(2)
		})
	}
}

// countMovedTo returns the number of VMs that have run requests of a pool after those of another pool.
func (f *fleet) countMovedTo(pool string) int {
	first, moved := map[string]string{}, map[string]bool{}
	for _, run := range f.journal.Runs() {
		if _, found := first[run.Worker]; !found {
			first[run.Worker] = run.Pool
		}
		if run.Pool == pool && first[run.Worker] != pool {
			moved[run.Worker] = true
		}
	}
	return len(moved)
}

// checkOnePoolPerVM checks each VM's runs in order of their start: epochs never
// decrease, and before the pool changes all earlier runs have ended. moves is the
// expected number of pool changes.
func (f *fleet) checkOnePoolPerVM(moves int) {
	byVM := map[string][]fulmarstandin.Run{}
	for _, run := range f.journal.Runs() {
		byVM[run.Worker] = append(byVM[run.Worker], run)
	}
	moved := 0
	for vm, runs := range byVM {
		sort.Slice(runs, func(i, j int) bool { return runs[i].StartSequence < runs[j].StartSequence })
		lastEnd := int64(0)
		for i := 1; i < len(runs); i++ {
			earlier, later := runs[i-1], runs[i]
			lastEnd = max(lastEnd, earlier.EndSequence)
			note := qt.Commentf("%s: %s of %s epoch %s, then %s of %s epoch %s", vm,
				earlier.RequestID, earlier.Pool, earlier.Epoch, later.RequestID, later.Pool, later.Epoch)
			f.c.Check(epochOf(f.c, earlier) <= epochOf(f.c, later), qt.IsTrue, note)
			if earlier.Pool != later.Pool {
				moved++
				f.c.Check(lastEnd < later.StartSequence, qt.IsTrue, note)
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

// TestVMsOfRemovedPoolAreReassigned removes a pool while one of its requests runs.
// The request must complete before the pool's VM serves the other pool.
func TestVMsOfRemovedPoolAreReassigned(t *testing.T) {
	t.Parallel()
	f, _ := startMoveFleet(qt.New(t))
	long := make(chan clientResponse, 1)
	go func() { long <- f.sendTo("q", clientRequest{id: "long", method: post, query: "work=1500"}) }()
	f.eventually("the request is running", func() bool { return len(f.journal.Runs()) == 1 })
	f.apply(`{"pools": {"p": {"vms": 4}}}`)
	f.eventually("requests to the removed pool are refused", func() bool {
		r := f.sendTo("q", clientRequest{id: "late", method: http.MethodPost, member: 1})
		return r.reason == fulmarapi.ReasonUnknownPool
	})
	stop := make(chan struct{})
	wait := f.startLoad(stop)
	f.eventually("the VM of the removed pool serves the other pool", func() bool {
		runs := f.journal.Runs()
		return f.countIn("p") == 4 && runs[len(runs)-1].Worker == runs[0].Worker
	})
	close(stop)
	f.checkOutcomes(wait())
	r := <-long
	f.c.Assert(r.outcome, qt.Equals, fulmarapi.Answered)
	f.checkOnePoolPerVM(1)
}
