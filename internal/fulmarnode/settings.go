package fulmarnode

import (
	"net"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarsched"
	"github.com/fulmardrum/fulmardrum/internal/fulmarsettings"
)

// Settings is the settings file of one member. Lengths of time are in the unit of their name.
type Settings struct {
	Member     string `json:"member"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
	// Callers, Ready, Peers and Metrics are the addresses of the listeners.
	Callers string `json:"callers"`
	Ready   string `json:"ready"`
	Peers   string `json:"peers"`
	Metrics string `json:"metrics"`
	// Store, Fleet and Advice are the addresses of the platform's services.
	Store  string `json:"store"`
	Fleet  string `json:"fleet"`
	Advice string `json:"advice"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"log_level"`
	// MemoryMB is the process's limit.
	MemoryMB int64 `json:"memory_mb"`
	// Cores and LinkMbps are what the VM has of processor and network.
	Cores    float64       `json:"cores"`
	LinkMbps float64       `json:"link_mbps"`
	Bounds   BoundSettings `json:"bounds"`
}

// BoundSettings are the deployment's bounds.
type BoundSettings struct {
	LeaseMinMillis     float64 `json:"lease_min_ms"`
	HoldMaxMillis      float64 `json:"hold_max_ms"`
	StopWithinMillis   float64 `json:"stop_within_ms"`
	StatusKeptSeconds  float64 `json:"status_kept_s"`
	FleetTurnMillis    float64 `json:"fleet_turn_ms"`
	UpkeepSeconds      float64 `json:"upkeep_s"`
	MoveSeconds        float64 `json:"move_s"`
	StopProcessSeconds float64 `json:"stop_process_s"`
}

const millisInSecond = 1000

// The ownership lease is this many times the shortest lease of the store.
const leaseOverMinimum = 1.25

// fallback figures stand for bounds that the file leaves out.
var fallback = BoundSettings{
	LeaseMinMillis: 1000, HoldMaxMillis: 10000, StopWithinMillis: 1000, StatusKeptSeconds: 120,
	FleetTurnMillis: 3000, UpkeepSeconds: 2, MoveSeconds: 2, StopProcessSeconds: 6,
}

// DefaultBounds returns the bounds that stand for those that a file leaves out.
func DefaultBounds() BoundSettings { return fallback }

// LoadSettings reads and checks the file at path.
func LoadSettings(path string) (Settings, error) {
	s := Settings{LogLevel: "info", Bounds: fallback}
	positions, err := fulmarsettings.ReadFile(path, &s)
	if err != nil {
		return s, err
	}
	return s, s.check(path, positions)
}

func (s Settings) check(path string, positions fulmarsettings.Positions) error {
	addresses := []struct {
		name, value string
	}{{"callers", s.Callers}, {"ready", s.Ready}, {"peers", s.Peers}, {"metrics", s.Metrics}, {"store", s.Store}, {"fleet", s.Fleet}}
	for _, a := range addresses {
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			return fulmarsettings.NewFieldError(path, positions.Line(a.name), a.name, "an address with a port is needed")
		}
	}
	if s.Member == "" {
		return fulmarsettings.NewFieldError(path, positions.Line("member"), "member", "a name is needed")
	}
	if s.Bounds.HoldMaxMillis <= 0 || s.Bounds.LeaseMinMillis <= 0 {
		return fulmarsettings.NewFieldError(path, positions.Line("bounds"), "bounds", "leases must be longer than zero")
	}
	return nil
}

// The delay of a claim is what the VM would need to read a journal of usual size,
// and a part for its processor, but not more than the longest.
const (
	usualJournalMbit    = 16.0
	claimDelayForCore   = 30 * fulmarclock.Millis(1)
	longestClaimDelay   = 500 * fulmarclock.Millis(1)
	millisInSecondFloat = float64(millisInSecond)
)

// ClaimDelay returns how long this member waits before it claims the scheduler.
func (s Settings) ClaimDelay() fulmarclock.Millis {
	if s.Cores <= 0 || s.LinkMbps <= 0 {
		return longestClaimDelay
	}
	delay := fulmarclock.Millis(usualJournalMbit/s.LinkMbps*millisInSecondFloat) + fulmarclock.Millis(float64(claimDelayForCore)/s.Cores)
	return min(delay, longestClaimDelay)
}

// Lease returns the length of the ownership lease.
func (b BoundSettings) Lease() fulmarclock.Millis {
	return fulmarclock.Millis(b.LeaseMinMillis * leaseOverMinimum)
}

// reportsPerCore is how many renewals a second a whole core may spend itself on.
const reportsPerCore = 1200.0

// Scheduler returns the bounds that the scheduler's decisions depend on.
func (s Settings) Scheduler() fulmarsched.Parameters {
	b := s.Bounds
	return fulmarsched.Parameters{
		MaxLease: fulmarclock.Millis(b.HoldMaxMillis), StopTimeout: fulmarclock.Millis(b.StopWithinMillis),
		StatusRetention:     fulmarclock.Millis(b.StatusKeptSeconds * millisInSecond),
		TakeoverDelay:       fulmarclock.Millis(b.FleetTurnMillis),
		RenewalsPerSecond:   s.Cores * reportsPerCore,
		MaintenanceDuration: fulmarclock.Millis(b.UpkeepSeconds * millisInSecond), MoveDuration: fulmarclock.Millis(b.MoveSeconds * millisInSecond),
	}
}
