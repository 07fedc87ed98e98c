package tables_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/controller/members"
	"github.com/gaplink/gaplink/controller/tables"
	"github.com/gaplink/gaplink/membership"
	"github.com/gaplink/gaplink/store/memory"
)

// lister returns a fixed list of instances.
type lister []membership.Member

func (l lister) Instances(context.Context) ([]membership.Member, error) { return l, nil }

func router(id string) membership.Member {
	return membership.Member{ID: id, Kind: "router", Addr: id, State: membership.Live}
}

// TestRoutersThatDoNotAnswerShareLimits guards against account limits of the fleet of which each router takes a larger
// part because it is cut off from the others.
func TestRoutersThatDoNotAnswerShareLimits(t *testing.T) {
	m := members.New(router("a"), lister{router("a"), router("b"), router("c"), router("d")}, time.Hour, zap.NewNop())
	c := tables.New(memory.New(), m, nil, zap.NewNop(), tables.Options{})
	m.Refresh(t.Context())
	for _, id := range []string{"b", "c", "d"} {
		m.ReportFailure(id, errors.New("no answer"))
	}
	if n := c.Routers(); n != 4 {
		t.Errorf("limits divided by %d routers, 4 are listed", n)
	}
}

// Guards against a starting router that takes the limits of the fleet for its own alone, because it has not read the list of
// routers yet.
func TestRouterIsNotReadyBeforeItKnowsTheOthers(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	m := members.New(router("a"), lister{router("a"), router("b")}, time.Hour, zap.NewNop())
	c := tables.New(memory.New(), m, nil, zap.NewNop(), tables.Options{})
	go c.Run(ctx)
	time.Sleep(200 * time.Millisecond) // the configuration is read
	if c.Ready() {
		t.Errorf("ready with limits divided by %d routers", c.Routers())
	}
	m.Refresh(ctx)
	for begun := time.Now(); !c.Ready(); time.Sleep(time.Millisecond) {
		if time.Since(begun) > 5*time.Second {
			t.Fatal("not ready")
		}
	}
	if n := c.Routers(); n != 2 {
		t.Errorf("limits divided by %d routers", n)
	}
}
