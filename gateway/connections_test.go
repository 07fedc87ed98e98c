package gateway

import (
	"testing"

	"github.com/gaplink/gaplink/catalog"
)

// TestConnectionsBeforeTheFleetIsKnown guards against a router that has just started, takes itself for the only
// one, and may open nearly all connections that each server takes from the whole fleet.
func TestConnectionsBeforeTheFleetIsKnown(t *testing.T) {
	for _, c := range []struct{ routers, want int }{{0, 9}, {1, 90}, {6, 15}, {87, 9}} {
		g := &Gateway{Options: Options{Routers: func() int { return c.routers }}}
		a := &attempt{call: &call{g: g, service: &catalog.Service{Name: "s", MaxConnections: 100}}}
		if got := a.connectionLimit(); got != c.want {
			t.Errorf("%d routers known: %d connections, want %d", c.routers, got, c.want)
		}
	}
}
