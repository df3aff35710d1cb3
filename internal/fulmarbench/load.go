// Package fulmarbench generates load on members or workers and reports outcomes and
// latencies. It also runs demonstrations of a local fleet.
//
// Usage:
//
//	result := fulmarbench.Run(ctx, fulmarbench.Load{Targets: targets, Pools: pools, Rate: 400, ...})
//	result.Print(os.Stdout)
//
// The load is open-loop: each request has a scheduled start that doesn't depend on earlier
// responses, and its latency is measured from then.
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
	idleFactor  = 1.0 / 20
	// The first 1/burstFillDivisor of a burst fills the pool's queue. It doesn't count toward the
	// utilization.
	burstFillDivisor    = 4
	maxIdleConnsPerHost = 4096
	maxInFlight         = 50000
	clientGrace         = 2 * time.Second
)

// Load describes the load to generate.
type Load struct {
	// Targets are addresses HOST:PORT. Each request goes to a random one.
	Targets []string
	// Direct is set if the targets are workers, which take no pool in the path.
	Direct bool
	Pools  []string
	// Rate is the mean rate of each pool in requests per second.
	Rate     float64
	Duration time.Duration
	// BurstDuration, if not 0, is how long a pool bursts. The pools take turns at five times
	// their mean rate, while the others run at a twentieth of it.
	BurstDuration time.Duration
	// SlotsPerPool, if not 0, is the number of slots of each pool, to compute the utilization
	// in bursts.
	SlotsPerPool int
	// WorkDuration is the processing time of each request on the worker.
	WorkDuration time.Duration
	Timeout      time.Duration
	// WriteFraction and UrgentFraction are the fractions of POST requests and of urgent requests,
	// 0 to 1. KeyedFraction is the fraction of the POST requests with an idempotency key.
	WriteFraction  float64
	KeyedFraction  float64
	UrgentFraction float64
	Seed           uint64
}

// Run generates the load and returns when every request has ended.
func Run(ctx context.Context, load Load) *Result {
	g := &generator{load: load, client: newClient(), result: newResult(load), inFlight: make(chan struct{}, maxInFlight)}
	var pools sync.WaitGroup
	g.start = time.Now()
	for i := range load.Pools {
		pools.Add(1)
		go func() {
			defer pools.Done()
			g.sendPool(ctx, i)
		}()
	}
	pools.Wait()
	g.requests.Wait()
	g.result.setElapsed(time.Since(g.start))
	return g.result
}

type generator struct {
	load     Load
	client   *http.Client
	result   *Result
	start    time.Time
	inFlight chan struct{}
	requests sync.WaitGroup
}

func newClient() *http.Client {
	dialer := &net.Dialer{Timeout: 2 * time.Second}
	return &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConns: 0, MaxIdleConnsPerHost: maxIdleConnsPerHost, DisableCompression: true,
	}}
}

// sendPool sends one pool's requests with exponentially distributed intervals. It drops a
// request if maxInFlight others are in flight.
func (g *generator) sendPool(ctx context.Context, pool int) {
	random := rand.New(rand.NewPCG(g.load.Seed, uint64(pool)))
	offset := time.Duration(0)
	for n := 0; ; n++ {
		rate := g.rateAt(pool, offset)
		offset += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if offset >= g.load.Duration || ctx.Err() != nil {
			return
		}
		time.Sleep(time.Until(g.start.Add(offset)))
		request := g.plan(random, pool, n, offset)
		select {
		case g.inFlight <- struct{}{}:
		default:
			g.result.recordDropped()
			continue
		}
		g.requests.Add(1)
		go func() {
			defer g.requests.Done()
			defer func() { <-g.inFlight }()
			g.send(ctx, request)
		}()
	}
}

// rateAt returns a pool's rate at an offset from the start, in requests per second.
func (g *generator) rateAt(pool int, offset time.Duration) float64 {
	if g.load.BurstDuration == 0 {
		return g.load.Rate
	}
	if g.load.isBursting(pool, offset) {
		return g.load.Rate * burstFactor
	}
	return g.load.Rate * idleFactor
}

func (l Load) isBursting(pool int, offset time.Duration) bool {
	return int(offset/l.BurstDuration)%len(l.Pools) == pool
}

