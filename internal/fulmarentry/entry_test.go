package fulmarentry_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclaim"
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarconfig"
	"github.com/fulmardrum/fulmardrum/internal/fulmardispatch"
	"github.com/fulmardrum/fulmardrum/internal/fulmarentry"
	"github.com/fulmardrum/fulmardrum/internal/fulmarqueue"
	"github.com/fulmardrum/fulmardrum/internal/fulmarsettings"
	"github.com/fulmardrum/fulmardrum/pkg/fulmarapi"
)

// echoServer answers every request with two bytes and keeps the last request's head.
type echoServer struct {
	listener net.Listener
	mu       sync.Mutex
	head     string
}

func startEcho(tb testing.TB) *echoServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	s := &echoServer{listener: listener}
	tb.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *echoServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		var head bytes.Buffer
		for {
			line, err := reader.ReadSlice('\n')
			if err != nil {
				return
			}
			head.Write(line)
			if len(line) == 2 {
				break
			}
		}
		s.mu.Lock()
		s.head = head.String()
		s.mu.Unlock()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nFulmardrum-Outcome: forged\r\n\r\nok")
	}
}

func (s *echoServer) lastHead() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.head
}

// onePool is an entry's surroundings with one pool of one worker.
type onePool struct {
	scheduler *fulmardispatch.Scheduler
	record    fulmarconfig.Record
	mu        sync.Mutex
	refusals  map[fulmarapi.Reason]int
}

func (p *onePool) Scheduler(pool string) (*fulmardispatch.Scheduler, bool) {
	return p.scheduler, pool == "p"
}
func (p *onePool) IsFenced() bool              { return false }
func (p *onePool) IsAnnounced() bool           { return true }
func (p *onePool) Record() fulmarconfig.Record { return p.record }
func (p *onePool) Outcome(fulmarapi.Outcome)   {}
func (p *onePool) Retry(string)                {}
func (p *onePool) RetryRefused(string)         {}
func (p *onePool) Claim(string)                {}
func (p *onePool) Refusal(r fulmarapi.Reason) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refusals[r]++
}

type noClaims struct{}

func (noClaims) Claim(context.Context, fulmarclaim.Key) (*fulmarclaim.Claim, fulmarclaim.Verdict) {
	return nil, fulmarclaim.Unavailable
}
func (noClaims) Release(context.Context, *fulmarclaim.Claim) bool { return false }

func startEntry(tb testing.TB, address string) (*fulmarentry.Entry, *onePool) {
	clock := fulmarclock.NewSystem()
	document := fulmarconfig.DefaultDocument()
	document.Teams = map[string]fulmarconfig.Team{"known": {Weight: 1}}
	pool := &onePool{record: fulmarconfig.Record{Generation: 1, Document: document}, refusals: map[fulmarapi.Reason]int{}}
	pool.scheduler = fulmardispatch.NewScheduler("p", fulmardispatch.Options{
		Clock: clock, Policy: fulmardispatch.LeastLoaded{}, Ring: 1024,
		Settings: fulmardispatch.Settings{Bounds: fulmarqueue.Bounds{Requests: 20000, TeamShare: 1}},
	})
	go pool.scheduler.Run()
	pool.scheduler.SetView(fulmardispatch.View{Connections: 8, Members: 1, Workers: []fulmardispatch.Assigned{
		{Target: fulmardispatch.Target{VM: "vm", Address: address, Pool: "p", Epoch: 1}, Slots: 8},
	}})
	transport := fulmardispatch.NewTransport(fulmardispatch.TransportOptions{
		Clock: clock, Connect: 5000, Acknowledge: 3000, FreshIdle: 5000,
	})
	settings := fulmarsettings.DefaultDaemon()
	entry := fulmarentry.New(fulmarentry.Options{
		Clock: clock, Schedulers: pool, Configuration: pool, Sender: transport, Claimer: noClaims{},
		Counters: pool, Fence: pool, Limits: settings.Limits, Times: settings.Times,
	})
	tb.Cleanup(func() {
		pool.scheduler.Close(fulmarapi.NewRefusal(fulmarapi.ReasonStopping, ""))
		transport.Close()
	})
	return entry, pool
}

func request(method, target string, header map[string]string) *http.Request {
	r := httptest.NewRequest(method, target, nil)
	for name, value := range header {
		r.Header.Set(name, value)
	}
	return r
}

