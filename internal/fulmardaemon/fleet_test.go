package fulmardaemon_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmardaemon"
	"github.com/fulmardrum/fulmardrum/internal/fulmarplatform"
	"github.com/fulmardrum/fulmardrum/internal/fulmarsettings"
	"github.com/fulmardrum/fulmardrum/internal/fulmarstandin"
	"github.com/fulmardrum/fulmardrum/pkg/fulmarapi"
)

// waitTimeout limits every wait in these tests. No check depends on how long a wait takes.
const waitTimeout = 60 * time.Second

// fleet is a platform, workers and members in the test process, connected over loopback.
type fleet struct {
	c              *qt.C
	clock          fulmarclock.Clock
	platform       *fulmarstandin.Platform
	journal        *fulmarstandin.Journal
	workers        []*fulmarstandin.Worker
	members        []*member
	client         *http.Client
	platformClient *fulmarplatform.Client
}

// member is a running daemon.
type member struct {
	daemon *fulmardaemon.Daemon
	stop   context.CancelFunc
	ended  chan struct{}
	once   sync.Once
}

// close stops the daemon and waits until it has ended.
func (m *member) close() {
	m.once.Do(m.stop)
	<-m.ended
}

// noCounter discards counts of platform calls.
type noCounter struct{}

func (noCounter) CountCall(string) {}

// testSettings returns the settings of the member with an index, with short intervals.
func testSettings(index int, platform string) fulmarsettings.Daemon {
	settings := fulmarsettings.DefaultDaemon()
	settings.Member = fmt.Sprintf("member-%d", index+1)
	settings.CallerAddress, settings.OperatorAddress, settings.PeerAddress = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	settings.PlatformURL = platform
	settings.Times.NotReadyDelay = 1
	settings.Times.DigestInterval = 50
	settings.Times.VMListInterval = 50
	settings.Times.PlatformCallTimeout = 1000
	return settings
}

// startFleet returns a running fleet with one pool "p" that every worker is assigned to.
func startFleet(c *qt.C, members, workers int) *fleet {
	clock := fulmarclock.NewSystem()
	platform, err := fulmarstandin.StartPlatform("127.0.0.1:0", clock)
	c.Assert(err, qt.IsNil)
	f := &fleet{
		c: c, clock: clock, platform: platform, journal: &fulmarstandin.Journal{},
		client:         &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}},
		platformClient: fulmarplatform.NewClient(platform.URL(), 2000, noCounter{}),
	}
	c.Cleanup(f.close)
	for i := range workers {
		f.addWorker(fmt.Sprintf("vm-%d", i), 8)
	}
	for i := range members {
		f.addMember(testSettings(i, platform.URL()))
	}
	f.apply(fmt.Sprintf(`{"pools": {"p": {"vms": %d}}, "defaults": {"available_share": 0.5}}`, workers))
	f.eventually("every member has every worker", func() bool { return f.allMembersHaveWorkers(workers) })
	return f
}

func (f *fleet) addWorker(name string, slots int) {
	w, err := fulmarstandin.StartWorker(fulmarstandin.WorkerOptions{
		VM:             fulmarplatform.VM{ID: name, Address: "127.0.0.1:0", Slots: slots},
		MaxConnections: 64, Journal: f.journal, Platform: f.platformClient,
	}, f.clock)
	f.c.Assert(err, qt.IsNil)
	f.workers = append(f.workers, w)
}

func (f *fleet) addMember(settings fulmarsettings.Daemon) *member {
	daemon, err := fulmardaemon.Start(settings, f.clock, log.New(io.Discard))
	f.c.Assert(err, qt.IsNil)
	ctx, stop := context.WithCancel(context.Background())
	m := &member{daemon: daemon, stop: stop, ended: make(chan struct{})}
	f.members = append(f.members, m)
	go func() {
		defer close(m.ended)
		_ = daemon.Run(ctx)
	}()
	return m
}

// apply submits a configuration document through the first member.
func (f *fleet) apply(document string) {
	client := fulmarapi.NewClient("http://"+f.members[0].daemon.OperatorAddress(), "")
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	config, err := client.Config(ctx)
	f.c.Assert(err, qt.IsNil)
	_, err = client.Apply(ctx, fulmarapi.ConfigRequest{
		Generation: config.Generation, File: "test", Text: document, Author: "test", Reason: "test",
	})
	f.c.Assert(err, qt.IsNil)
}

