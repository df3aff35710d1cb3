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
	// Callers, Operators and Peers are the HOST:PORT addresses of the three listeners.
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
	Peers     string `json:"peers"`
	// Platform is the base URL of the platform's HTTP services.
	Platform string `json:"platform"`
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
	// BufferedBody bounds one buffered request body, BufferedTotal all of them together.
	BufferedBody      int64 `json:"buffered_body_bytes"`
	BufferedTotal     int64 `json:"buffered_total_bytes"`
	CallerRequests    int   `json:"caller_requests"`
	CallerConnections int   `json:"caller_connections"`
	// RingEvents is the capacity of the event ring of each pool's scheduler.
	RingEvents int `json:"ring_events"`
	// ClaimsPerSecond bounds this member's claims and releases of idempotency keys.
	ClaimsPerSecond int `json:"claims_per_second"`
	// WorkerConnection bounds the connections to one worker from all members together.
	WorkerConnection int `json:"worker_connections"`
}

// Times are the daemon's timeouts and intervals.
type Times struct {
	ReadHeader fulmarclock.Millis `json:"read_header"`
	// ReadBody bounds the wait for the next bytes of a caller's request body, and the
	// whole read of an operator's request.
	ReadBody fulmarclock.Millis `json:"read_body"`
	// WriteIdle bounds each write of a response to a caller.
	WriteIdle     fulmarclock.Millis `json:"write_idle"`
	ConnectWorker fulmarclock.Millis `json:"connect_worker"`
	// Acknowledge bounds how long bytes sent to a worker may stay without a TCP acknowledgement.
	Acknowledge fulmarclock.Millis `json:"acknowledge"`
	// FreshIdle is how long a worker connection may have been idle to carry a non-idempotent request.
	FreshIdle fulmarclock.Millis `json:"fresh_idle"`
	// Digest is the interval between digests to the peers.
	Digest fulmarclock.Millis `json:"digest"`
	// Fence is the fencing timeout: how long a member that hears neither from the platform
	// nor from a majority of the members continues to dispatch requests.
	Fence fulmarclock.Millis `json:"fence"`
	// VMList is the interval between polls of the platform's VM list.
	VMList fulmarclock.Millis `json:"vm_list"`
	// Lease is the duration of the member's lease in the key-value service.
	Lease        fulmarclock.Millis `json:"lease"`
	PlatformCall fulmarclock.Millis `json:"platform_call"`
	// StopNotReady is how long a stopping member reports that it is not ready before it
	// stops accepting requests.
	StopNotReady fulmarclock.Millis `json:"stop_not_ready"`
	// StopInFlight bounds the wait of a stopping member for the requests in flight.
	StopInFlight fulmarclock.Millis `json:"stop_in_flight"`
	// ClaimKept is how long the claim of an idempotency key is kept at least.
	ClaimKept fulmarclock.Millis `json:"claim_kept"`
}

// DefaultDaemon returns the default settings; fields that a settings file omits keep them.
func DefaultDaemon() Daemon {
	return Daemon{
		Member: "member-1", Region: "region-1", DataCentre: "dc-1",
		Callers: "127.0.0.1:7001", Operators: "127.0.0.1:7002", Peers: "127.0.0.1:7003",
		Platform: "http://127.0.0.1:7000", LogLevel: "info",
		Policy: PolicyLeastLoaded, Sharing: SharingDigests,
		Limits: Limits{
			HeaderBytes: 32 << 10, BodyBytes: 64 << 20, BufferedBody: 64 << 10, BufferedTotal: 24 << 20,
			CallerRequests: 2500, CallerConnections: 3500, MemoryBytes: 112 << 20, RingEvents: 4096, ClaimsPerSecond: 40, WorkerConnection: 64,
		},
		Times: Times{
			ReadHeader: 5 * fulmarclock.Second, ReadBody: 60 * fulmarclock.Second, WriteIdle: 30 * fulmarclock.Second,
			ConnectWorker: fulmarclock.Second, Acknowledge: 3 * fulmarclock.Second, FreshIdle: 2 * fulmarclock.Second,
			Digest: 250, Fence: 3 * fulmarclock.Second, VMList: fulmarclock.Second, Lease: 6 * fulmarclock.Second, PlatformCall: 2 * fulmarclock.Second,
			StopNotReady: 2 * fulmarclock.Second, StopInFlight: 10 * fulmarclock.Minute,
			ClaimKept: 10 * fulmarclock.Minute,
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
	for _, address := range []namedValue[string]{{"callers", d.Callers}, {"operators", d.Operators}, {"peers", d.Peers}} {
		if _, _, err := net.SplitHostPort(address.value); err != nil {
			return invalid(address.name, "must be HOST:PORT")
		}
	}
	if platform, err := url.Parse(d.Platform); err != nil || platform.Host == "" {
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
	if d.Limits.BufferedBody > d.Limits.BufferedTotal {
		return invalid("limits.buffered_body_bytes", "must not be greater than limits.buffered_total_bytes")
	}
	if d.Times.Lease < 4*d.Times.Digest {
		return invalid("times.lease", "must be at least 4 * times.digest")
	}
	if d.Times.Fence < 4*d.Times.Digest || d.Times.Fence < 2*d.Times.VMList {
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
		{"limits.buffered_body_bytes", l.BufferedBody}, {"limits.buffered_total_bytes", l.BufferedTotal},
		{"limits.caller_requests", int64(l.CallerRequests)}, {"limits.caller_connections", int64(l.CallerConnections)},
		{"limits.ring_events", int64(l.RingEvents)},
		{"limits.claims_per_second", int64(l.ClaimsPerSecond)},
		{"limits.worker_connections", int64(l.WorkerConnection)},
	}
}

func (t Times) fields() []namedValue[fulmarclock.Millis] {
	return []namedValue[fulmarclock.Millis]{
		{"times.read_header", t.ReadHeader}, {"times.read_body", t.ReadBody}, {"times.write_idle", t.WriteIdle},
		{"times.connect_worker", t.ConnectWorker}, {"times.acknowledge", t.Acknowledge}, {"times.fresh_idle", t.FreshIdle},
		{"times.digest", t.Digest}, {"times.fence", t.Fence}, {"times.vm_list", t.VMList}, {"times.lease", t.Lease},
		{"times.platform_call", t.PlatformCall}, {"times.stop_not_ready", t.StopNotReady},
		{"times.stop_in_flight", t.StopInFlight}, {"times.claim_kept", t.ClaimKept},
	}
}
