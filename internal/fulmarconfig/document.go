// Package fulmarconfig is the operators' configuration: its document, its
// checks and the record that makes one generation of it current everywhere.
//
// Usage:
//
//	document, err := fulmarconfig.Parse("fleet.jsonc", data)
//	record, err := fulmarconfig.NewRecord(previous, document, author, unixMillis)
package fulmarconfig

import (
	"fmt"
	"sort"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarsettings"
)

// Document is the fleet's configuration as operators write it.
type Document struct {
	Defaults   Defaults        `json:"defaults"`
	Pools      map[string]Pool `json:"pools"`
	Teams      map[string]Team `json:"teams,omitempty"`
	Exceptions []Exception     `json:"exceptions,omitempty"`
}

// Defaults hold for every pool without an exception.
type Defaults struct {
	// QueueRequests bounds a pool's waiting requests on one member.
	QueueRequests int `json:"queue_requests"`
	// TeamShare bounds one team's part of a pool's queue, 0 to 1.
	TeamShare float64 `json:"team_share"`
	// TimeoutMillis is the time limit of a request that states none.
	TimeoutMillis fulmarclock.Millis `json:"timeout_ms"`
	// Attempts bounds how often one request is sent.
	Attempts int `json:"attempts"`
	// RetryShare bounds retries as a share of requests, 0 to 1.
	RetryShare float64 `json:"retry_share"`
	// AvailableShare is the availability budget: the share of a pool's VMs that stays in service.
	AvailableShare float64 `json:"available_share"`
}

// Pool is one pool's part of the document.
type Pool struct {
	// VMs is the number of VMs the pool is to have.
	VMs int `json:"vms"`
}

// Team is one team's quota.
type Team struct {
	// Weight is the team's share of a contended pool against other teams.
	Weight float64 `json:"weight"`
	// RunningRequests bounds the team's running requests in the fleet; zero means no bound.
	RunningRequests int `json:"running_requests,omitempty"`
}

// Exception replaces a default for one pool, with a written reason.
type Exception struct {
	Pool           string             `json:"pool"`
	Reason         string             `json:"reason"`
	QueueRequests  int                `json:"queue_requests,omitempty"`
	TimeoutMillis  fulmarclock.Millis `json:"timeout_ms,omitempty"`
	AvailableShare float64            `json:"available_share,omitempty"`
}

// DefaultDocument returns the defaults that a document starts from.
func DefaultDocument() Document {
	return Document{Defaults: Defaults{
		QueueRequests: 1000, TeamShare: 0.5, TimeoutMillis: 30 * fulmarclock.Second,
		Attempts: 3, RetryShare: 0.2, AvailableShare: 0.75,
	}}
}

// Parse decodes and checks a document.
func Parse(file string, data []byte) (Document, error) {
	document := DefaultDocument()
	positions, err := fulmarsettings.Decode(file, data, &document)
	if err != nil {
		return Document{}, err
	}
	c := &checker{file: file, positions: positions, document: document}
	if err := c.check(); err != nil {
		return Document{}, err
	}
	return document, nil
}

// PoolNames returns the names of the pools in order.
func (d Document) PoolNames() []string {
	names := make([]string, 0, len(d.Pools))
	for name := range d.Pools {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// For returns the defaults of a pool with its exceptions applied.
func (d Document) For(pool string) Defaults {
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

type checker struct {
	file      string
	positions fulmarsettings.Positions
	document  Document
}

func (c *checker) check() error {
	for _, step := range []func() error{c.defaults, c.pools, c.teams, c.exceptions} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

func (c *checker) refuse(field, detail string) error {
	return fulmarsettings.NewFieldError(c.file, c.positions.Line(field), field, detail)
}

func (c *checker) defaults() error {
	d := c.document.Defaults
	if d.QueueRequests < 1 {
		return c.refuse("defaults.queue_requests", "must be at least 1")
	}
	if d.TimeoutMillis < 1 {
		return c.refuse("defaults.timeout_ms", "must be at least 1")
	}
	if d.Attempts < 1 {
		return c.refuse("defaults.attempts", "must be at least 1")
	}
	shares := []struct {
		field string
		value float64
		above float64
	}{
		{"defaults.team_share", d.TeamShare, 0},
		{"defaults.retry_share", d.RetryShare, -1},
		{"defaults.available_share", d.AvailableShare, 0},
	}
	for _, s := range shares {
		if s.value <= s.above || s.value < 0 || s.value > 1 {
			return c.refuse(s.field, "must be a share between 0 and 1")
		}
	}
	return nil
}

func (c *checker) pools() error {
	if len(c.document.Pools) == 0 {
		return c.refuse("pools", "must name at least one pool")
	}
	for _, name := range c.document.PoolNames() {
		if name == "" {
			return c.refuse("pools", "a pool's name must not be empty")
		}
		if c.document.Pools[name].VMs < 0 {
			return c.refuse("pools."+name+".vms", "must not be below 0")
		}
	}
	return nil
}

func (c *checker) teams() error {
	for name, team := range c.document.Teams {
		if team.Weight <= 0 {
			return c.refuse("teams."+name+".weight", "must be above 0")
		}
		if team.RunningRequests < 0 {
			return c.refuse("teams."+name+".running_requests", "must not be below 0")
		}
	}
	return nil
}

func (c *checker) exceptions() error {
	for i, e := range c.document.Exceptions {
		field := fmt.Sprintf("exceptions.%d", i)
		if e.Reason == "" {
			return c.refuse(field+".reason", "an exception must carry a written reason")
		}
		if _, known := c.document.Pools[e.Pool]; !known {
			return c.refuse(field+".pool", "names no pool of this document")
		}
		if e.QueueRequests < 0 || e.TimeoutMillis < 0 {
			return c.refuse(field, "queue_requests and timeout_ms must not be below 0")
		}
		if e.AvailableShare < 0 || e.AvailableShare > 1 {
			return c.refuse(field+".available_share", "must be a share between 0 and 1")
		}
	}
	return nil
}
