// Package routing holds the values that decide where a request may go: the
// configuration in force and the registered servers. It uses no clock, socket,
// goroutine or log.
package routing

import (
	"net"
	"sort"
	"strings"
	"time"
)

// Kind is the repeatability class of a route's requests.
type Kind int

// The kinds of route.
const (
	// NonIdempotent requests run at most once. It is the zero value, so a route
	// of unknown kind is never repeated.
	NonIdempotent Kind = iota
	// Idempotent requests may run any number of times with the same effect.
	Idempotent
	// Streaming requests are answered by a stream of events.
	Streaming
)

// String returns the kind's name in logs and metrics.
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

// Share is the weight of one service in a route's traffic split. Weights are
// relative and need no particular sum.
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
	// Timeout is the longest time from arrival to the final answer.
	Timeout time.Duration
	// LatencyObjective is the time within which an answer, or the first event of
	// a stream, counts as on time.
	LatencyObjective time.Duration
	// GapObjective is the longest gap between two events of a stream that counts
	// as on time.
	GapObjective time.Duration
	// MaxAttempts is the largest number of servers that may run one request.
	MaxAttempts int
	// Priority is the route's priority; 0 is the most urgent.
	Priority int
	// Public routes require no API key.
	Public bool
	// Resumable streams may continue on another server.
	Resumable bool
	Split     []Share
}

// Repeatable reports whether a request that may have run may be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// serverWaitShare is the part of the latency objective for which a request waits for a
// server; a refusal after an eighth of the objective counts as late.
const serverWaitShare = 0.12

// ServerWait returns how long a request that was sent to no server may wait for one.
func (r *Route) ServerWait() time.Duration {
	return time.Duration(serverWaitShare * float64(r.LatencyObjective))
}

// Service returns the service for a request by the weights of the split, or ""
// without a split. Point is uniform in [0, 1).
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
	// CacheBackup is set if an engine can continuously copy the cache of a run
	// to another engine.
	CacheBackup bool
	// CopyLifetime is how long an engine keeps a copy that was made on request;
	// 0 if engines do not make such copies.
	CopyLifetime time.Duration
}

// Service is a group of interchangeable servers.
type Service struct {
	Name string
	// MaxConnections limits the connections of all callers to one server; 0
	// means no limit.
	MaxConnections int
	// HealthPath is the path of the servers' health check, or "".
	HealthPath string
	// Engine is nil for plain services.
	Engine *Engine
	// Ranks are the ranks of the service's streams; NewConfig sets them.
	Ranks Ranks
}

// Organisation is the owner of API keys.
type Organisation struct {
	Name string
	// Priority overrides the priority of the route if it is not nil.
	Priority *int
}

// Rank returns the urgency of a request of the organisation on the route; 0 is the most
// urgent.
func (o Organisation) Rank(route *Route) int {
	if o.Priority != nil {
		return *o.Priority
	}
	return route.Priority
}

// Limits restrict what a caller may send.
type Limits struct {
	MaxBodyBytes int64
}

// Config is one immutable version of the configuration.
type Config struct {
	Version       int64
	Limits        Limits
	Services      map[string]Service
	organisations map[string]Organisation
	keyless       bool
	routes        map[string][]Route
}

// NewConfig indexes the routes by host and the organisations by API key. If keys
// is nil, no request needs a key.
func NewConfig(version int64, limits Limits, routes []Route, services []Service, keys map[string]Organisation) *Config {
	config := &Config{
		Version: version, Limits: limits, organisations: keys, keyless: keys == nil,
		Services: make(map[string]Service, len(services)), routes: map[string][]Route{},
	}
	ranks := ranksOf(routes, keys, config.keyless)
	for _, service := range services {
		service.Ranks = ranks[service.Name]
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

// Match returns the route of the host with the longest prefix of the path. The
// host may include a port and is not case-sensitive.
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

// Organisation returns the owner of the API key. If the configuration has no
// keys, it accepts every caller.
func (c *Config) Organisation(key string) (Organisation, bool) {
	if c.keyless {
		return Organisation{}, true
	}
	organisation, found := c.organisations[key]
	return organisation, found
}

// OrganisationNamed returns the organisation with the name.
func (c *Config) OrganisationNamed(name string) (Organisation, bool) {
	for _, organisation := range c.organisations {
		if organisation.Name == name {
			return organisation, true
		}
	}
	return Organisation{}, false
}
