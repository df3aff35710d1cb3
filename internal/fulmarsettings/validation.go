package fulmarsettings

import (
	"net"
	"net/url"
	"slices"
	"strings"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

// invalidField is a field that is out of range: its path in the settings file and the reason.
// The zero value means that there is none.
type invalidField struct{ name, detail string }

// Validate returns a *FieldError for the first field of d that is out of range. file and
// positions are those of the settings file.
func (d Daemon) Validate(file string, positions Positions) error {
	for _, check := range []func() invalidField{d.checkNames, d.checkAddresses, d.checkChoices, d.checkPositive, d.checkRelations} {
		if invalid := check(); invalid != (invalidField{}) {
			return NewFieldError(file, positions.Line(invalid.name), invalid.name, invalid.detail)
		}
	}
	return nil
}

func (d Daemon) checkNames() invalidField {
	for _, text := range []namedValue[string]{{"member", d.Member}, {"region", d.Region}, {"data_centre", d.DataCentre}} {
		if text.value == "" {
			return invalidField{text.name, "must not be empty"}
		}
	}
	return invalidField{}
}

func (d Daemon) checkAddresses() invalidField {
	for _, address := range []namedValue[string]{{"callers", d.CallerAddress}, {"operators", d.OperatorAddress}, {"peers", d.PeerAddress}} {
		if _, _, err := net.SplitHostPort(address.value); err != nil {
			return invalidField{address.name, "must be HOST:PORT"}
		}
	}
	if platform, err := url.Parse(d.PlatformURL); err != nil || platform.Host == "" {
		return invalidField{"platform", "must be a URL such as http://10.0.0.9:7000"}
	}
	return invalidField{}
}

func (d Daemon) checkChoices() invalidField {
	policies := []string{PolicyRoundRobin, PolicyLeastLoaded, PolicyTwoChoices, PolicyNormalizedDifference}
	if !slices.Contains(policies, d.Policy) {
		return invalidField{"policy", "must be one of " + strings.Join(policies, ", ")}
	}
	sharings := []string{SharingDigests, SharingOptimistic, SharingStatic}
	if !slices.Contains(sharings, d.Sharing) {
		return invalidField{"sharing", "must be one of " + strings.Join(sharings, ", ")}
	}
	return invalidField{}
}

func (d Daemon) checkPositive() invalidField {
	for _, size := range d.Limits.fields() {
		if size.value <= 0 {
			return invalidField{size.name, "must be greater than zero"}
		}
	}
	for _, duration := range d.Times.fields() {
		if duration.value <= 0 {
			return invalidField{duration.name, "must be greater than zero"}
		}
	}
	return invalidField{}
}

// checkRelations checks the fields whose range depends on other fields.
func (d Daemon) checkRelations() invalidField {
	switch {
	case d.Limits.BufferedBodyBytes > d.Limits.BufferedTotalBytes:
		return invalidField{"limits.buffered_body_bytes", "must not be greater than limits.buffered_total_bytes"}
	case d.Times.LeaseDuration < 4*d.Times.DigestInterval:
		return invalidField{"times.lease", "must be at least 4 * times.digest"}
	case d.Times.FencingTimeout < 4*d.Times.DigestInterval || d.Times.FencingTimeout < 2*d.Times.VMListInterval:
		return invalidField{"times.fence", "must be at least 4 * times.digest and at least 2 * times.vm_list"}
	}
	return invalidField{}
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
