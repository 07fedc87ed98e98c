package main

import (
	"fmt"
	"net/http"

	"github.com/gaplink/gaplink/platform"
)

const healthPath = "/healthz"

// object is a JSON object of the operator or of a server.
type object = map[string]any

// startService serves the backend servers of a service, with a number of slots each, and registers them with a configuration
// that routes all orders to it. The id of a server is serverID of its number.
func (r *rig) startService(slots int, servers ...http.Handler) error {
	for n, h := range servers {
		addr, err := serve(h)
		if err != nil {
			return err
		}
		if err := r.store.RegisterServer("app", serverID(n), addr, "v1", slots, false); err != nil {
			return err
		}
	}
	return r.configure(7)
}

// configure stores a version of the configuration.
func (r *rig) configure(version int) error {
	return r.store.Put(platform.ConfigKey, object{
		"version": version,
		"routes": []object{{
			"name": "r-1", "hostname": "a.example", "pathPrefix": "/orders/", "type": "unsafe", "timeoutMs": r.timeoutMs, "sloMs": 300,
			"priority": 0, "backend": "app", "attempts": 1, "public": false,
		}},
		"backends": []object{{"name": "app", "healthCheck": healthPath, "maxConnections": 480, "protocol": "h1", "tls": false}},
		"limits":   object{"maxHeaderBytes": 16384, "maxBodyBytes": maxBodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []object{{"name": "t-1", "apiKeys": []string{"k"}, "priority": 1}},
	})
}

// maxBodyBytes is the operator's limit on the body of a request, as in the example of the users' pages.
const maxBodyBytes = 4 << 20

func serverID(n int) string { return fmt.Sprint("i-", n+1) }
