// Package fulmarbench puts load on members or workers and reports what became of it.
//
// Usage:
//
//	result := fulmarbench.Run(ctx, fulmarbench.Load{Targets: targets, Pools: pools, Rate: 400, ...})
//	result.Print(os.Stdout)
//
// The load is open: each request has an intended start that does not depend on
// earlier answers, and its latency counts from there.
package fulmarbench

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/fulmardrum/fulmardrum/internal/fulmarstandin"
	"github.com/fulmardrum/fulmardrum/pkg/fulmarapi"
)

const (
	burstFactor = 5.0
	quietFactor = 1.0 / 20
	// burstFill is the part of a turn, as a divisor, in which a burst fills its pool's queue.
	burstFill    = 4
	idleForHost  = 4096
	openMost     = 50000
	clientMargin = 2 * time.Second
)

// Load describes one run.
type Load struct {
	// Targets are base addresses HOST:PORT; requests go to them in turn.
	Targets []string
	// Direct sends to workers without a pool in the path.
	Direct bool
	Pools  []string
	// Rate is the mean of each pool in requests a second.
	Rate     float64
	Duration time.Duration
	// Turn, when set, is how long each pool in its turn asks for five times its mean; the others ask for a twentieth.
	Turn time.Duration
	// Slots, when set, is each pool's number of slots, against which the answers within a turn are held.
	Slots int
	// Work is each request's time on the worker.
	Work    time.Duration
	Timeout time.Duration
	// Writes, Keyed and Urgent are shares of the requests, 0 to 1.
	Writes float64
	Keyed  float64
	Urgent float64
	Seed   uint64
}

// Run sends the load and returns once every request has ended.
func Run(ctx context.Context, load Load) *Result {
	g := &generator{load: load, client: newClient(), result: newResult(load), places: make(chan struct{}, openMost)}
	var pools sync.WaitGroup
	g.start = time.Now()
	for i := range load.Pools {
		pools.Add(1)
		go func() {
			defer pools.Done()
			g.drive(ctx, i)
		}()
	}
	pools.Wait()
	g.requests.Wait()
	g.result.finish(time.Since(g.start))
	return g.result
}

type generator struct {
	load     Load
	client   *http.Client
	result   *Result
	start    time.Time
	places   chan struct{}
	requests sync.WaitGroup
}

func newClient() *http.Client {
	dialer := &net.Dialer{Timeout: 2 * time.Second}
	return &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConns: 0, MaxIdleConnsPerHost: idleForHost, DisableCompression: true,
	}}
}

// drive sends one pool's requests at exponential distances.
func (g *generator) drive(ctx context.Context, pool int) {
	random := rand.New(rand.NewPCG(g.load.Seed, uint64(pool)))
	at := time.Duration(0)
	for n := 0; ; n++ {
		rate := g.rateAt(pool, at)
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= g.load.Duration || ctx.Err() != nil {
			return
		}
		time.Sleep(time.Until(g.start.Add(at)))
		shot := g.shot(random, pool, n, at)
		select {
		case g.places <- struct{}{}:
		default:
			g.result.drop()
			continue
		}
		g.requests.Add(1)
		go func() {
			defer g.requests.Done()
			defer func() { <-g.places }()
			g.fire(ctx, shot)
		}()
	}
}

// rateAt returns a pool's rate at a time: its mean, or its part of the turns.
func (g *generator) rateAt(pool int, at time.Duration) float64 {
	if g.load.Turn == 0 {
		return g.load.Rate
	}
	if g.load.isTurnOf(pool, at) {
		return g.load.Rate * burstFactor
	}
	return g.load.Rate * quietFactor
}

func (l Load) isTurnOf(pool int, at time.Duration) bool {
	return int(at/l.Turn)%len(l.Pools) == pool
}

// isWithinBurst tells whether a pool's burst is at its height: the first part
// of its turn, while its queue fills, is left out.
func (l Load) isWithinBurst(pool int, at time.Duration) bool {
	return l.Turn > 0 && at < l.Duration && l.isTurnOf(pool, at) && at%l.Turn >= l.Turn/burstFill
}

// burstHeight returns how long bursts were at their height in a load of whole turns.
func (l Load) burstHeight() time.Duration {
	turns := l.Duration / l.Turn
	return turns * (l.Turn - l.Turn/burstFill)
}

// shot is one request to be sent.
type shot struct {
	id      string
	place   int
	pool    string
	target  string
	at      time.Duration
	method  string
	key     string
	urgency fulmarapi.Urgency
}

func (g *generator) shot(random *rand.Rand, pool, n int, at time.Duration) shot {
	s := shot{
		id: fmt.Sprintf("%d-%d-%d", g.load.Seed, pool, n), place: pool, pool: g.load.Pools[pool], at: at,
		target: g.load.Targets[random.IntN(len(g.load.Targets))], method: http.MethodGet, urgency: fulmarapi.Normal,
	}
	if random.Float64() < g.load.Writes {
		s.method = http.MethodPost
		if random.Float64() < g.load.Keyed {
			s.key = s.id
		}
	}
	if random.Float64() < g.load.Urgent {
		s.urgency = fulmarapi.Urgent
	}
	return s
}

func (g *generator) fire(ctx context.Context, s shot) {
	ctx, cancel := context.WithTimeout(ctx, g.load.Timeout+clientMargin)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, s.method, g.url(s), body(s))
	if err != nil {
		g.result.add(s, ended{outcome: "error", reason: "bad-request"})
		return
	}
	request.Header.Set(fulmarstandin.HeaderRequestID, s.id)
	request.Header.Set(fulmarapi.HeaderTimeout, fmt.Sprint(g.load.Timeout.Milliseconds()))
	request.Header.Set(fulmarapi.HeaderUrgency, s.urgency.String())
	if s.key != "" {
		request.Header.Set(fulmarapi.HeaderIdempotencyKey, s.key)
	}
	response, err := g.client.Do(request)
	if err != nil {
		g.result.add(s, ended{outcome: "error", reason: "connection"})
		return
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	g.result.add(s, g.judge(s, response, data, err))
}

func (g *generator) judge(s shot, response *http.Response, data []byte, err error) ended {
	e := ended{
		outcome: response.Header.Get(fulmarapi.HeaderOutcome), reason: response.Header.Get(fulmarapi.HeaderReason),
		latency: time.Since(g.start.Add(s.at)),
	}
	if g.load.Direct && response.StatusCode == http.StatusOK {
		e.outcome = string(fulmarapi.Answered)
	}
	switch {
	case err != nil:
		e.outcome, e.reason = "error", "cut"
	case e.outcome == string(fulmarapi.Answered) && response.StatusCode != http.StatusOK:
		e.outcome, e.reason = "failed", response.Status
	case e.outcome == string(fulmarapi.Answered) && !strings.HasPrefix(string(data), "request="+s.id+" "):
		e.outcome, e.reason = "wrong", "another request's answer"
	}
	return e
}

func (g *generator) url(s shot) string {
	query := fmt.Sprintf("/run?work=%d", g.load.Work.Milliseconds())
	if g.load.Direct {
		return "http://" + s.target + query
	}
	return "http://" + s.target + "/pools/" + s.pool + query
}

func body(s shot) io.Reader {
	if s.method == http.MethodGet {
		return nil
	}
	return strings.NewReader("entry " + s.id)
}
