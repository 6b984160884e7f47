package soak

import (
	"fmt"
	"math/rand/v2"
)

// The services of the soak. Routes move between the two services of a kind.
const (
	serviceEngine      = "engine"
	serviceOtherEngine = "engine-b"
	serviceShop        = "shop"
	serviceOtherShop   = "shop-b"
	// The name of the odd service, which only the extra route uses, has characters that
	// are special in JSON and in the labels of metrics.
	serviceOdd = `odd "b" {x="\"}`
)

// servicesByKind lists the services that may run the requests of a kind.
var servicesByKind = map[requestKind][]string{
	kindStream: {serviceEngine, serviceOtherEngine},
	kindOrder:  {serviceShop, serviceOtherShop},
	kindCheck:  {serviceShop, serviceOtherShop},
	kindExtra:  {serviceShop, serviceOtherShop, serviceOdd},
}

const (
	// minTimeoutMS is the shortest time-out of the routes that are always there.
	minTimeoutMS = 4000
	maxTimeoutMS = 6000
	// memberKey is in every version of the configuration, guestKey in some.
	memberKey = "key"
	guestKey  = "guest-key"
)

// routeState is what changes of a route.
type routeState struct {
	split       map[string]any
	timeoutMS   int
	objectiveMS int
	priority    int
}

// configuration is the operator's configuration, which the soak changes step by step.
// All versions allow the routes and the key of ordinary callers.
type configuration struct {
	random  *rand.Rand
	version int
	routes  map[requestKind]*routeState
	// extra is the route that is not in all versions, or nil.
	extra map[string]any
	// guests reports whether the key of guests is valid.
	guests bool
	// oddNames reports whether versions may name the odd service.
	oddNames     bool
	maxBodyBytes int
	idleMS       int
}

func newConfiguration(random *rand.Rand, oddNames bool) *configuration {
	c := &configuration{random: random, oddNames: oddNames, routes: map[requestKind]*routeState{}, maxBodyBytes: 100000, idleMS: 60000}
	for _, kind := range []requestKind{kindStream, kindOrder, kindCheck} {
		c.routes[kind] = &routeState{split: map[string]any{"service": servicesByKind[kind][0]}, timeoutMS: maxTimeoutMS, objectiveMS: 1000}
	}
	return c
}

// change makes one random change.
func (c *configuration) change() {
	kind := requestKind(c.random.IntN(3))
	route := c.routes[kind]
	switch c.random.IntN(10) {
	case 0, 1:
		route.split = map[string]any{"service": servicesByKind[kind][c.random.IntN(2)]}
	case 2, 3:
		route.split = c.randomSplit(kind)
	case 4:
		route.timeoutMS = minTimeoutMS + c.random.IntN(maxTimeoutMS-minTimeoutMS)
		route.objectiveMS = 800 + c.random.IntN(1000)
	case 5:
		c.guests = !c.guests
	case 6:
		c.maxBodyBytes, c.idleMS = 50000+c.random.IntN(1<<20), 30000+c.random.IntN(30000)
	case 7:
		route.priority = c.random.IntN(6)
	case 8:
		c.extra = c.randomExtraRoute()
	default:
		c.extra = nil
	}
}

// randomSplit returns weights that do not sum to 1. One service may get nothing.
func (c *configuration) randomSplit(kind requestKind) map[string]any {
	weights := [][2]float64{{0.5, 0.5}, {0.99, 0.01}, {3, 1}, {0, 1}, {1, 0}, {1e-9, 1e-9}, {1e12, 1}}[c.random.IntN(7)]
	names := servicesByKind[kind]
	return map[string]any{"traffic_split": []any{
		map[string]any{"service": names[0], "weight": weights[0]}, map[string]any{"service": names[1], "weight": weights[1]},
	}}
}

// randomExtraRoute returns a route that other versions do not have. Its values may be
// odd, which must not disturb the other routes.
func (c *configuration) randomExtraRoute() map[string]any {
	route := map[string]any{"name": "extra", "host": "site.example", "prefix": "/extra/", "route_type": "idempotent", "timeout_ms": 5000,
		"target_latency_ms": 1000, "service": serviceShop, "max_attempts": 2}
	odd := []map[string]any{
		{}, {},
		{"service": "unknown"},
		{"service": ""},
		{"traffic_split": []any{map[string]any{"service": serviceShop, "weight": -1}, map[string]any{"service": "unknown", "weight": 0}}},
		{"traffic_split": []any{map[string]any{"service": serviceShop, "weight": 0}, map[string]any{"service": serviceOtherShop, "weight": 0}}},
		{"traffic_split": []any{map[string]any{"service": serviceShop, "weight": 1e308}, map[string]any{"service": serviceOtherShop, "weight": 1e308}}},
		{"timeout_ms": 0, "target_latency_ms": 0},
		{"timeout_ms": -5, "max_attempts": -1},
		{"timeout_ms": 1e300},
		{"route_type": "unknown", "name": "extra \"\n{}"},
		{"public": true},
	}
	if c.oddNames {
		odd = []map[string]any{{"service": serviceOdd}}
	}
	for field, value := range odd[c.random.IntN(len(odd))] {
		route[field] = value
	}
	return route
}

