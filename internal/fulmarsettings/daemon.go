package fulmarsettings

import "github.com/fulmardrum/fulmardrum/internal/fulmarclock"

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
