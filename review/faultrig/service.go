package main

import (
	"net/http"

	"github.com/gaplink/gaplink/platform"
)

const healthPath = "/healthz"

// object is a JSON object of the operator or of a server.
type object = map[string]any

// startService serves a backend server with a number of slots, and registers it with a configuration that routes all orders to it.
func (r *rig) startService(h http.Handler, slots int) error {
	addr, err := serve(h)
	if err != nil {
		return err
	}
	err = r.store.RegisterServer("app", "i-1", addr, "v1", slots, false)
	if err != nil {
		return err
	}
	return r.store.Put(platform.ConfigKey, object{
		"version": 7,
		"routes": []object{{
			"name": "r-1", "hostname": "a.example", "pathPrefix": "/orders/", "type": "unsafe", "timeoutMs": 30000, "sloMs": 300,
			"priority": 0, "backend": "app", "attempts": 1, "public": false,
		}},
		"backends": []object{{"name": "app", "healthCheck": healthPath, "maxConnections": 480, "protocol": "h1", "tls": false}},
		"limits":   object{"maxHeaderBytes": 16384, "maxBodyBytes": maxBodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []object{{"name": "t-1", "apiKeys": []string{"k"}, "priority": 1}},
	})
}

// maxBodyBytes is the operator's limit on the body of a request, as in the example of the users' pages.
const maxBodyBytes = 4 << 20
