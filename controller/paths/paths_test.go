package paths_test

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/controller/paths"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/reach"
)

// Guards against a router cut off from servers whose log shows nothing but servers that failed one by
// one.
func TestSilentServersAreLoggedOncePerGroup(t *testing.T) {
	core, lines := observer.New(zap.InfoLevel)
	c := paths.New(paths.Options{StoreAnswered: clock.Now, Log: zap.New(core)})
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
		c.Tick(clock.Now().Add(time.Second))
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
