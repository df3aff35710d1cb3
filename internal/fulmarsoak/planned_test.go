package fulmarsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/fulmardrum/fulmardrum/internal/fulmarledger"
)

const (
	connectionsPerMember = 10
	// Half of the connections stay unused for up to maxUnused before their first request. All are replaced after up to
	// maxUses requests, so that there are unused ones at all times.
	maxUnused  = 2500 * time.Millisecond
	maxUses    = 60
	maxUseGap  = 40 * time.Millisecond
	redialWait = 20 * time.Millisecond
	// One request in submitInterval submits a job, and one in pendingInterval of the others counts the pending jobs.
	submitInterval  = 60
	pendingInterval = 4
	// heldCallerIDs is the first caller number in the IDs of jobs from held connections.
	heldCallerIDs = 1000
	// plannedGraceSeconds is the grace period of planned soaks, so that a few stops of each member end in the time.
	plannedGraceSeconds = 2
)

// plannedFaults are planned work and changes of capacity only: no request that a member has read may be lost.
var plannedFaults = []fault{
	signalFault("stop", syscall.SIGTERM),
	{"stop owner", func(s *soak) func() {
		s.owner().signal(syscall.SIGTERM)
		return func() {}
	}},
	signalFault("reload", syscall.SIGHUP),
	configurationFault,
	{"capacity", func(s *soak) func() {
		vms := s.rig.VMs("work")
		s.setCapacity(vms[s.random.IntN(len(vms))], taskMilliCPU*(1+s.random.Int64N(vmMilliCPU/taskMilliCPU)))
		return func() {}
	}},
}

func (s *soak) setCapacity(vm string, milliCPU int64) {
	if err := s.rig.SetCapacity(vm, milliCPU); err != nil {
		s.t.Error(err)
	}
}

// owner returns the member that owns the scheduler, or a random one while there is none.
func (s *soak) owner() *member { return s.ownerOr(s.randomMember()) }

// ownerOr returns the member that owns the scheduler, or another one if none does.
func (s *soak) ownerOr(chosen *member) *member {
	value, _ := s.rig.Get(fulmarledger.OwnerKey)
	owner, err := fulmarledger.DecodeOwner(value)
	if err != nil {
		return chosen
	}
	for _, m := range s.members {
		if m.name == owner.Member {
			chosen = m
		}
	}
	return chosen
}

// TestPlannedSoak guards against requests that a member reads during planned work and does not answer.
func TestPlannedSoak(t *testing.T) {
	runSeeds(t, scenario{name: "planned", faults: plannedFaults, graceSeconds: plannedGraceSeconds, callers: 1, connections: connectionsPerMember, shortestRun: defaultShortestRun, longestRun: defaultLongestRun}, *planned)
}

// holdConnections starts the callers that hold connections to each member until ctx ends.
func (s *soak) holdConnections(ctx context.Context, wg *sync.WaitGroup) {
	for i, m := range s.members {
		for j := range s.scenario.connections {
			caller := i*s.scenario.connections + j
			random := rand.New(rand.NewPCG(s.random.Uint64(), uint64(caller)))
			wg.Go(func() { s.useConnections(ctx, m, caller, random) })
		}
	}
}

// useConnections holds one connection to a member after the other, and uses each until the member
// closes it or for up to maxUses requests.
func (s *soak) useConnections(ctx context.Context, m *member, caller int, random *rand.Rand) {
	submitted := 0
	for ctx.Err() == nil {
		c, err := dialOpen(m.callerAddress)
		if err != nil {
			time.Sleep(redialWait)
			continue
		}
		if random.IntN(2) == 0 {
			sleepUpTo(ctx, random, maxUnused)
		}
		for uses := random.IntN(maxUses); uses >= 0 && ctx.Err() == nil && s.useOnce(m, c, heldCallerIDs+caller, &submitted, random); uses-- {
			sleepUpTo(ctx, random, maxUseGap)
		}
		c.close()
	}
}

func sleepUpTo(ctx context.Context, random *rand.Rand, longest time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(random.Int64N(int64(longest)))):
	}
}

// useOnce sends one request on a connection and returns whether the connection can be used again.
func (s *soak) useOnce(m *member, c *openConnection, caller int, submitted *int, random *rand.Rand) bool {
	method, id, body := http.MethodGet, fmt.Sprintf("%016x", firstJob), []byte(nil)
	switch {
	case random.IntN(submitInterval) == 0:
		*submitted++
		method, id, body = http.MethodPost, fmt.Sprintf("%08x%08x", caller, *submitted), s.jobBody()
	case random.IntN(pendingInterval) == 0:
		id = ""
	}
	sent := time.Now()
	response, end := c.exchange(rawRequest(method, "/queue/"+id, body))
	status := 0
	if response != nil {
		status = response.StatusCode
	}
	if method == http.MethodPost {
		s.recordSubmission(id, status)
	}
	s.countEnding(end)
	if end == lost || end == unanswered {
		s.t.Errorf("%s: %s /queue/%s, request %d of its connection, sent at %s: %s after %v",
			m.name, method, id, c.requests, sent.Format("15:04:05.000"), end, c.took.Round(time.Millisecond))
	}
	return response != nil && !response.Close
}

// recordSubmission records the outcome of a job that is submitted once.
func (s *soak) recordSubmission(id string, status int) {
	switch status {
	case http.StatusOK:
		s.record(&s.accepted, id)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		s.record(&s.refused, id)
	case http.StatusUnauthorized, http.StatusForbidden:
		s.t.Errorf("job %s with its customer's key: status %d", id, status)
	default:
		s.mu.Lock()
		s.unknown++
		s.mu.Unlock()
	}
}

func (s *soak) countEnding(end ending) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endings[end]++
}
