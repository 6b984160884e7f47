package main

// The routes of the stand-in deployment, all of host desk.example.
const (
	pathOrder  = "/order/"
	pathStock  = "/stock/"
	pathAdvice = "/advice/"
)

// manifest returns a manifest with a plain service and, if wanted, a service of engines.
func manifest(version int, engines bool) map[string]any {
	routes := []map[string]any{
		{"name": "r-order", "host": "desk.example", "prefix": pathOrder, "route_type": "non_idempotent", "timeout_ms": 1500, "target_latency_ms": 150, "priority": 2, "service": "desk", "max_attempts": 1, "public": false, "session_affinity": false, "stream_resume": false, "gap_aim_ms": 0},
		{"name": "r-stock", "host": "desk.example", "prefix": pathStock, "route_type": "idempotent", "timeout_ms": 1500, "target_latency_ms": 150, "priority": 2, "service": "desk", "max_attempts": 2, "public": false, "session_affinity": false, "stream_resume": false, "gap_aim_ms": 0},
	}
	services := []map[string]any{{"name": "desk", "health_path": "/health", "max_connections": 96, "protocol": "h1", "tls": false}}
	if engines {
		routes = append(routes, map[string]any{"name": "r-advice", "host": "desk.example", "prefix": pathAdvice, "route_type": "streaming", "timeout_ms": 25000, "target_latency_ms": 4500, "priority": 1, "service": "advisors", "max_attempts": 5, "public": false, "session_affinity": true, "stream_resume": true, "gap_aim_ms": 700})
		services = append(services, map[string]any{"name": "advisors", "health_path": "/health", "max_connections": 610, "protocol": "h1", "tls": false, "engine": map[string]any{
			"slots": 128, "kv_cache_tokens": 55000, "kv_bytes": 131072, "link_mbps": 550000.0, "moves": false, "backups": false, "stride": 5, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 4.0, "models": []map[string]any{{"name": "m"}},
		}})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "tenant-one", "api_keys": []string{apiKey}, "priority": 1}},
	}
}
