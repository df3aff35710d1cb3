package fulmarnode

import (
	"net"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarsched"
	"github.com/fulmardrum/fulmardrum/internal/fulmarsettings"
)

// Settings is the settings file of one member. The names of durations end in their unit.
type Settings struct {
	Member     string `json:"member"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
	// CallerAddress, Ready, PeerAddress and Metrics are the addresses of the listeners.
	CallerAddress string `json:"callers"`
	Ready         string `json:"ready"`
	PeerAddress   string `json:"peers"`
	Metrics       string `json:"metrics"`
	// Store, Fleet and Advice are the addresses of the platform's services.
	Store  string `json:"store"`
	Fleet  string `json:"fleet"`
	Advice string `json:"advice"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"log_level"`
	// MemoryMB is the memory limit of the process in megabytes.
	MemoryMB int64 `json:"memory_mb"`
	// Cores is the number of processor cores of the VM, which may be a fraction; LinkMbps
	// is its network bandwidth.
	Cores    float64 `json:"cores"`
	LinkMbps float64 `json:"link_mbps"`
	// Forecast sizes pools for the load that is expected when their VMs arrive.
	Forecast bool `json:"forecast"`
	// LookAhead switches look-ahead placement on.
	LookAhead bool          `json:"look_ahead"`
	Bounds    BoundSettings `json:"bounds"`
}

// BoundSettings are the time bounds that the deployment's platform guarantees or demands.
type BoundSettings struct {
	MinLeaseMillis         float64 `json:"lease_min_ms"`
	MaxLeaseMillis         float64 `json:"hold_max_ms"`
	StopTimeoutMillis      float64 `json:"stop_within_ms"`
	StatusRetentionSeconds float64 `json:"status_kept_s"`
	TakeoverDelayMillis    float64 `json:"fleet_turn_ms"`
	AcknowledgeMillis      float64 `json:"acknowledge_ms"`
	MaintenanceSeconds     float64 `json:"upkeep_s"`
	MoveSeconds            float64 `json:"move_s"`
	ShutdownSeconds        float64 `json:"stop_process_s"`
}

const millisPerSecond = 1000

// leaseFactor times the store's shortest lease is the duration of the ownership lease.
const leaseFactor = 1.25

// defaultBounds applies to bounds that the settings file leaves out.
var defaultBounds = BoundSettings{
	MinLeaseMillis: 1000, MaxLeaseMillis: 10000, StopTimeoutMillis: 1000, StatusRetentionSeconds: 120,
	TakeoverDelayMillis: 3000, AcknowledgeMillis: 4000, MaintenanceSeconds: 2, MoveSeconds: 2, ShutdownSeconds: 6,
}

// DefaultBounds returns the bounds that apply when a settings file leaves them out.
func DefaultBounds() BoundSettings { return defaultBounds }

// LoadSettings reads and validates the settings file at path. It fails with
// fulmarsettings.FieldError, which names the line and field, for an invalid value.
func LoadSettings(path string) (Settings, error) {
	s := Settings{LogLevel: "info", Forecast: true, LookAhead: true, Bounds: defaultBounds}
	positions, err := fulmarsettings.ReadFile(path, &s)
	if err != nil {
		return s, err
	}
	return s, s.validate(path, positions)
}

func (s Settings) validate(path string, positions fulmarsettings.Positions) error {
	addresses := []struct {
		name, value string
	}{{"callers", s.CallerAddress}, {"ready", s.Ready}, {"peers", s.PeerAddress}, {"metrics", s.Metrics}, {"store", s.Store}, {"fleet", s.Fleet}}
	for _, a := range addresses {
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			return fulmarsettings.NewFieldError(path, positions.Line(a.name), a.name, "must be a host and a port")
		}
	}
	if s.Member == "" {
		return fulmarsettings.NewFieldError(path, positions.Line("member"), "member", "must not be empty")
	}
	if s.Bounds.MaxLeaseMillis <= 0 || s.Bounds.MinLeaseMillis <= 0 {
		return fulmarsettings.NewFieldError(path, positions.Line("bounds"), "bounds", "hold_max_ms and lease_min_ms must be greater than zero")
	}
	return nil
}

// A member tries to acquire a free ownership after the time that its VM needs to load the
// journal, so that the fastest VM usually acquires it: the transfer of a journal of typical size
// over its link, plus a processor part that shrinks with its cores, at most maxAcquireDelay.
const (
	typicalJournalMbit   = 16.0
	acquireDelayPerCore  = 30 * fulmarclock.Millis(1)
	maxAcquireDelay      = 500 * fulmarclock.Millis(1)
	millisPerSecondFloat = float64(millisPerSecond)
)

// AcquireDelay returns how long this member waits before it tries to acquire a free ownership.
func (s Settings) AcquireDelay() fulmarclock.Millis {
	if s.Cores <= 0 || s.LinkMbps <= 0 {
		return maxAcquireDelay
	}
	delay := fulmarclock.Millis(typicalJournalMbit/s.LinkMbps*millisPerSecondFloat) + fulmarclock.Millis(float64(acquireDelayPerCore)/s.Cores)
	return min(delay, maxAcquireDelay)
}

// Lease returns the duration of the ownership lease.
func (b BoundSettings) Lease() fulmarclock.Millis {
	return fulmarclock.Millis(b.MinLeaseMillis * leaseFactor)
}

// renewalsPerCore limits the executor lease renewals per second and processor core.
const renewalsPerCore = 1200.0

// SchedulerParameters returns the scheduler's parameters.
func (s Settings) SchedulerParameters() fulmarsched.Parameters {
	b := s.Bounds
	return fulmarsched.Parameters{
		MaxLease: fulmarclock.Millis(b.MaxLeaseMillis), StopTimeout: fulmarclock.Millis(b.StopTimeoutMillis),
		StatusRetention: fulmarclock.Millis(b.StatusRetentionSeconds * millisPerSecond),
		TakeoverDelay:   fulmarclock.Millis(b.TakeoverDelayMillis), AcknowledgeTimeout: fulmarclock.Millis(b.AcknowledgeMillis),
		RenewalsPerSecond: s.Cores * renewalsPerCore, ForecastDemand: s.Forecast, LookAhead: s.LookAhead,
		MaintenanceDuration: fulmarclock.Millis(b.MaintenanceSeconds * millisPerSecond), MoveDuration: fulmarclock.Millis(b.MoveSeconds * millisPerSecond),
	}
}