// allMembersHaveWorkers reports whether every member sees all members and want workers in the only pool.
func (f *fleet) allMembersHaveWorkers(want int) bool {
	for _, m := range f.members {
		status := m.daemon.Status()
		if len(status.Members) != len(f.members) || len(status.Pools) != 1 || len(status.Pools[0].Workers) != want {
			return false
		}
	}
	return true
}

// eventually polls until a condition holds, and fails the test after waitTimeout.
func (f *fleet) eventually(what string, holds func() bool) {
	f.c.Helper()
	end := f.clock.Now() + fulmarclock.FromDuration(waitTimeout)
	for !holds() {
		if f.clock.Now() > end {
			f.c.Fatalf("timed out waiting until %s", what)
		}
		<-f.clock.After(5)
	}
}

func (f *fleet) close() {
	f.client.CloseIdleConnections()
	for _, m := range f.members {
		m.close()
	}
	for _, w := range f.workers {
		w.Close()
	}
	f.platform.Close()
}

// clientRequest is one request of a caller.
type clientRequest struct {
	id      string
	method  string
	key     string
	query   string
	body    string
	timeout time.Duration
	member  int
	// pool defaults to "p".
	pool string
}

// clientResponse is what the caller of a request received.
type clientResponse struct {
	request clientRequest
	outcome fulmarapi.Outcome
	reason  fulmarapi.Reason
	status  int
	body    string
	// truncated is set if the response broke off.
	truncated bool
	// noResponse is set if there was no response at all.
	noResponse bool
}

func (f *fleet) send(ctx context.Context, req clientRequest) clientResponse {
	if req.pool == "" {
		req.pool = "p"
	}
	url := fmt.Sprintf("http://%s/pools/%s/run?%s", f.members[req.member].daemon.CallerAddress(), req.pool, req.query)
	var body io.Reader
	if req.body != "" {
		body = strings.NewReader(req.body)
	}
	request, err := http.NewRequestWithContext(ctx, req.method, url, body)
	f.c.Assert(err, qt.IsNil)
	request.Header.Set(fulmarstandin.HeaderRequestID, req.id)
	if req.key != "" {
		request.Header.Set(fulmarapi.HeaderIdempotencyKey, req.key)
	}
	if req.timeout == 0 {
		req.timeout = waitTimeout
	}
	request.Header.Set(fulmarapi.HeaderTimeout, fmt.Sprint(req.timeout.Milliseconds()))
	response, err := f.client.Do(request)
	if err != nil {
		return clientResponse{request: req, noResponse: true}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return clientResponse{
		request: req, status: response.StatusCode, body: string(data), truncated: err != nil,
		outcome: fulmarapi.Outcome(response.Header.Get(fulmarapi.HeaderOutcome)),
		reason:  fulmarapi.Reason(response.Header.Get(fulmarapi.HeaderReason)),
	}
}

// checkOutcomes compares the outcome of every response with the runs in the
// workers' journal: a POST or keyed request ran at most once, one with outcome
// not-run never, and an answered one at least once.
func (f *fleet) checkOutcomes(responses []clientResponse) {
	f.c.Helper()
	byRequest, byKey := f.journal.CountByRequest(), f.journal.CountByKey()
	for _, r := range responses {
		ran := byRequest[r.request.id]
		note := qt.Commentf("request %s %s: %s %s, status %d, ran %d times", r.request.method, r.request.id, r.outcome, r.reason, r.status, ran)
		if r.outcome == fulmarapi.NotRun {
			f.c.Check(ran, qt.Equals, 0, note)
		}
		if r.request.method == http.MethodPost || r.request.key != "" {
			f.c.Check(ran <= 1, qt.IsTrue, note)
		}
		if !r.noResponse {
			f.c.Check(r.outcome, qt.Not(qt.Equals), fulmarapi.Outcome(""), note)
		}
		if r.outcome == fulmarapi.Answered && !r.truncated && r.status == http.StatusOK {
			f.c.Check(ran >= 1, qt.IsTrue, note)
			want := fmt.Sprintf("request=%s method=%s body=%s\n", r.request.id, r.request.method, r.request.body)
			f.c.Check(strings.HasPrefix(r.body, want), qt.IsTrue, note)
		}
	}
	for key, ran := range byKey {
		f.c.Check(ran <= 1, qt.IsTrue, qt.Commentf("key %s ran %d times", key, ran))
	}
}
