// Package fulmarmetrics holds the daemon's counters and serves them over HTTP
// in the Prometheus text format.
//
// Usage:
//
//	metrics := fulmarmetrics.New("member-1")
//	defer metrics.Close()
//	metrics.Outcome(fulmarapi.Answered)
//	mux.Handle("/metrics", metrics.Handler())
package fulmarmetrics

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprometheus "github.com/uber-go/tally/v4/prometheus"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/pkg/fulmarapi"
)

const reportInterval = time.Second

// sanitizeOptions keep label values as they are written elsewhere, such as reason codes with dashes.
var sanitizeOptions = tally.SanitizeOptions{
	NameCharacters: tallyprometheus.DefaultSanitizerOpts.NameCharacters,
	KeyCharacters:  tallyprometheus.DefaultSanitizerOpts.KeyCharacters,
	ValueCharacters: tally.ValidCharacters{
		Ranges: tally.AlphanumericRange, Characters: []rune{'_', '-', '.', '/'},
	},
	ReplacementCharacter: tally.DefaultReplacementCharacter,
}

// Metrics holds the counters of one daemon.
type Metrics struct {
	scope    tally.Scope
	closer   io.Closer
	reporter tallyprometheus.Reporter

	mu       sync.RWMutex
	counters map[counterKey]tally.Counter
	// histograms holds the latencies by activity.
	histograms map[string]tally.Histogram
}

// counterKey is a counter with the value of its one label.
type counterKey struct {
	name  string
	label string
	value string
}

// New returns the counters of a member.
func New(member string) *Metrics {
	registry := prometheus.NewRegistry()
	reporter := tallyprometheus.NewReporter(tallyprometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "fulmardrum", Tags: map[string]string{"member": member},
		CachedReporter: reporter, Separator: tallyprometheus.DefaultSeparator,
		SanitizeOptions: &sanitizeOptions,
	}, reportInterval)
	m := &Metrics{scope: scope, closer: closer, reporter: reporter, counters: map[counterKey]tally.Counter{}, histograms: map[string]tally.Histogram{}}
	for _, reason := range fulmarapi.Reasons {
		m.counter("refusals", "reason", string(reason))
	}
	return m
}

// Close reports the last values and stops.
func (m *Metrics) Close() { _ = m.closer.Close() }

// Handler serves the counters.
func (m *Metrics) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Outcome counts a response to a caller.
func (m *Metrics) Outcome(outcome fulmarapi.Outcome) {
	m.counter("responses", "outcome", string(outcome)).Inc(1)
}

// Refusal counts a request without an answer by its reason.
func (m *Metrics) Refusal(reason fulmarapi.Reason) {
	m.counter("refusals", "reason", string(reason)).Inc(1)
}

// Retry counts another attempt of a request by its cause.
func (m *Metrics) Retry(cause string) { m.counter("retries", "cause", cause).Inc(1) }

// RetryRefused counts a retry that did not take place by its reason.
func (m *Metrics) RetryRefused(reason string) {
	m.counter("retries_refused", "reason", reason).Inc(1)
}

// CountCall counts a call to the platform.
func (m *Metrics) CountCall(operation string) {
	m.counter("platform_calls", "operation", operation).Inc(1)
}

// PlatformFailure counts a failed call to the platform by the duty that made it.
func (m *Metrics) PlatformFailure(duty string) {
	m.counter("platform_failures", "duty", duty).Inc(1)
}

// Claim counts what became of a claim of an idempotency key.
func (m *Metrics) Claim(verdict string) { m.counter("claims", "verdict", verdict).Inc(1) }

// PeerMessage counts the messages to and from other members.
func (m *Metrics) PeerMessage(direction string) {
	m.counter("peer_messages", "direction", direction).Inc(1)
}

// PeerBytes counts the encoded size of those messages.
func (m *Metrics) PeerBytes(direction string, n int) {
	m.counter("peer_bytes", "direction", direction).Inc(int64(n))
}

// Count counts an event of the scheduler by its reason.
func (m *Metrics) Count(name, reason string) { m.counter("scheduler_"+name, "reason", reason).Inc(1) }

// latencyBuckets are the upper bounds of the latency histograms.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)

// Observe takes a latency into the histogram of an activity.
func (m *Metrics) Observe(name string, wait fulmarclock.Millis) {
	m.mu.RLock()
	histogram := m.histograms[name]
	m.mu.RUnlock()
	if histogram == nil {
		m.mu.Lock()
		if histogram = m.histograms[name]; histogram == nil {
			histogram = m.scope.Histogram(name+"_latency", latencyBuckets)
			m.histograms[name] = histogram
		}
		m.mu.Unlock()
	}
	histogram.RecordDuration(wait.Duration())
}

func (m *Metrics) counter(name, label, value string) tally.Counter {
	key := counterKey{name: name, label: label, value: value}
	m.mu.RLock()
	counter, known := m.counters[key]
	m.mu.RUnlock()
	if known {
		return counter
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if counter, known = m.counters[key]; known {
		return counter
	}
	counter = m.scope.Tagged(map[string]string{label: value}).Counter(name)
	m.counters[key] = counter
	return counter
}
