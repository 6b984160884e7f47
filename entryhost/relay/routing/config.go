// Package routing holds the values that decide where a request may go: the
// configuration in force and the registered servers. It has no clock, socket,
// goroutine or log.
package routing

import (
	"net"
	"sort"
	"strings"
	"time"
)

// Kind says what may be repeated of a request.
type Kind int

// The kinds of route.
const (
	// NonIdempotent requests run at most once. It is the zero value, so a route
	// of unknown kind is never repeated.
	NonIdempotent Kind = iota
	// Idempotent requests may run any number of times.
	Idempotent
	// Streaming requests are answered by a stream of events.
	Streaming
)

// String names the kind in logs and metrics.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Streaming:
		return "streaming"
	default:
		return "non_idempotent"
	}
}

// Share is the weight of one service in a route's split.
type Share struct {
	Service string
	Weight  float64
}

// Route maps a host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request may wait for its final answer.
	Timeout time.Duration
	// LatencyObjective is the time within which an answer, or the first event
	// of a stream, is on time.
	LatencyObjective time.Duration
	// GapObjective is the longest pause between two events that is on time.
	GapObjective time.Duration
	// MaxAttempts is the number of servers that may run one request.
	MaxAttempts int
	// Priority ranks the route; 0 is the most urgent.
	Priority int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another server.
	Resumable bool
	Split     []Share
}

// Repeatable reports whether a request that may have run may run again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Service returns the service for a request; point is uniform in [0, 1).
func (r *Route) Service(point float64) string {
	var total float64
	for _, share := range r.Split {
		total += share.Weight
	}
	point *= total
	for _, share := range r.Split {
		if point < share.Weight {
			return share.Service
		}
		point -= share.Weight
	}
	if len(r.Split) == 0 {
		return ""
	}
	return r.Split[len(r.Split)-1].Service
}

// Engine describes the model engines of a service.
type Engine struct {
	// CacheBackup tells that an engine can copy a run's cache to another engine
	// while it grows.
	CacheBackup bool
	// CopyLifetime is how long a copy that was made on demand stays at another
	// engine; 0 if engines make none.
	CopyLifetime time.Duration
}

// Service is a group of interchangeable servers.
type Service struct {
	Name string
	// MaxConnections bounds the connections of all callers to one server.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
}

// Organisation is the owner of API keys.
type Organisation struct {
	Name string
	// Priority replaces that of the route if it is not nil.
	Priority *int
}

// Limits bound what a caller may send.
type Limits struct {
	MaxBodyBytes int64
}

// Config is one immutable version of the configuration.
type Config struct {
	Version       int64
	Limits        Limits
	Services      map[string]Service
	organisations map[string]Organisation
	open          bool
	routes        map[string][]Route
}

// NewConfig indexes the routes and keys. If keys is nil, no request needs one.
func NewConfig(version int64, limits Limits, routes []Route, services []Service, keys map[string]Organisation) *Config {
	config := &Config{
		Version: version, Limits: limits, organisations: keys, open: keys == nil,
		Services: make(map[string]Service, len(services)), routes: map[string][]Route{},
	}
	for _, service := range services {
		config.Services[service.Name] = service
	}
	for _, route := range routes {
		host := strings.ToLower(route.Host)
		config.routes[host] = append(config.routes[host], route)
	}
	for _, list := range config.routes {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	return config
}

// Match returns the route with the longest prefix of the path on the host.
func (c *Config) Match(host, path string) (*Route, bool) {
	host = strings.ToLower(host)
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	list := c.routes[host]
	for i := range list {
		if strings.HasPrefix(path, list[i].Prefix) {
			return &list[i], true
		}
	}
	return nil, false
}

// Organisation returns the holder of the key. A configuration without
// organisations accepts every caller.
func (c *Config) Organisation(key string) (Organisation, bool) {
	if c.open {
		return Organisation{}, true
	}
	organisation, found := c.organisations[key]
	return organisation, found
}
