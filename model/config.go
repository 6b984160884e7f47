package model

import (
	"slices"
	"time"
)

// Revision numbers an accepted configuration; it only grows.
type Revision uint64

// ServiceKind tells model engines from plain services.
type ServiceKind string

// The kinds of service.
const (
	ServiceEngine ServiceKind = "engine"
	ServicePlain  ServiceKind = "plain"
)

// ShareWhole is the sum of the shares of a service's versions. One unit is a
// hundredth of a percent of the traffic.
const ShareWhole = 10_000

// VersionShare is the part of a service's traffic that a version receives.
type VersionShare struct {
	Version Version `json:"version" yaml:"version"`
	Share   int     `json:"share" yaml:"share"`
}

// Service describes one service that callers address.
type Service struct {
	Name ServiceName `json:"name" yaml:"name"`
	Kind ServiceKind `json:"kind" yaml:"kind"`
	// Shares lists the versions in use; the shares add up to ShareWhole.
	Shares []VersionShare `json:"shares" yaml:"shares"`
	// DefaultDeadline applies to requests that carry no deadline of their own.
	DefaultDeadline time.Duration `json:"default_deadline" yaml:"default_deadline"`
	// RepeatableMethods lists the HTTP methods of a plain service that are idempotent.
	RepeatableMethods []string `json:"repeatable_methods,omitempty" yaml:"repeatable_methods,omitempty"`
	// ChecksFencing says that the backend servers refuse orders with an old fencing number.
	ChecksFencing bool `json:"checks_fencing,omitempty" yaml:"checks_fencing,omitempty"`
	// ResumeEager starts the next attempt at the first sign of silence, which
	// lowers resume latency and costs extra prefill.
	ResumeEager bool `json:"resume_eager,omitempty" yaml:"resume_eager,omitempty"`
}

// Repeatable reports whether a call with this method may run more than once.
func (s Service) Repeatable(method string) bool {
	return slices.Contains(s.RepeatableMethods, method)
}

// HasVersion reports whether the service has the version in use.
func (s Service) HasVersion(version Version) bool {
	return slices.ContainsFunc(s.Shares, func(share VersionShare) bool { return share.Version == version })
}

// Organisation is a customer whose requests share one fair queue weight.
type Organisation struct {
	ID     OrganisationID `json:"id" yaml:"id"`
	Weight int            `json:"weight" yaml:"weight"`
	// KeySHA256 lists the hex SHA-256 digests of the organisation's API keys.
	KeySHA256 []string `json:"key_sha256" yaml:"key_sha256"`
	// MaxOpen limits the requests to one service that are open at once on all entry
	// hosts, as far as their usage is known; 0 means no limit.
	MaxOpen int `json:"max_open,omitempty" yaml:"max_open,omitempty"`
}

// Configuration is one immutable revision of everything that operators set.
// Tasks share pointers to it and never change it.
type Configuration struct {
	Revision      Revision
	Services      map[ServiceName]Service
	Organisations map[OrganisationID]Organisation
	Moves         map[MoveID]Move
	// Keys finds organisations by the digest of an API key. Without it,
	// OrganisationByKey looks at each organisation.
	Keys *KeyIndex
}

// MoveState is the state of a version move.
type MoveState string

// The states of a version move.
const (
	MoveRunning   MoveState = "running"
	MoveDone      MoveState = "done"
	MoveWithdrawn MoveState = "withdrawn"
)

// Move takes the traffic of a service from one version to another by a deadline.
type Move struct {
	ID       MoveID      `json:"id" yaml:"id"`
	Service  ServiceName `json:"service" yaml:"service"`
	From     Version     `json:"from" yaml:"from"`
	To       Version     `json:"to" yaml:"to"`
	Started  time.Time   `json:"started" yaml:"started"`
	Deadline time.Time   `json:"deadline" yaml:"deadline"`
	State    MoveState   `json:"state" yaml:"state"`
	// Stage is the index of the current stage of the move's plan.
	Stage int `json:"stage" yaml:"stage"`
	// Reason says why the move ended.
	Reason string `json:"reason,omitempty" yaml:"reason,omitempty"`
	// Evidence holds the outcomes of the new version when the move ended.
	Evidence []RouteEvidence `json:"evidence,omitempty" yaml:"evidence,omitempty"`
}

// RouteEvidence counts the finished attempts of a version on one route.
type RouteEvidence struct {
	Route  string `json:"route" yaml:"route"`
	OK     int    `json:"ok" yaml:"ok"`
	Failed int    `json:"failed" yaml:"failed"`
	Slow   int    `json:"slow" yaml:"slow"`
}

// RunningMove returns the running move of a service; of several, which the
// commit path refuses, the one that started first.
func (c *Configuration) RunningMove(service ServiceName) (Move, bool) {
	var first Move
	found := false
	for _, move := range c.Moves {
		if move.Service != service || move.State != MoveRunning {
			continue
		}
		if !found || move.Started.Before(first.Started) || (move.Started.Equal(first.Started) && move.ID < first.ID) {
			first, found = move, true
		}
	}
	return first, found
}

// OrganisationByKey returns the organisation with an API key of this hex
// SHA-256 digest.
func (c *Configuration) OrganisationByKey(digest string) (Organisation, bool) {
	if c.Keys != nil {
		id, found := c.Keys.Find(digest)
		return c.Organisations[id], found
	}
	for _, organisation := range c.Organisations {
		if slices.Contains(organisation.KeySHA256, digest) {
			return organisation, true
		}
	}
	return Organisation{}, false
}