// document returns the next version in the operator's form. Versions increase in uneven
// steps.
func (c *configuration) document() map[string]any {
	c.version += 1 + c.random.IntN(4)
	routes := []any{
		c.routeDocument(kindStream, "advice", "/advice/", "streaming", 5),
		c.routeDocument(kindOrder, "order", "/order/", "non_idempotent", 1),
		c.routeDocument(kindCheck, "stock", "/stock/", "idempotent", 2),
	}
	if c.extra != nil {
		routes = append(routes, c.extra)
	}
	c.random.Shuffle(len(routes), func(i, j int) { routes[i], routes[j] = routes[j], routes[i] })
	engine := map[string]any{"backups": true, "moves": true, "handle_s": 4}
	services := []any{
		map[string]any{"name": serviceEngine, "max_connections": 600, "engine": engine}, map[string]any{"name": serviceShop, "max_connections": 600},
		map[string]any{"name": serviceOtherEngine, "max_connections": 600, "engine": engine}, map[string]any{"name": serviceOtherShop, "max_connections": 600},
		map[string]any{"name": serviceOdd, "max_connections": 600},
	}
	organisations := []any{map[string]any{"name": "members", "api_keys": []string{memberKey}}}
	if c.guests {
		organisations = append(organisations, map[string]any{"name": "guests", "api_keys": []string{guestKey, fmt.Sprintf("unused-%d", c.version)}, "priority": 3})
	}
	return map[string]any{
		"version": c.version, "routes": routes, "services": services, "tenants": organisations,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": c.maxBodyBytes, "header_timeout_ms": 5000, "idle_timeout_ms": c.idleMS},
	}
}

func (c *configuration) routeDocument(kind requestKind, name, prefix, routeType string, attempts int) map[string]any {
	state := c.routes[kind]
	document := map[string]any{"name": name, "host": "site.example", "prefix": prefix, "route_type": routeType, "timeout_ms": state.timeoutMS,
		"target_latency_ms": state.objectiveMS, "gap_aim_ms": 700, "priority": state.priority, "max_attempts": attempts, "stream_resume": kind == kindStream}
	for field, value := range state.split {
		document[field] = value
	}
	return document
}

// organisationByKey maps the keys of callers to the names of their organisations.
var organisationByKey = map[string]string{memberKey: "members", guestKey: "guests"}

// oddRegistrations are rows of another writer among the registrations of servers. They
// name no server that can be used.
func oddRegistration(random *rand.Rand) []byte {
	nested := make([]byte, 0, 60000)
	for range 12000 {
		nested = append(nested, '[')
	}
	rows := [][]byte{
		nil, []byte("{"), []byte("\xff\xfe\x00"), []byte("null"), []byte("[]"), []byte(`"ready"`), nested,
		[]byte(`{"service":` + string(nested)),
		[]byte(`{"service":"engine","address":"127.0.0.1:99999","zone":"zone-0","state":"ready"}`),
		[]byte(`{"service":"engine","address":"127.0.0.1:-1","zone":"zone-0","state":"ready"}`),
		[]byte(`{"service":"shop","address":"127.0.0.1","zone":"zone-1","state":"ready"}`),
		[]byte(`{"service":"shop","address":17,"zone":["zone-1"],"state":"ready"}`),
		[]byte(`{"service":"engine","address":"127.0.0.1:9","zone":"zone-0","state":"resting"}`),
		[]byte(`{"service":"engine","address":"127.0.0.1:9","zone":"zone-0","state":"ready","born":1e400}`),
		[]byte(`{"service":"engine","address":"127.0.0.1:9","zone":"zone-0","state":"ready","slots":99999999999999999999999,"born":99999999999999999999999}`),
		[]byte(`{"service":"nobody","address":"127.0.0.1:9","zone":"zone-0","version":"v1","state":"ready","born":9223372036854775807}`),
	}
	return rows[random.IntN(len(rows))]
}
