package fulmarsettings

import (
	"net"
	"net/url"
	"slices"
	"strings"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

// Daemon is the settings file of one fulmardrumd. Times are in milliseconds, sizes in bytes.
type Daemon struct {
	// Member is the name of this entry VM; a replacement may take the same name.
	Member string `json:"member"`
	// Region and DataCentre tell where this entry VM stands.
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
	// Callers, Operators and Peers are the addresses of the three listeners.
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
	Peers     string `json:"peers"`
	// Platform is the base URL of the platform's services.
	Platform string `json:"platform"`
	// OperatorToken, when set, is demanded from operators as a bearer token.
	OperatorToken string `json:"operator_token"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"log_level"`

	// Policy chooses among workers with free slots; Sharing bounds a member's part of a pool.
	Policy  string `json:"policy"`
	Sharing string `json:"sharing"`

	Limits Limits `json:"limits"`
	Times  Times  `json:"times"`
}

// Names of the policies and of the ways of sharing slots among members.
const (
	PolicyRoundRobin           = "round-robin"
	PolicyLeastLoaded          = "least-loaded"
	PolicyTwoChoices           = "two-choices"
	PolicyNormalizedDifference = "normalized-difference"

	// SharingDigests bounds each member to its fair share by the peers' digests.
	SharingDigests = "digests"
	// SharingOptimistic lets every member try every slot.
	SharingOptimistic = "optimistic"
	// SharingStatic gives each live member an equal part whatever the demand.
	SharingStatic = "static"
)

// Limits bound what callers can make the daemon hold.
type Limits struct {
	// MemoryBytes is the size from which the process frees memory eagerly.
	MemoryBytes       int64 `json:"memory_bytes"`
	HeaderBytes       int   `json:"header_bytes"`
	BodyBytes         int64 `json:"body_bytes"`
	BufferedBody      int64 `json:"buffered_body_bytes"`
	BufferedTotal     int64 `json:"buffered_total_bytes"`
	CallerRequests    int   `json:"caller_requests"`
	CallerConnections int   `json:"caller_connections"`
	RingEvents        int   `json:"ring_events"`
	ClaimsPerSecond   int   `json:"claims_per_second"`
	WorkerConnection  int   `json:"worker_connections"`
}

// Times bound how long each step may take.
type Times struct {
	ReadHeader    fulmarclock.Millis `json:"read_header"`
	ReadBody      fulmarclock.Millis `json:"read_body"`
	WriteIdle     fulmarclock.Millis `json:"write_idle"`
	ConnectWorker fulmarclock.Millis `json:"connect_worker"`
	Acknowledge   fulmarclock.Millis `json:"acknowledge"`
	FreshIdle     fulmarclock.Millis `json:"fresh_idle"`
	Digest        fulmarclock.Millis `json:"digest"`
	// Fence is how long a member without word from the platform and from every peer goes on sending work.
	Fence        fulmarclock.Millis `json:"fence"`
	VMList       fulmarclock.Millis `json:"vm_list"`
	Lease        fulmarclock.Millis `json:"lease"`
	PlatformCall fulmarclock.Millis `json:"platform_call"`
	StopNotReady fulmarclock.Millis `json:"stop_not_ready"`
	StopInFlight fulmarclock.Millis `json:"stop_in_flight"`
	ClaimKept    fulmarclock.Millis `json:"claim_kept"`
}

// DefaultDaemon returns the settings that a file starts from.
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

// LoadDaemon reads and checks the settings file at path.
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

// Validate refuses settings that cannot work.
func (d Daemon) Validate(file string, positions Positions) error {
	refuse := func(field, detail string) error {
		return NewFieldError(file, positions.Line(field), field, detail)
	}
	for _, named := range []namedValue[string]{{"member", d.Member}, {"region", d.Region}, {"data_centre", d.DataCentre}} {
		if named.value == "" {
			return refuse(named.name, "must not be empty")
		}
	}
	for _, address := range []namedValue[string]{{"callers", d.Callers}, {"operators", d.Operators}, {"peers", d.Peers}} {
		if _, _, err := net.SplitHostPort(address.value); err != nil {
			return refuse(address.name, "must be HOST:PORT")
		}
	}
	if platform, err := url.Parse(d.Platform); err != nil || platform.Host == "" {
		return refuse("platform", "must be a URL such as http://10.0.0.9:7000")
	}
	policies := []string{PolicyRoundRobin, PolicyLeastLoaded, PolicyTwoChoices, PolicyNormalizedDifference}
	if !slices.Contains(policies, d.Policy) {
		return refuse("policy", "must be one of "+strings.Join(policies, ", "))
	}
	sharings := []string{SharingDigests, SharingOptimistic, SharingStatic}
	if !slices.Contains(sharings, d.Sharing) {
		return refuse("sharing", "must be one of "+strings.Join(sharings, ", "))
	}
	for _, size := range d.Limits.fields() {
		if size.value <= 0 {
			return refuse(size.name, "must be above zero")
		}
	}
	for _, length := range d.Times.fields() {
		if length.value <= 0 {
			return refuse(length.name, "must be above zero")
		}
	}
	if d.Limits.BufferedBody > d.Limits.BufferedTotal {
		return refuse("limits.buffered_body_bytes", "must not be above limits.buffered_total_bytes")
	}
	if d.Times.Lease < 4*d.Times.Digest {
		return refuse("times.lease", "must be at least four times times.digest")
	}
	if d.Times.Fence < 4*d.Times.Digest || d.Times.Fence < 2*d.Times.VMList {
		return refuse("times.fence", "must be at least four times times.digest and twice times.vm_list")
	}
	return nil
}

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