// TestHostileAndWrongRequests lists what callers may send and what they are told.
func TestHostileAndWrongRequests(t *testing.T) {
	long := strings.Repeat("x", 300)
	cases := []struct {
		name, method, target string
		header               map[string]string
		reason               fulmarapi.Reason
		// sent is what the worker must see in the request's head, and never what it must not see.
		sent, never string
	}{
		{name: "path and query as written", method: "GET", target: "/pools/p/a%2Fb//c;d?x=%20&y", sent: "GET /a%2Fb//c;d?x=%20&y HTTP/1.1"},
		{name: "dots are the worker's to judge", method: "GET", target: "/pools/p/../q", sent: "GET /../q HTTP/1.1"},
		{name: "no path", method: "GET", target: "/pools/p", sent: "GET / HTTP/1.1"},
		{name: "query without path", method: "GET", target: "/pools/p?x=1", sent: "GET /?x=1 HTTP/1.1"},
		{name: "unknown pool", method: "GET", target: "/pools/q/", reason: fulmarapi.ReasonUnknownPool},
		{name: "another path", method: "GET", target: "/metrics", reason: fulmarapi.ReasonUnknownPool},
		{name: "empty pool", method: "GET", target: "/pools//x", reason: fulmarapi.ReasonUnknownPool},
		{name: "TRACE", method: "TRACE", target: "/pools/p/", reason: fulmarapi.ReasonBadMethod},
		{name: "own headers are not taken from callers", method: "GET", target: "/pools/p/", header: map[string]string{fulmarapi.HeaderEpoch: "99", fulmarapi.HeaderPool: "q", fulmarapi.HeaderOutcome: "x"}, sent: "Fulmardrum-Epoch: 1\r\n", never: "99"},
		{name: "headers of the connection stay behind", method: "GET", target: "/pools/p/", header: map[string]string{"Connection": "X-Secret", "X-Secret": "1", "Upgrade": "h2c", "Te": "trailers"}, never: "X-Secret"},
		{name: "other headers go on", method: "GET", target: "/pools/p/", header: map[string]string{"X-Other": "1"}, sent: "X-Other: 1\r\n"},
		{name: "no agent is added", method: "GET", target: "/pools/p/", never: "User-Agent"},
		{name: "timeout not a number", method: "GET", target: "/pools/p/", header: map[string]string{fulmarapi.HeaderTimeout: "soon"}, reason: fulmarapi.ReasonBadHeader},
		{name: "timeout below 1", method: "GET", target: "/pools/p/", header: map[string]string{fulmarapi.HeaderTimeout: "0"}, reason: fulmarapi.ReasonBadHeader},
		{name: "timeout too long", method: "GET", target: "/pools/p/", header: map[string]string{fulmarapi.HeaderTimeout: "99999999999999999999"}, reason: fulmarapi.ReasonBadHeader},
		{name: "unknown urgency", method: "GET", target: "/pools/p/", header: map[string]string{fulmarapi.HeaderUrgency: "very"}, reason: fulmarapi.ReasonBadHeader},
		{name: "unknown team", method: "GET", target: "/pools/p/", header: map[string]string{fulmarapi.HeaderTeam: "nobody"}, reason: fulmarapi.ReasonUnknownTeam},
		{name: "known team", method: "GET", target: "/pools/p/", header: map[string]string{fulmarapi.HeaderTeam: "known"}, sent: "Fulmardrum-Team: known\r\n"},
		{name: "long key", method: "POST", target: "/pools/p/", header: map[string]string{fulmarapi.HeaderIdempotencyKey: long}, reason: fulmarapi.ReasonBadHeader},
		{name: "long team", method: "GET", target: "/pools/p/", header: map[string]string{fulmarapi.HeaderTeam: long}, reason: fulmarapi.ReasonBadHeader},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			server := startEcho(t)
			entry, pool := startEntry(t, server.listener.Addr().String())
			recorder := httptest.NewRecorder()
			entry.ServeHTTP(recorder, request(tc.method, tc.target, tc.header))
			c.Assert(recorder.Header().Get(fulmarapi.HeaderReason), qt.Equals, string(tc.reason))
			if tc.reason != "" {
				c.Assert(recorder.Header().Get(fulmarapi.HeaderOutcome), qt.Equals, string(fulmarapi.NotRun))
				c.Assert(pool.refusals[tc.reason], qt.Equals, 1)
				c.Assert(server.lastHead(), qt.Equals, "")
				return
			}
			c.Assert(recorder.Header().Get(fulmarapi.HeaderOutcome), qt.Equals, string(fulmarapi.Answered))
			c.Assert(recorder.Body.String(), qt.Equals, "ok")
			c.Assert(server.lastHead(), qt.Contains, tc.sent)
			if tc.never != "" {
				c.Assert(server.lastHead(), qt.Not(qt.Contains), tc.never)
			}
		})
	}
}

