// Package fulmarmetrics holds the counters and latency histograms of a daemon and
// serves them over HTTP in the Prometheus text format.
//
// Usage:
//
//	metrics := fulmarmetrics.New("member-1")
//	defer metrics.Close()
//	metrics.CountResponse(fulmarapi.Answered)
//	mux.Handle("/metrics", metrics.Handler())
package fulmarmetrics

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprometheus "github.com/uber-go/tally/v4/prometheus"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/pkg/fulmarapi"
)

// reportInterval is the time between updates of the served values.
const reportInterval = time.Second

// sanitizeOptions allow dashes, dots and slashes in label values, so that reason codes
// and paths look the same in metrics as in headers and logs.
var sanitizeOptions = tally.SanitizeOptions{
	NameCharacters: tallyprometheus.DefaultSanitizerOpts.NameCharacters,
	KeyCharacters:  tallyprometheus.DefaultSanitizerOpts.KeyCharacters,
	ValueCharacters: tally.ValidCharacters{
		Ranges: tally.AlphanumericRange, Characters: []rune{'_', '-', '.', '/'},
	},
	ReplacementCharacter: tally.DefaultReplacementCharacter,
}

// Metrics holds the counters and histograms of one daemon. Its methods may be called concurrently.
type Metrics struct {
	scope    tally.Scope
	closer   io.Closer
	reporter tallyprometheus.Reporter

	counters registry[counterKey, tally.Counter]
	// latencies holds the histograms by activity.
	latencies registry[string, tally.Histogram]
}

// counterKey identifies a counter by its name and its only label.
type counterKey struct {
	name  string
	label string
	value string
}

// New returns the metrics of a member, with a counter for each reason of a refusal.
func New(member string) *Metrics {
	collectors := prometheus.NewRegistry()
	reporter := tallyprometheus.NewReporter(tallyprometheus.Options{Registerer: collectors, Gatherer: collectors})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "fulmardrum", Tags: map[string]string{"member": member},
		CachedReporter: reporter, Separator: tallyprometheus.DefaultSeparator,
		SanitizeOptions: &sanitizeOptions,
	}, reportInterval)
	m := &Metrics{scope: scope, closer: closer, reporter: reporter}
	for _, reason := range fulmarapi.Reasons {
		m.counter("refusals", "reason", string(reason))
	}
	return m
}

// Close updates the served values a last time and stops the updates.
func (m *Metrics) Close() { _ = m.closer.Close() }

// Handler returns the handler that serves the metrics.
func (m *Metrics) Handler() http.Handler { return m.reporter.HTTPHandler() }

// CountResponse counts a response to a caller by its outcome.
func (m *Metrics) CountResponse(outcome fulmarapi.Outcome) {
	m.counter("responses", "outcome", string(outcome)).Inc(1)
}

// CountRefusal counts a refused request, or one with an unknown outcome, by its reason.
func (m *Metrics) CountRefusal(reason fulmarapi.Reason) {
	m.counter("refusals", "reason", string(reason)).Inc(1)
}

// CountRetry counts a further attempt of a request by the cause of the retry.
func (m *Metrics) CountRetry(cause string) { m.counter("retries", "cause", cause).Inc(1) }

// CountRefusedRetry counts a retry that was not allowed by its reason, such as an empty retry budget.
func (m *Metrics) CountRefusedRetry(reason string) {
	m.counter("retries_refused", "reason", reason).Inc(1)
}

// CountCall counts a call to the platform.
func (m *Metrics) CountCall(operation string) {
	m.counter("platform_calls", "operation", operation).Inc(1)
}

// PlatformFailure counts a failed call to the platform by the operation that made it, such as "watch".
func (m *Metrics) PlatformFailure(operation string) {
	m.counter("platform_failures", "duty", operation).Inc(1)
}

// CountClaim counts a claim of an idempotency key by its result.
func (m *Metrics) CountClaim(result string) { m.counter("claims", "verdict", result).Inc(1) }

// PeerMessage counts a message to or from another member; direction is "in", "out" or "failed".
func (m *Metrics) PeerMessage(direction string) {
	m.counter("peer_messages", "direction", direction).Inc(1)
}

// PeerBytes adds the encoded size of a message to or from another member; direction is "in" or "out".
func (m *Metrics) PeerBytes(direction string, n int) {
	m.counter("peer_bytes", "direction", direction).Inc(int64(n))
}

// Count counts an event of the job scheduler by its name and reason.
func (m *Metrics) Count(name, reason string) { m.counter("scheduler_"+name, "reason", reason).Inc(1) }

// latencyBuckets are the upper bounds of the latency histograms.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)

// Observe adds a latency to the histogram of the activity with this name.
func (m *Metrics) Observe(name string, latency fulmarclock.Millis) {
	histogram := m.latencies.get(name, func() tally.Histogram {
		return m.scope.Histogram(name+"_latency", latencyBuckets)
	})
	histogram.RecordDuration(latency.Duration())
}

// counter returns the counter with this name and label.
func (m *Metrics) counter(name, label, value string) tally.Counter {
	return m.counters.get(counterKey{name: name, label: label, value: value}, func() tally.Counter {
		return m.scope.Tagged(map[string]string{label: value}).Counter(name)
	})
}
