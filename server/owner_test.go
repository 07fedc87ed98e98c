package server

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/controller/members"
	"github.com/gaplink/gaplink/controller/roster"
	"github.com/gaplink/gaplink/membership"
)

// newServerOf returns a server that knows a router with a larger link.
func newServerOf(t *testing.T) *Server {
	t.Helper()
	s := &Server{log: zap.NewNop()}
	s.settings.Instance.ID = "self"
	s.members = members.New(membership.Member{ID: "self", Kind: "router", State: membership.Live, LinkMbps: 10}, nil, 0, zap.NewNop())
	s.members.AddOrUpdate(membership.Member{ID: "large", Kind: "router", Addr: "127.0.0.1:1", State: membership.Live, LinkMbps: 100, Incarnation: "large/1"})
	return s
}

// Guards against a router that takes itself for the one that draws for all while it only cannot
// reach those ranked before it.
func TestSuspectedRouterStaysFirstInRank(t *testing.T) {
	s := newServerOf(t)
	s.members.ReportFailure("large", nil)
	if !s.members.Suspected(clock.Now(), "large") {
		t.Fatal("not suspected")
	}
	if s.firstInRank(time.Now(), "b") {
		t.Error("first in rank while the router before it is only suspected")
	}
}

// Guards against loans asked from processes that have ended or cannot be reached, which would use up
// the number of routers that may be asked.
func TestHolderMayStillRun(t *testing.T) {
	s := newServerOf(t)
	if p, ok := s.holder("large/1"); !ok || p.ID != "large" {
		t.Errorf("a running holder is %+v, %t", p, ok)
	}
	for _, gone := range []string{"large/0", "other/1", "large", ""} {
		if _, ok := s.holder(gone); ok {
			t.Errorf("holder %q may run", gone)
		}
	}
	s.members.ReportFailure("large", nil)
	if _, ok := s.holder("large/1"); ok {
		t.Error("a suspected holder is asked")
	}
}

// Guards against a switch that leaves some of the decisions about budgets on.
func TestSwitchTurnsBudgetDecisionsOff(t *testing.T) {
	s := newServerOf(t)
	cfg := s.budgetConfig()
	if cfg.SharedOwner != nil || cfg.FirstInRank != nil || cfg.Holder != nil || cfg.ByRank {
		t.Error("decisions are on without the switch")
	}
	s.settings.Load.Budgets = true
	cfg = s.budgetConfig()
	if cfg.SharedOwner == nil || cfg.FirstInRank == nil || cfg.Holder == nil || !cfg.ByRank {
		t.Error("decisions are off with the switch")
	}
}

// Guards against a router that takes a large fleet for a small one, in which it draws for itself as much
// as it likes, because it suspects all others.
func TestSuspectedRoutersMakeALargeFleet(t *testing.T) {
	s := newServerOf(t)
	for i := range 2 * roster.Large {
		id := fmt.Sprint("router ", i)
		s.members.AddOrUpdate(membership.Member{ID: id, Kind: "router", Addr: fmt.Sprint("127.0.0.1:", i+2), State: membership.Live})
		s.members.ReportFailure(id, nil)
	}
	if !s.manyRegistered() {
		t.Error("a fleet of which all other routers are suspected counts as small")
	}
}