func TestStopRefusesAndWaits(t *testing.T) {
	c := qt.New(t)
	entry, _ := startEntry(t, startEcho(t).listener.Addr().String())
	c.Assert(entry.IsReady(), qt.IsTrue)
	entry.Stop()
	c.Assert(entry.IsReady(), qt.IsFalse)
	c.Assert(entry.Wait(context.Background()), qt.IsTrue)
	recorder := httptest.NewRecorder()
	entry.ServeHTTP(recorder, request("POST", "/pools/p/", nil))
	c.Assert(recorder.Header().Get(fulmarapi.HeaderReason), qt.Equals, string(fulmarapi.ReasonStopping))
}

// BenchmarkPassage carries one request through entry, scheduler and transport to a worker over loopback.
func BenchmarkPassage(b *testing.B) {
	entry, _ := startEntry(b, startEcho(b).listener.Addr().String())
	b.ReportAllocs()
	for b.Loop() {
		recorder := httptest.NewRecorder()
		entry.ServeHTTP(recorder, httptest.NewRequest("GET", "/pools/p/run", nil))
		if recorder.Code != http.StatusOK {
			b.Fatal(recorder.Code, recorder.Body.String())
		}
	}
}

// BenchmarkHarness is the part of BenchmarkPassage that is the harness's own.
func BenchmarkHarness(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		recorder := httptest.NewRecorder()
		request := httptest.NewRequest("GET", "/pools/p/run", nil)
		_, _ = fmt.Fprint(recorder, request.Method)
	}
}

// BenchmarkCancellationWave queues 10,000 requests behind a pool without slots,
// takes them all back, and then has one more request queued and taken back.
func BenchmarkCancellationWave(b *testing.B) {
	const wave = 10_000
	_, pool := startEntry(b, "127.0.0.1:1")
	pool.scheduler.SetView(fulmardispatch.View{})
	clock := fulmarclock.NewSystem()
	for b.Loop() {
		tickets := make([]*fulmardispatch.Ticket, wave)
		for i := range tickets {
			tickets[i] = fulmardispatch.NewTicket("", fulmarapi.Normal, true, clock.Now()+60000)
			for pool.scheduler.Submit(tickets[i]) != nil {
				pool.scheduler.Report()
			}
		}
		pool.scheduler.Report()
		start := clock.Now()
		for _, ticket := range tickets {
			pool.scheduler.Cancel(ticket)
		}
		report, _ := pool.scheduler.Report()
		if report.Waiting != 0 {
			b.Fatalf("%d requests wait after the wave", report.Waiting)
		}
		b.ReportMetric(float64(clock.Now()-start), "ms/wave")
	}
}

// TestKeyedRefusalsBeforeTheClaimAreUnknown lists refusals that come before a
// key is looked at: an earlier request with the key may have run, unless the
// request's form shows that none was ever taken.
func TestKeyedRefusalsBeforeTheClaimAreUnknown(t *testing.T) {
	cases := []struct {
		name, method, target string
		stop                 bool
		header               map[string]string
		reason               fulmarapi.Reason
		outcome              fulmarapi.Outcome
	}{
		{name: "stopping", method: "POST", target: "/pools/p/", stop: true, reason: fulmarapi.ReasonStopping, outcome: fulmarapi.Unknown},
		{name: "pool removed", method: "POST", target: "/pools/gone/", reason: fulmarapi.ReasonUnknownPool, outcome: fulmarapi.Unknown},
		{name: "team removed", method: "POST", target: "/pools/p/", header: map[string]string{fulmarapi.HeaderTeam: "gone"}, reason: fulmarapi.ReasonUnknownTeam, outcome: fulmarapi.Unknown},
		{name: "wrong header", method: "POST", target: "/pools/p/", header: map[string]string{fulmarapi.HeaderTimeout: "x"}, reason: fulmarapi.ReasonBadHeader, outcome: fulmarapi.NotRun},
		{name: "TRACE", method: "TRACE", target: "/pools/p/", reason: fulmarapi.ReasonBadMethod, outcome: fulmarapi.NotRun},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			entry, _ := startEntry(t, startEcho(t).listener.Addr().String())
			if tc.stop {
				entry.Stop()
			}
			r := request(tc.method, tc.target, tc.header)
			r.Header.Set(fulmarapi.HeaderIdempotencyKey, "k")
			recorder := httptest.NewRecorder()
			entry.ServeHTTP(recorder, r)
			qt.Check(t, recorder.Header().Get(fulmarapi.HeaderReason), qt.Equals, string(tc.reason))
			qt.Check(t, recorder.Header().Get(fulmarapi.HeaderOutcome), qt.Equals, string(tc.outcome))
		})
	}
}
