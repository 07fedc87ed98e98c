package registry_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/gaplink/gaplink/controller/limits"
	"github.com/gaplink/gaplink/controller/registry"
	"github.com/gaplink/gaplink/placement"
)

// Guards against servers that get requests again although their responses announced that they are
// leaving, because their registrations lapse and return in an outage of the store.
func TestAnnouncedLeavingOutlastsAnOutage(t *testing.T) {
	run(t, func(c *registry.Controller) {
		restoreAfterOutage(c)
		c.AnnouncedLeaving(placement.Incarnation{ID: "s0"})
		for round := range 3 {
			c.Changed(deletions(0, serverCount))
			time.Sleep(time.Second)
			c.Changed(registered(serverCount, int64(100*(round+2))))
			time.Sleep(3 * time.Second)
			if count(c) != serverCount-1 || c.MaySend(placement.Server{ID: "s0"}, limits.Permit{}) {
				t.Fatalf("round %d: %d servers in use, one is leaving", round, count(c))
			}
		}
		if c.Departures() != 1 {
			t.Errorf("%d departures", c.Departures())
		}
	})
}

// Guards against an announcement in a response that arrives while the registration of its server
// is missing, or cannot be decoded.
func TestAnnouncedLeavingWithoutARegistration(t *testing.T) {
	run(t, func(c *registry.Controller) {
		c.Listed(registered(2, 1), newest)
		broken := entry("s0", 5, false)
		broken.Value = []byte("no registration")
		c.Changed(append(deletions(1, 1), broken))
		c.AnnouncedLeaving(placement.Incarnation{ID: "s0"})
		c.AnnouncedLeaving(placement.Incarnation{ID: "s1"})
		c.Changed(registered(2, 10))
		if count(c) != 0 {
			t.Errorf("%d servers in use, both are leaving", count(c))
		}
	})
}

// Guards against log lines for each renewal of the registration of a server that announced that it
// is leaving, and against operators who are not told that its registration says otherwise.
func TestContradictionOfResponseAndRegistrationIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, logged := newLogged()
		go c.Run(t.Context())
		c.Listed(registered(1, 1), newest)
		c.AnnouncedLeaving(placement.Incarnation{ID: "s0"})
		for version := range int64(90) {
			c.AnnouncedLeaving(placement.Incarnation{ID: "s0"})
			c.Changed(registered(1, version+2))
			time.Sleep(time.Second)
		}
		contradictions := logged.FilterMessage("server announced that it is leaving, but its registration says that it is ready; it gets no requests").Len()
		if registrations := logged.FilterMessage("server registered").Len(); contradictions < 1 || contradictions > 4 || registrations != 1 {
			t.Errorf("%d lines about the contradiction, %d about the registration", contradictions, registrations)
		}
		if n := logged.FilterMessage("server announced that it is leaving").Len(); n != 1 {
			t.Errorf("%d lines about the announcement", n)
		}
	})
}
