package main

import (
	"encoding/json"
	"fmt"
)

// route is a route of the operator's configuration. Its host name is h.example and its
// prefix /NAME/.
type route struct {
	name, kind, service string
	timeoutMs, aimMs    int
	attempts, priority  int
}

// configuration returns a configuration as the operator writes it, with the limits of the
// sites.
func configuration(version int, routes []route) []byte {
	var rows, services []map[string]any
	seen := map[string]bool{}
	for _, r := range routes {
		rows = append(rows, map[string]any{
			"name": "r-" + r.name, "host": "h.example", "path-prefix": "/" + r.name + "/", wire.RouteType: r.kind, "timeout-ms": r.timeoutMs,
			"target-latency-ms": r.aimMs, "priority": r.priority, "service": r.service, "max-attempts": r.attempts,
		})
		if !seen[r.service] {
			seen[r.service] = true
			services = append(services, map[string]any{"name": r.service, "health-path": "/health", "max-connections": 110, "protocol": "h1", "tls": false})
		}
	}
	value, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("%08x", version), "routes": rows, "services": services, "base-version": fmt.Sprintf("%08x", version-2),
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 64 << 20, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	check(err)
	return value
}
