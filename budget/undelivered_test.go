package budget_test

import (
	"testing"
	"time"

	"github.com/gaplink/gaplink/budget"
)

// Guards against draws that multiply while the owner of a budget accepts none: each failed
// draw made the router send draws again for all waiting requests, so that 28,000 were in
// transit within 2 s at a router whose link was saturated.
func TestUndeliveredDrawsDoNotMultiply(t *testing.T) {
	const (
		waiting    = 40
		failsAfter = 200 * time.Millisecond // until a draw has failed
		step       = 10 * time.Millisecond
		span       = 2 * time.Second
	)
	for name, to := range map[string]func(now time.Time) string{
		"one home":        func(time.Time) string { return "x" },
		"homes that turn": func(now time.Time) string { return []string{"x", "y", "z"}[now.UnixMilli()/300%3] },
	} {
		t.Run(name, func(t *testing.T) {
			now := epoch.Add(time.Hour)
			cfg := budget.DefaultConfig()
			cfg.Self = budget.Peer{ID: "self", Incarnation: "self/1"}
			cfg.Started = epoch
			cfg.Owner = func(now time.Time, _ string) string { return to(now) }
			agent := budget.NewAgent(cfg)
			type sentDraw struct {
				message budget.Message
				fails   time.Time
			}
			var inTransit []sentDraw
			sent, most := 0, 0
			perform := func(effects []budget.Effect) {
				for _, e := range effects {
					if s, ok := e.(budget.Send); ok {
						sent++
						inTransit = append(inTransit, sentDraw{s.Message, now.Add(failsAfter)})
					}
				}
				most = max(most, len(inTransit))
			}
			for _, id := range []string{"x", "y", "z"} { // tokens are scarce: one draw per request
				agent.Receive(now, budget.Message{Kind: budget.Grant, Budget: "b", From: budget.Peer{ID: id, Incarnation: id + "/1"}, To: cfg.Self, Scarce: true})
			}
			for range waiting {
				_, _, effects := agent.Reserve(now, "b", 10)
				perform(effects)
			}
			for end := now.Add(span); now.Before(end) && sent < 20_000; now = now.Add(step) {
				for len(inTransit) > 0 && !inTransit[0].fails.After(now) {
					failed := inTransit[0].message
					inTransit = inTransit[1:]
					perform(agent.Undelivered(now, failed, true))
				}
				perform(agent.Tick(now))
			}
			// One draw per waiting request for each owner, and one per failure after that.
			if maxSent := 3*waiting + int(span/failsAfter)*waiting; sent > maxSent {
				t.Errorf("%d draws in %v, at most %d", sent, span, maxSent)
			}
			if most > 3*waiting {
				t.Errorf("%d draws in transit at once for %d waiting requests", most, waiting)
			}
			if sent < int(span/failsAfter)/2 {
				t.Errorf("%d draws: the router has given up", sent)
			}
		})
	}
}

// Guards against a router that does not immediately ask an owner that runs as a new process,
// or that keeps holding draws back once the owner accepts them.
func TestRestartedOwnerIsAskedAtOnce(t *testing.T) {
	now := epoch.Add(time.Hour)
	cfg := budget.DefaultConfig()
	cfg.Self = budget.Peer{ID: "self", Incarnation: "self/1"}
	cfg.Started = epoch
	cfg.Owner = func(time.Time, string) string { return "x" }
	agent := budget.NewAgent(cfg)
	draws := func(effects []budget.Effect) (list []budget.Message) {
		for _, e := range effects {
			if s, ok := e.(budget.Send); ok && s.Message.Kind == budget.Draw {
				list = append(list, s.Message)
			}
		}
		return list
	}
	grant := func(m budget.Message, life string) {
		agent.Receive(now, budget.Message{
			Kind: budget.Grant, Budget: "b", From: budget.Peer{ID: "x", Incarnation: life}, To: cfg.Self,
			Token: m.Token, Total: 10, Delta: 10, Scarce: true,
		})
	}
	_, _, effects := agent.Reserve(now, "b", 10)
	first := draws(effects)
	if len(first) != 1 {
		t.Fatalf("%d draws for a reservation", len(first))
	}
	grant(first[0], "x/1")
	_, _, effects = agent.Reserve(now, "b", 10)
	second := draws(effects)
	if len(second) != 1 || second[0].To.Incarnation != "x/1" {
		t.Fatalf("asked %+v", second)
	}
	third := draws(agent.Undelivered(now, second[0], true)) // it now runs as x/2
	if len(third) != 1 || third[0].To.Incarnation != "" {
		t.Fatalf("after the owner has restarted: asked %+v", third)
	}
	if again := draws(agent.Undelivered(now, third[0], true)); len(again) > 0 {
		t.Errorf("asked again at once: %+v", again)
	}
	now = now.Add(100 * time.Millisecond)
	fourth := draws(agent.Tick(now))
	if len(fourth) != 1 {
		t.Fatalf("asked %+v after a pause", fourth)
	}
	grant(fourth[0], "x/2")
	for range 2 {
		if _, _, effects = agent.Reserve(now, "b", 10); len(draws(effects)) != 1 {
			t.Error("a draw waits although the owner answers")
		}
	}
}
