package budget_test

import (
	"testing"
	"time"

	"github.com/gaplink/gaplink/budget"
)

// Guards against questions that multiply while the home of a budget takes none: each that failed
// made the router ask anew for all waiting requests, so that 28,000 were under way in 2 s at a
// router whose link was full.
func TestUndeliveredQuestionsDoNotMultiply(t *testing.T) {
	const (
		waiting = 40
		takes   = 200 * time.Millisecond // a question, until it has failed
		step    = 10 * time.Millisecond
		span    = 2 * time.Second
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
			cfg.Home = func(now time.Time, _ string) string { return to(now) }
			agent := budget.NewAgent(cfg)
			type question struct {
				message budget.Message
				fails   time.Time
			}
			var out []question
			asked, most := 0, 0
			carry := func(effects []budget.Effect) {
				for _, e := range effects {
					if s, ok := e.(budget.Send); ok {
						asked++
						out = append(out, question{s.Message, now.Add(takes)})
					}
				}
				most = max(most, len(out))
			}
			for _, id := range []string{"x", "y", "z"} { // tokens are scarce: each request is asked for by itself
				agent.Receive(now, budget.Message{Kind: budget.Grant, Budget: "b", From: budget.Peer{ID: id, Incarnation: id + "/1"}, To: cfg.Self, Scarce: true})
			}
			for range waiting {
				_, _, effects := agent.Reserve(now, "b", 10)
				carry(effects)
			}
			for end := now.Add(span); now.Before(end) && asked < 20_000; now = now.Add(step) {
				for len(out) > 0 && !out[0].fails.After(now) {
					failed := out[0].message
					out = out[1:]
					carry(agent.Undelivered(now, failed, true))
				}
				carry(agent.Tick(now))
			}
			// A question a waiting request for each home, and one a failure after that.
			if budget := 3*waiting + int(span/takes)*waiting; asked > budget {
				t.Errorf("%d questions in %v, at most %d", asked, span, budget)
			}
			if most > 3*waiting {
				t.Errorf("%d questions under way at once for %d waiting requests", most, waiting)
			}
			if asked < int(span/takes)/2 {
				t.Errorf("%d questions: the router has given up", asked)
			}
		})
	}
}

// Guards against a router that does not ask again at once where the home is another process than
// before, or goes on to hold questions back once the home takes them.
func TestRestartedHomeIsAskedAtOnce(t *testing.T) {
	now := epoch.Add(time.Hour)
	cfg := budget.DefaultConfig()
	cfg.Self = budget.Peer{ID: "self", Incarnation: "self/1"}
	cfg.Started = epoch
	cfg.Home = func(time.Time, string) string { return "x" }
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
		t.Fatalf("%d questions for a reservation", len(first))
	}
	grant(first[0], "x/1")
	_, _, effects = agent.Reserve(now, "b", 10)
	second := draws(effects)
	if len(second) != 1 || second[0].To.Incarnation != "x/1" {
		t.Fatalf("asked %+v", second)
	}
	third := draws(agent.Undelivered(now, second[0], true)) // it runs as x/2
	if len(third) != 1 || third[0].To.Incarnation != "" {
		t.Fatalf("after the home has restarted: asked %+v", third)
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
			t.Error("a question waits although the home answers")
		}
	}
}
