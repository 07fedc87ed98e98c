package budget_test

import (
	"slices"
	"testing"
	"time"

	"github.com/gaplink/gaplink/budget"
)

// redirectingOwners are routers that each name another one as the owner of a budget.
type redirectingOwners struct {
	now      time.Time
	agent    *budget.Agent
	skipped  map[string]bool // skipped owners, until another answer is received from them
	ranked   []string
	draws    int
	resolved []budget.Resolve
}

func newRedirectingOwners() *redirectingOwners {
	h := &redirectingOwners{now: epoch.Add(time.Hour), skipped: map[string]bool{}, ranked: []string{"x", "y", "z"}}
	cfg := budget.DefaultConfig()
	cfg.Self = budget.Peer{ID: "self", Incarnation: "self/1"}
	cfg.Started = epoch
	cfg.Owner = func(time.Time, string) string { return h.owner() }
	cfg.Running = func(id string) budget.Peer { return budget.Peer{ID: id, Incarnation: id + "/1"} }
	h.agent = budget.NewAgent(cfg)
	return h
}

// owner returns the first router that is not skipped, or the first if all are.
func (h *redirectingOwners) owner() string {
	for _, id := range h.ranked {
		if !h.skipped[id] {
			return id
		}
	}
	return h.ranked[0]
}

// perform carries out effects: each router that is asked answers that another one is the
// owner.
func (h *redirectingOwners) perform(t *testing.T, effects []budget.Effect) {
	t.Helper()
	for len(effects) > 0 && h.draws < 1000 {
		e := effects[0]
		effects = effects[1:]
		switch e := e.(type) {
		case budget.Suspect:
			h.skipped[e.ID] = true
		case budget.AskSuccessor:
			effects = slices.Concat(effects, h.agent.AskSuccessor(h.now, e.Budget))
		case budget.Resolve:
			h.resolved = append(h.resolved, e)
		case budget.Send:
			if e.Message.Kind != budget.Draw {
				continue
			}
			h.draws++
			clear(h.skipped) // the answers of other calls show that all are reachable
			h.now = h.now.Add(time.Millisecond)
			effects = slices.Concat(effects, h.agent.Receive(h.now, budget.Message{
				Kind: budget.Grant, From: budget.Peer{ID: e.Message.To.ID, Incarnation: e.Message.To.ID + "/1"}, To: budget.Peer{ID: "self", Incarnation: "self/1"},
				Budget: "b", Token: e.Message.Token, Refused: budget.Moved,
			}))
		}
	}
}

// TestOwnersThatRedirectAreAskedOnce guards against an endless redirect loop. The store is
// unavailable to all routers, each router that could be the owner of a budget answers that
// another one is, and other calls show that all of them are reachable. On a simulated day
// one router was skipped forty times in a tenth of a second by one other, and 20,000 times in
// twelve seconds by the fleet; the callers waited meanwhile, and small routers that became
// owners this way caused write conflicts on the page.
func TestOwnersThatRedirectAreAskedOnce(t *testing.T) {
	h := newRedirectingOwners()
	_, granted, effects := h.agent.Reserve(h.now, "b", 10)
	if granted {
		t.Fatal("granted without tokens")
	}
	h.perform(t, effects)
	if h.draws > 2*len(h.ranked) {
		t.Errorf("%d draws to %d routers", h.draws, len(h.ranked))
	}
	if len(h.resolved) != 1 || h.resolved[0].OK || h.resolved[0].Cause != budget.Unreachable {
		t.Errorf("the reservation ended with %+v, want unreachable at once", h.resolved)
	}
	asked := h.draws
	h.now = h.now.Add(time.Second)
	_, _, effects = h.agent.Reserve(h.now, "b", 10)
	h.perform(t, effects)
	if h.draws == asked {
		t.Error("nobody is asked a second later")
	}
}
