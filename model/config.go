package model

import (
	"slices"
	"time"
)

// Revision is the number of an accepted configuration. Revisions are consecutive
// and start at 1; 0 means no configuration.
type Revision uint64

// ServiceKind is the kind of a service.
type ServiceKind string

// The kinds of service: model engines, which serve generations, and plain services.
const (
	ServiceEngine ServiceKind = "engine"
	ServicePlain  ServiceKind = "plain"
)

// FullShare is the sum of the shares of a service's versions, that is all of its
// traffic. One unit of a share is 0.01% of the traffic.
const FullShare = 10_000

// VersionShare is the share of a service's traffic that a version receives, in
// units of 1/FullShare.
type VersionShare struct {
	Version Version `json:"version" yaml:"version"`
	Share   int     `json:"share" yaml:"share"`
}

// Service describes one service that callers address.
type Service struct {
	Name ServiceName `json:"name" yaml:"name"`
	Kind ServiceKind `json:"kind" yaml:"kind"`
	// Shares lists the versions in use; the shares add up to FullShare.
	Shares []VersionShare `json:"shares" yaml:"shares"`
	// DefaultDeadline applies to requests that carry no deadline of their own.
	DefaultDeadline time.Duration `json:"default_deadline" yaml:"default_deadline"`
	// RepeatableMethods lists the HTTP methods of a plain service that are idempotent.
	RepeatableMethods []string `json:"repeatable_methods,omitempty" yaml:"repeatable_methods,omitempty"`
	// ChecksFencing is true if the backend servers refuse orders with an old fencing
	// number.
	ChecksFencing bool `json:"checks_fencing,omitempty" yaml:"checks_fencing,omitempty"`
	// ResumeEager starts a second attempt at the first sign of silence of a server,
	// which lowers the resume latency at the cost of extra prefill.
	ResumeEager bool `json:"resume_eager,omitempty" yaml:"resume_eager,omitempty"`
}

// Repeatable reports whether a call with this method may run more than once.
func (s Service) Repeatable(method string) bool {
	return slices.Contains(s.RepeatableMethods, method)
}

// HasVersion reports whether the version is in use, whatever its share.
func (s Service) HasVersion(version Version) bool {
	return slices.ContainsFunc(s.Shares, func(share VersionShare) bool { return share.Version == version })
}

// Organisation is a customer. Its requests share one weight in the fair queue.
type Organisation struct {
	ID     OrganisationID `json:"id" yaml:"id"`
	Weight int            `json:"weight" yaml:"weight"`
	// KeySHA256 lists the hex SHA-256 digests of the organisation's API keys.
	KeySHA256 []string `json:"key_sha256" yaml:"key_sha256"`
	// MaxOpen limits the concurrent requests to one service over all entry hosts
	// whose usage is known; 0 means no limit.
	MaxOpen int `json:"max_open,omitempty" yaml:"max_open,omitempty"`
}

// Configuration is the state of all services, organisations and moves at one
// revision. Tasks share pointers to it and must not change it.
type Configuration struct {
	Revision      Revision
	Services      map[ServiceName]Service
	Organisations map[OrganisationID]Organisation
	Moves         map[MoveID]Move
	// Keys is the index of organisations by API key. If it is nil,
	// OrganisationByKey scans all organisations.
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

// Move is a version move: it shifts the traffic of a service in stages from one
// version to another by a deadline.
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
	// Reason is why the move ended; empty while it runs.
	Reason string `json:"reason,omitempty" yaml:"reason,omitempty"`
	// Evidence holds the outcome counts of the new version when the move ended.
	Evidence []RouteEvidence `json:"evidence,omitempty" yaml:"evidence,omitempty"`
}

// RouteEvidence counts the finished attempts of a version on one route.
type RouteEvidence struct {
	Route  string `json:"route" yaml:"route"`
	OK     int    `json:"ok" yaml:"ok"`
	Failed int    `json:"failed" yaml:"failed"`
	Slow   int    `json:"slow" yaml:"slow"`
}

// RunningMove returns the running move of a service. If there are several, which
// the validation of changes refuses, it returns the one that started first.
func (c *Configuration) RunningMove(service ServiceName) (Move, bool) {
	var earliest Move
	found := false
	for _, move := range c.Moves {
		if move.Service != service || move.State != MoveRunning {
			continue
		}
		if !found || move.Started.Before(earliest.Started) || (move.Started.Equal(earliest.Started) && move.ID < earliest.ID) {
			earliest, found = move, true
		}
	}
	return earliest, found
}

// OrganisationByKey returns the organisation that has an API key with this hex
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