// isSteadyBurst reports whether a pool is in a burst and past the burst's first part, in
// which its queue fills.
func (l Load) isSteadyBurst(pool int, offset time.Duration) bool {
	return l.BurstDuration > 0 && offset < l.Duration && l.isBursting(pool, offset) && offset%l.BurstDuration >= l.BurstDuration/burstFillDivisor
}

// steadyBurstTime returns the total time of all bursts of a load without their first parts. It
// leaves out a last burst that isn't complete.
func (l Load) steadyBurstTime() time.Duration {
	bursts := l.Duration / l.BurstDuration
	return bursts * (l.BurstDuration - l.BurstDuration/burstFillDivisor)
}

// plannedRequest is a request to send. offset is its scheduled start, from the start of the
// load.
type plannedRequest struct {
	id        string
	poolIndex int
	pool      string
	target    string
	offset    time.Duration
	method    string
	key       string
	urgency   fulmarapi.Urgency
}

// plan draws the next request of a pool.
func (g *generator) plan(random *rand.Rand, pool, n int, offset time.Duration) plannedRequest {
	r := plannedRequest{
		id: fmt.Sprintf("%d-%d-%d", g.load.Seed, pool, n), poolIndex: pool, pool: g.load.Pools[pool], offset: offset,
		target: g.load.Targets[random.IntN(len(g.load.Targets))], method: http.MethodGet, urgency: fulmarapi.Normal,
	}
	if random.Float64() < g.load.WriteFraction {
		r.method = http.MethodPost
		if random.Float64() < g.load.KeyedFraction {
			r.key = r.id
		}
	}
	if random.Float64() < g.load.UrgentFraction {
		r.urgency = fulmarapi.Urgent
	}
	return r
}

func (g *generator) send(ctx context.Context, planned plannedRequest) {
	ctx, cancel := context.WithTimeout(ctx, g.load.Timeout+clientGrace)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, planned.method, g.url(planned), requestBody(planned))
	if err != nil {
		g.result.record(planned, requestResult{outcome: "error", reason: "bad-request"})
		return
	}
	request.Header.Set(fulmarstandin.HeaderRequestID, planned.id)
	request.Header.Set(fulmarapi.HeaderTimeout, fmt.Sprint(g.load.Timeout.Milliseconds()))
	request.Header.Set(fulmarapi.HeaderUrgency, planned.urgency.String())
	if planned.key != "" {
		request.Header.Set(fulmarapi.HeaderIdempotencyKey, planned.key)
	}
	response, err := g.client.Do(request)
	if err != nil {
		g.result.record(planned, requestResult{outcome: "error", reason: "connection"})
		return
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	g.result.record(planned, g.classify(planned, response, data, err))
}

// classify returns the outcome of a request from its response. Latency is measured from the
// scheduled start.
func (g *generator) classify(planned plannedRequest, response *http.Response, data []byte, err error) requestResult {
	result := requestResult{
		outcome: response.Header.Get(fulmarapi.HeaderOutcome), reason: response.Header.Get(fulmarapi.HeaderReason),
		latency: time.Since(g.start.Add(planned.offset)),
	}
	if g.load.Direct && response.StatusCode == http.StatusOK {
		result.outcome = string(fulmarapi.Answered)
	}
	switch {
	case err != nil:
		result.outcome, result.reason = "error", "cut"
	case result.outcome == string(fulmarapi.Answered) && response.StatusCode != http.StatusOK:
		result.outcome, result.reason = "failed", response.Status
	case result.outcome == string(fulmarapi.Answered) && !strings.HasPrefix(string(data), "request="+planned.id+" "):
		result.outcome, result.reason = "wrong", "response of another request"
	}
	return result
}

func (g *generator) url(r plannedRequest) string {
	query := fmt.Sprintf("/run?work=%d", g.load.WorkDuration.Milliseconds())
	if g.load.Direct {
		return "http://" + r.target + query
	}
	return "http://" + r.target + "/pools/" + r.pool + query
}

func requestBody(r plannedRequest) io.Reader {
	if r.method == http.MethodGet {
		return nil
	}
	return strings.NewReader("entry " + r.id)
}
