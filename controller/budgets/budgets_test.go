package budgets_test

import (
	"context"
	"errors"
	"net"
	"runtime"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/budget"
	"github.com/gaplink/gaplink/controller/budgets"
	"github.com/gaplink/gaplink/lab/tcptest"
	"github.com/gaplink/gaplink/membership"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/result"
	"github.com/gaplink/gaplink/store/memory"
)

// saturatedMembers is the membership view of a router with a saturated link: it marks no router as
// failed after a failed call.
type saturatedMembers struct {
	budgets.Members
	addr string
}

func (saturatedMembers) Self() membership.Member         { return membership.Member{ID: "self"} }
func (saturatedMembers) First(time.Time, string) string  { return "home" }
func (o saturatedMembers) Addr(id string) (string, bool) { return o.addr, id == "home" }
func (saturatedMembers) ReportFailure(string, error)     {}
func (saturatedMembers) ReportSuccess(string)            {}
func (saturatedMembers) ReportRestart(string)            {}
func grant(m *budget.Message)                            { m.Kind, m.Scarce = budget.Grant, true }

// newController returns a controller and its client. The owner of all budgets is at addr.
func newController(addr string) (*budgets.Controller, *peer.Client) {
	client := peer.NewClient(peer.Options{DialTimeout: 200 * time.Millisecond})
	cfg := budget.DefaultConfig()
	cfg.Pages = 1
	cfg.Self = budget.Peer{ID: "self", Incarnation: "self/1"}
	return budgets.New(cfg, memory.New(), saturatedMembers{addr: addr}, client, zap.NewNop(), func() {}), client
}

// makeScarce informs a controller that the tokens of a budget are scarce, so that it asks the owner
// for the tokens of each request separately.
func makeScarce(t *testing.T, c *budgets.Controller) {
	t.Helper()
	m := budget.Message{Budget: "b", From: budget.Peer{ID: "home", Incarnation: "home/1"}, To: budget.Peer{ID: "self", Incarnation: "self/1"}}
	grant(&m)
	if err := c.Receive(m); err != nil {
		t.Fatal(err)
	}
}

// Guards against calls and goroutines that multiply while the owner of a budget accepts no
// messages.
func TestWaitingRequestsDoNotMultiplyCalls(t *testing.T) {
	const (
		waiting = 40
		within  = 1200 * time.Millisecond
	)
	silent := tcptest.Listen(t, func(c net.Conn, _ int) { time.Sleep(5 * time.Second) })
	refusing, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = refusing.Close() // keep only its address, where connections are refused
	for name, addr := range map[string]string{"silent": silent, "refusing": refusing.Addr().String()} {
		t.Run(name, func(t *testing.T) {
			c, client := newController(addr)
			defer func() { _ = client.Close() }()
			makeScarce(t, c)
			ctx, cancel := context.WithTimeout(t.Context(), within)
			defer cancel()
			go c.Run(ctx)
			before := runtime.NumGoroutine()
			var requests sync.WaitGroup
			for range waiting {
				requests.Go(func() {
					err := c.Reserve(ctx, "b", 10)
					var refused *result.Error
					if !errors.As(err, &refused) || refused.Code != result.BudgetUnreachable || refused.RetryAfter <= 0 {
						t.Errorf("got error %v, want BudgetUnreachable with a retry delay", err)
					}
				})
			}
			time.Sleep(within * 3 / 4)
			if n := runtime.NumGoroutine() - before; n > 8*waiting {
				t.Errorf("%d goroutines for %d waiting requests", n, waiting)
			}
			requests.Wait()
			if n := client.Calls(); n < 2 || n > 4*waiting {
				t.Errorf("%d calls for %d waiting requests", n, waiting)
			}
		})
	}
}

// Guards against treating the owner as unresponsive when only the link to it is slow: on a
// saturated link the timeout is longer.
func TestMessageTimeoutIsLongerOnASaturatedLink(t *testing.T) {
	const takes = 500 * time.Millisecond
	for name, c := range map[string]struct {
		saturated bool
		arrives   bool
	}{"idle link": {false, false}, "full link": {true, true}} {
		t.Run(name, func(t *testing.T) {
			arrived := make(chan budget.Message, 16)
			m := peer.NewMux()
			peer.Handle(m, peer.MethodBudget, func(ctx context.Context, req *peer.BudgetMessage) (*peer.Empty, error) {
				select {
				case <-time.After(takes):
					arrived <- req.Message
					return &peer.Empty{}, nil
				case <-ctx.Done():
					return nil, ctx.Err()
				}
			})
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			go func() { _ = peer.Serve(t.Context(), l, m) }()
			client := peer.NewClient(peer.Options{DialTimeout: time.Second, LinkSaturated: func() bool { return c.saturated }})
			defer func() { _ = client.Close() }()
			cfg := budget.DefaultConfig()
			cfg.Pages = 1
			cfg.Self = budget.Peer{ID: "self", Incarnation: "self/1"}
			controller := budgets.New(cfg, memory.New(), saturatedMembers{addr: l.Addr().String()}, client, zap.NewNop(), func() {})
			ctx, cancel := context.WithTimeout(t.Context(), 2*takes)
			defer cancel()
			go func() { _ = controller.Reserve(ctx, "b", 10) }()
			select {
			case q := <-arrived:
				if !c.arrives || q.Kind != budget.Draw || q.Need != 10 {
					t.Errorf("unexpected message %+v", q)
				}
			case <-ctx.Done():
				if c.arrives {
					t.Error("the message did not arrive before the timeout")
				}
			}
		})
	}
}

// restartRecorder records the instances reported as running a different process.
type restartRecorder struct {
	saturatedMembers
	reported chan string
}

func (r restartRecorder) ReportRestart(id string) { r.reported <- id }

// Guards against a router that keeps sending to a process that no longer runs. In a large fleet,
// a restart is not announced to all routers.
func TestRestartOfARouterIsReported(t *testing.T) {
	m := peer.NewMux()
	peer.Handle(m, peer.MethodBudget, func(context.Context, *peer.BudgetMessage) (*peer.Empty, error) {
		return nil, result.New(result.WrongIncarnation, "meant for an earlier process")
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = peer.Serve(t.Context(), l, m) }()
	client := peer.NewClient(peer.Options{DialTimeout: time.Second})
	defer func() { _ = client.Close() }()
	cfg := budget.DefaultConfig()
	cfg.Pages = 1
	cfg.Self = budget.Peer{ID: "self", Incarnation: "self/1"}
	members := restartRecorder{saturatedMembers{addr: l.Addr().String()}, make(chan string, 16)}
	c := budgets.New(cfg, memory.New(), members, client, zap.NewNop(), func() {})
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	go func() { _ = c.Reserve(ctx, "b", 10) }()
	select {
	case id := <-members.reported:
		if id != "home" {
			t.Errorf("restart reported for %s, want home", id)
		}
	case <-ctx.Done():
		t.Error("the restart was not reported")
	}
}
