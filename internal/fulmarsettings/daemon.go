package fulmarsettings

import (
	"net"
	"net/url"
	"slices"
	"strings"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

// Daemon holds the settings of one fulmardrumd process, as its settings file has them.
// Times are in milliseconds, sizes in bytes.
type Daemon struct {
	// Member is the name of this entry VM; a replacement VM may reuse it.
	Member string `json:"member"`
	// Region and DataCentre are the location of this entry VM.
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
	// CallerAddress, OperatorAddress and PeerAddress are the HOST:PORT addresses of the three listeners.
	CallerAddress   string `json:"callers"`
	OperatorAddress string `json:"operators"`
	PeerAddress     string `json:"peers"`
	// PlatformURL is the base URL of the platform's HTTP services.
	PlatformURL string `json:"platform"`
	// OperatorToken is the bearer token that operators must send; if empty, none is required.
	OperatorToken string `json:"operator_token"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"log_level"`

	// Policy is the load balancing policy for workers with free slots, one of the Policy constants.
	Policy string `json:"policy"`
	// Sharing is how members share a pool's slots, one of the Sharing constants.
	Sharing string `json:"sharing"`

	Limits Limits `json:"limits"`
	Times  Times  `json:"times"`
}

// Load balancing policies, and ways to share a pool's slots among members.
const (
	PolicyRoundRobin           = "round-robin"
	PolicyLeastLoaded          = "least-loaded"
	PolicyTwoChoices           = "two-choices"
	PolicyNormalizedDifference = "normalized-difference"

	// SharingDigests limits each member to its fair share, computed from the demand in the peers' digests.
	SharingDigests = "digests"
	// SharingOptimistic sets no limit: every member may try every slot.
	SharingOptimistic = "optimistic"
	// SharingStatic gives each live member an equal share, whatever its demand.
	SharingStatic = "static"
)

// Limits bound the memory, connections and requests that callers can make the daemon use.
type Limits struct {
	// MemoryBytes is the Go runtime's soft memory limit: near it, memory is freed eagerly.
	MemoryBytes int64 `json:"memory_bytes"`
	HeaderBytes int   `json:"header_bytes"`
	BodyBytes   int64 `json:"body_bytes"`
	// BufferedBodyBytes bounds one buffered request body, BufferedTotalBytes all of them together.
	BufferedBodyBytes  int64 `json:"buffered_body_bytes"`
	BufferedTotalBytes int64 `json:"buffered_total_bytes"`
	CallerRequests     int   `json:"caller_requests"`
	CallerConnections  int   `json:"caller_connections"`
	// RingEvents is the capacity of the event ring of each pool's scheduler.
	RingEvents int `json:"ring_events"`
	// ClaimsPerSecond bounds this member's claims and releases of idempotency keys.
	ClaimsPerSecond int `json:"claims_per_second"`
	// WorkerConnections bounds the connections to one worker from all members together.
	WorkerConnections int `json:"worker_connections"`
}

// Times are the daemon's timeouts and intervals.
type Times struct {
	ReadHeaderTimeout fulmarclock.Millis `json:"read_header"`
	// ReadBodyTimeout bounds the wait for the next bytes of a caller's request body, and the
	// whole read of an operator's request.
	ReadBodyTimeout fulmarclock.Millis `json:"read_body"`
	// WriteTimeout bounds each write of a response to a caller.
	WriteTimeout   fulmarclock.Millis `json:"write_idle"`
	ConnectTimeout fulmarclock.Millis `json:"connect_worker"`
	// AckTimeout bounds how long bytes sent to a worker may stay without a TCP acknowledgement.
	AckTimeout fulmarclock.Millis `json:"acknowledge"`
	// NonIdempotentMaxIdle is how long a worker connection may have been idle to carry a non-idempotent request.
	NonIdempotentMaxIdle fulmarclock.Millis `json:"fresh_idle"`
	// DigestInterval is the interval between digests to the peers.
	DigestInterval fulmarclock.Millis `json:"digest"`
	// FencingTimeout is the fencing timeout: how long a member that hears neither from the platform
	// nor from a majority of the members continues to dispatch requests.
	FencingTimeout fulmarclock.Millis `json:"fence"`
	// VMListInterval is the interval between polls of the platform's VM list.
	VMListInterval fulmarclock.Millis `json:"vm_list"`
	// LeaseDuration is the duration of the member's lease in the key-value service.
	LeaseDuration       fulmarclock.Millis `json:"lease"`
	PlatformCallTimeout fulmarclock.Millis `json:"platform_call"`
	// NotReadyDelay is how long a stopping member reports that it is not ready before it
	// stops accepting requests.
	NotReadyDelay fulmarclock.Millis `json:"stop_not_ready"`
	// ShutdownTimeout bounds the wait of a stopping member for the requests in flight.
	ShutdownTimeout fulmarclock.Millis `json:"stop_in_flight"`
	// ClaimRetention is how long the claim of an idempotency key is kept at least.
	ClaimRetention fulmarclock.Millis `json:"claim_kept"`
}

// DefaultDaemon returns the default settings; fields that a settings file omits keep them.
func DefaultDaemon() Daemon {
	return Daemon{
		Member: "member-1", Region: "region-1", DataCentre: "dc-1",
		CallerAddress: "127.0.0.1:7001", OperatorAddress: "127.0.0.1:7002", PeerAddress: "127.0.0.1:7003",
		PlatformURL: "http://127.0.0.1:7000", LogLevel: "info",
		Policy: PolicyLeastLoaded, Sharing: SharingDigests,
		Limits: Limits{
			HeaderBytes: 32 << 10, BodyBytes: 64 << 20, BufferedBodyBytes: 64 << 10, BufferedTotalBytes: 24 << 20,
			CallerRequests: 2500, CallerConnections: 3500, MemoryBytes: 112 << 20, RingEvents: 4096, ClaimsPerSecond: 40, WorkerConnections: 64,
		},
		Times: Times{
			ReadHeaderTimeout: 5 * fulmarclock.Second, ReadBodyTimeout: 60 * fulmarclock.Second, WriteTimeout: 30 * fulmarclock.Second,
			ConnectTimeout: fulmarclock.Second, AckTimeout: 3 * fulmarclock.Second, NonIdempotentMaxIdle: 2 * fulmarclock.Second,
			DigestInterval: 250, FencingTimeout: 3 * fulmarclock.Second, VMListInterval: fulmarclock.Second, LeaseDuration: 6 * fulmarclock.Second, PlatformCallTimeout: 2 * fulmarclock.Second,
			NotReadyDelay: 2 * fulmarclock.Second, ShutdownTimeout: 10 * fulmarclock.Minute,
			ClaimRetention: 10 * fulmarclock.Minute,
		},
	}
}

// LoadDaemon reads and validates the settings file at path.
func LoadDaemon(path string) (Daemon, error) {
	settings := DefaultDaemon()
	positions, err := ReadFile(path, &settings)
	if err != nil {
		return Daemon{}, err
	}
	if err := settings.Validate(path, positions); err != nil {
		return Daemon{}, err
	}
	return settings, nil
}

// Validate returns a *FieldError for the first field of d that is out of range. file and
// positions are those of the settings file.
func (d Daemon) Validate(file string, positions Positions) error {
	invalid := func(field, detail string) error {
		return NewFieldError(file, positions.Line(field), field, detail)
	}
	for _, text := range []namedValue[string]{{"member", d.Member}, {"region", d.Region}, {"data_centre", d.DataCentre}} {
		if text.value == "" {
			return invalid(text.name, "must not be empty")
		}
	}
	for _, address := range []namedValue[string]{{"callers", d.CallerAddress}, {"operators", d.OperatorAddress}, {"peers", d.PeerAddress}} {
		if _, _, err := net.SplitHostPort(address.value); err != nil {
			return invalid(address.name, "must be HOST:PORT")
		}
	}
	if platform, err := url.Parse(d.PlatformURL); err != nil || platform.Host == "" {
		return invalid("platform", "must be a URL such as http://10.0.0.9:7000")
	}
	policies := []string{PolicyRoundRobin, PolicyLeastLoaded, PolicyTwoChoices, PolicyNormalizedDifference}
	if !slices.Contains(policies, d.Policy) {
		return invalid("policy", "must be one of "+strings.Join(policies, ", "))
	}
	sharings := []string{SharingDigests, SharingOptimistic, SharingStatic}
	if !slices.Contains(sharings, d.Sharing) {
		return invalid("sharing", "must be one of "+strings.Join(sharings, ", "))
	}
	for _, size := range d.Limits.fields() {
		if size.value <= 0 {
			return invalid(size.name, "must be greater than zero")
		}
	}
	for _, duration := range d.Times.fields() {
		if duration.value <= 0 {
			return invalid(duration.name, "must be greater than zero")
		}
	}
	if d.Limits.BufferedBodyBytes > d.Limits.BufferedTotalBytes {
		return invalid("limits.buffered_body_bytes", "must not be greater than limits.buffered_total_bytes")
	}
	if d.Times.LeaseDuration < 4*d.Times.DigestInterval {
		return invalid("times.lease", "must be at least 4 * times.digest")
	}
	if d.Times.FencingTimeout < 4*d.Times.DigestInterval || d.Times.FencingTimeout < 2*d.Times.VMListInterval {
		return invalid("times.fence", "must be at least 4 * times.digest and at least 2 * times.vm_list")
	}
	return nil
}

// namedValue is a field's value with the field's path in the settings file.
type namedValue[T any] struct {
	name  string
	value T
}

func (l Limits) fields() []namedValue[int64] {
	return []namedValue[int64]{
		{"limits.memory_bytes", l.MemoryBytes}, {"limits.header_bytes", int64(l.HeaderBytes)}, {"limits.body_bytes", l.BodyBytes},
		{"limits.buffered_body_bytes", l.BufferedBodyBytes}, {"limits.buffered_total_bytes", l.BufferedTotalBytes},
		{"limits.caller_requests", int64(l.CallerRequests)}, {"limits.caller_connections", int64(l.CallerConnections)},
		{"limits.ring_events", int64(l.RingEvents)},
		{"limits.claims_per_second", int64(l.ClaimsPerSecond)},
		{"limits.worker_connections", int64(l.WorkerConnections)},
	}
}

func (t Times) fields() []namedValue[fulmarclock.Millis] {
	return []namedValue[fulmarclock.Millis]{
		{"times.read_header", t.ReadHeaderTimeout}, {"times.read_body", t.ReadBodyTimeout}, {"times.write_idle", t.WriteTimeout},
		{"times.connect_worker", t.ConnectTimeout}, {"times.acknowledge", t.AckTimeout}, {"times.fresh_idle", t.NonIdempotentMaxIdle},
		{"times.digest", t.DigestInterval}, {"times.fence", t.FencingTimeout}, {"times.vm_list", t.VMListInterval}, {"times.lease", t.LeaseDuration},
		{"times.platform_call", t.PlatformCallTimeout}, {"times.stop_not_ready", t.NotReadyDelay},
		{"times.stop_in_flight", t.ShutdownTimeout}, {"times.claim_kept", t.ClaimRetention},
	}
}
