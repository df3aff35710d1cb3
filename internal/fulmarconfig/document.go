// Package fulmarconfig holds the fleet's configuration: the document that
// operators write, its validation, and the stored record that gives each accepted
// document a generation number.
//
// Usage:
//
//	document, err := fulmarconfig.Parse("fleet.jsonc", data)
//	record := fulmarconfig.Next(previous, document, fulmarconfig.Change{Author: author})
//	value, err := record.Encode()
package fulmarconfig

import (
	"fmt"
	"sort"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarsettings"
)

// Document is the fleet's configuration as operators write it, in JSON with comments.
type Document struct {
	Defaults   Defaults        `json:"defaults"`
	Pools      map[string]Pool `json:"pools"`
	Teams      map[string]Team `json:"teams,omitempty"`
	Exceptions []Exception     `json:"exceptions,omitempty"`
}

// Defaults apply to every pool unless an exception replaces them.
type Defaults struct {
	// QueueRequests limits a pool's queued requests on one member.
	QueueRequests int `json:"queue_requests"`
	// TeamShare limits one team's fraction of a pool's queue; above 0, up to 1.
	TeamShare float64 `json:"team_share"`
	// TimeoutMillis is the timeout of a request that sets none.
	TimeoutMillis fulmarclock.Millis `json:"timeout_ms"`
	// Attempts limits how often one request is sent, the first attempt included.
	Attempts int `json:"attempts"`
	// RetryShare is the retry budget as a fraction of the requests, 0 to 1.
	RetryShare float64 `json:"retry_share"`
	// AvailableShare is the fraction of a pool's VMs that must stay in service; above 0, up to 1.
	AvailableShare float64 `json:"available_share"`
}

// Pool is the configuration of one pool.
type Pool struct {
	// VMs is the target number of VMs.
	VMs int `json:"vms"`
}

// Team is the quota of one team.
type Team struct {
	// Weight is the team's relative share of a contended pool.
	Weight float64 `json:"weight"`
	// RunningRequests limits the team's running requests in the fleet; zero means no limit.
	RunningRequests int `json:"running_requests,omitempty"`
}

// Exception overrides defaults for one pool; zero fields keep the default. Operators must give a reason.
type Exception struct {
	Pool           string             `json:"pool"`
	Reason         string             `json:"reason"`
	QueueRequests  int                `json:"queue_requests,omitempty"`
	TimeoutMillis  fulmarclock.Millis `json:"timeout_ms,omitempty"`
	AvailableShare float64            `json:"available_share,omitempty"`
}

// DefaultDocument returns a document with the built-in defaults and no pools.
func DefaultDocument() Document {
	return Document{Defaults: Defaults{
		QueueRequests: 1000, TeamShare: 0.5, TimeoutMillis: 30 * fulmarclock.Second,
		Attempts: 3, RetryShare: 0.2, AvailableShare: 0.75,
	}}
}

// Parse decodes and validates a document. Fields that data omits keep the values
// of DefaultDocument. An invalid field gives a *fulmarsettings.FieldError with its
// name and line; file is used in errors only.
func Parse(file string, data []byte) (Document, error) {
	document := DefaultDocument()
	positions, err := fulmarsettings.Decode(file, data, &document)
	if err != nil {
		return Document{}, err
	}
	v := &validator{file: file, positions: positions, document: document}
	if err := v.validate(); err != nil {
		return Document{}, err
	}
	return document, nil
}

// PoolNames returns the names of the pools in alphabetical order.
func (d Document) PoolNames() []string {
	names := make([]string, 0, len(d.Pools))
	for name := range d.Pools {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// DefaultsFor returns the defaults for a pool with its exceptions applied.
func (d Document) DefaultsFor(pool string) Defaults {
	result := d.Defaults
	for _, e := range d.Exceptions {
		if e.Pool != pool {
			continue
		}
		if e.QueueRequests > 0 {
			result.QueueRequests = e.QueueRequests
		}
		if e.TimeoutMillis > 0 {
			result.TimeoutMillis = e.TimeoutMillis
		}
		if e.AvailableShare > 0 {
			result.AvailableShare = e.AvailableShare
		}
	}
	return result
}

// validator validates a document and locates the fields that are wrong.
type validator struct {
	file      string
	positions fulmarsettings.Positions
	document  Document
}

func (v *validator) validate() error {
	for _, step := range []func() error{v.validateDefaults, v.validatePools, v.validateTeams, v.validateExceptions} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

func (v *validator) fieldError(field, detail string) error {
	return fulmarsettings.NewFieldError(v.file, v.positions.Line(field), field, detail)
}

func (v *validator) validateDefaults() error {
	d := v.document.Defaults
	if d.QueueRequests < 1 {
		return v.fieldError("defaults.queue_requests", "must be at least 1")
	}
	if d.TimeoutMillis < 1 {
		return v.fieldError("defaults.timeout_ms", "must be at least 1")
	}
	if d.Attempts < 1 {
		return v.fieldError("defaults.attempts", "must be at least 1")
	}
	shares := []struct {
		field        string
		value        float64
		exclusiveMin float64
	}{
		{"defaults.team_share", d.TeamShare, 0},
		{"defaults.retry_share", d.RetryShare, -1},
		{"defaults.available_share", d.AvailableShare, 0},
	}
	for _, s := range shares {
		if s.value <= s.exclusiveMin || s.value < 0 || s.value > 1 {
			return v.fieldError(s.field, "must be a fraction between 0 and 1")
		}
	}
	return nil
}

func (v *validator) validatePools() error {
	if len(v.document.Pools) == 0 {
		return v.fieldError("pools", "must contain at least one pool")
	}
	for _, name := range v.document.PoolNames() {
		if name == "" {
			return v.fieldError("pools", "must not contain a pool with an empty name")
		}
		if v.document.Pools[name].VMs < 0 {
			return v.fieldError("pools."+name+".vms", "must not be negative")
		}
	}
	return nil
}

func (v *validator) validateTeams() error {
	for name, team := range v.document.Teams {
		if team.Weight <= 0 {
			return v.fieldError("teams."+name+".weight", "must be above 0")
		}
		if team.RunningRequests < 0 {
			return v.fieldError("teams."+name+".running_requests", "must not be negative")
		}
	}
	return nil
}

func (v *validator) validateExceptions() error {
	for i, e := range v.document.Exceptions {
		field := fmt.Sprintf("exceptions.%d", i)
		if e.Reason == "" {
			return v.fieldError(field+".reason", "must not be empty: an exception needs a reason")
		}
		if _, found := v.document.Pools[e.Pool]; !found {
			return v.fieldError(field+".pool", "must be the name of a pool in this document")
		}
		if e.QueueRequests < 0 || e.TimeoutMillis < 0 {
			return v.fieldError(field, "queue_requests and timeout_ms must not be negative")
		}
		if e.AvailableShare < 0 || e.AvailableShare > 1 {
			return v.fieldError(field+".available_share", "must be a fraction between 0 and 1")
		}
	}
	return nil
}
