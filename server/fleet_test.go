package server

import (
	"testing"

	"github.com/gaplink/gaplink/controller/roster"
	"github.com/gaplink/gaplink/settings"
)

// TestFleetIsUnknownAtTheStart guards against limits of the fleet that a router which has just started divides by the
// few routers that it knows then.
func TestFleetIsUnknownAtTheStart(t *testing.T) {
	s := newServerOf(t)
	defaults := settings.DefaultGateway()
	s.latest.Store(&defaults)
	s.roster = roster.New(roster.Options{Members: s.members})
	if n := s.knownRouters(); n != 0 {
		t.Errorf("%d routers known before the fleet is", n)
	}
	if n := s.retryLimits().Routers; n != 0 {
		t.Errorf("retries divided by %d routers before the fleet is known", n)
	}
}
