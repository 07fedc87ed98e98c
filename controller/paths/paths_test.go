package paths_test

import (
	"context"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/controller/paths"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/reach"
)

// noServers are no registered servers.
type noServers struct{}

func (noServers) OfGroup(reach.Group, placement.Incarnation, int) []placement.Server { return nil }
func (noServers) RestoreGroup(reach.Group)                                           {}

// noFleet is a fleet without other routers.
type noFleet struct{}

func (noFleet) Others(reach.Group) []string { return nil }
func (noFleet) Reach(context.Context, string, reach.Group) (bool, []string, error) {
	return false, nil, nil
}
func (noFleet) Open(context.Context, string, placement.Server) (net.Conn, int, error) {
	return nil, 0, nil
}

// Guards against a router cut off from servers whose log shows nothing but servers that failed one by
// one.
func TestSilentServersAreLoggedOncePerGroup(t *testing.T) {
	core, lines := observer.New(zap.InfoLevel)
	c := paths.New(paths.Options{Servers: noServers{}, Fleet: noFleet{}, StoreAnswered: clock.Now, Log: zap.New(core)})
	cut, fine := reach.Group{Service: "m", Domain: "a"}, reach.Group{Service: "m", Domain: "b"}
	for _, g := range []reach.Group{cut, fine} {
		c.Sent(g)
		c.Responded(g)
		c.Ended(g)
	}
	began := clock.Now()
	c.ConnectFailed(began, cut, placement.Incarnation{ID: "s1"})
	c.ConnectFailed(began, fine, placement.Incarnation{ID: "s2"})
	c.Connected(fine)
	for range 3 {
		c.Tick(t.Context(), clock.Now().Add(time.Second))
	}
	all := lines.FilterMessage("servers do not respond to this router").All()
	if len(all) != 1 {
		t.Fatalf("%d lines: %v", len(all), all)
	}
	fields := all[0].ContextMap()
	if fields["service"] != "m" || fields["domain"] != "a" || fields["not_connected"] != int64(1) {
		t.Errorf("the line says %v", fields)
	}
}
