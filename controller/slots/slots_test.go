package slots_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/controller/slots"
	"github.com/gaplink/gaplink/limiter"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/placement"
)

var server = placement.Incarnation{ID: "s1"}

// fleet has one owner, which answers calls with its own controller unless err is set.
type fleet struct {
	owner    string
	lender   *slots.Controller
	err      error
	answer   *peer.LendAnswer
	running  string
	calls    int
	returned chan *peer.ReturnRequest
}

func (f *fleet) Owner(string) (string, bool) { return f.owner, f.owner != "" }
func (f *fleet) Size() int                   { return 10 }
func (f *fleet) Runs(_, process string) bool { return f.running == "" || process == f.running }
func (f *fleet) Return(_ context.Context, _ string, req *peer.ReturnRequest) error {
	f.returned <- req
	_, err := f.lender.OnReturn(context.Background(), req)
	return err
}

func (f *fleet) Lend(ctx context.Context, _ string, req *peer.LendRequest) (*peer.LendAnswer, error) {
	f.calls++
	if f.err != nil || f.answer != nil {
		return f.answer, f.err
	}
	return f.lender.OnLend(ctx, req)
}

func controllerOf(self string, f *fleet, discovered bool) *slots.Controller {
	return slots.New(slots.Options{Self: self, Process: self + "/1", Fleet: f, FleetDiscovered: func() bool { return discovered }, Log: zap.NewNop()})
}

func need() placement.SlotLoan { return placement.SlotLoan{Slots: 1, Rejections: 4, Said: clock.Now()} }

// Guards against a slot that is lent to two routers, or not lent again after its return.
func TestSlotGoesToOneRouterAtATime(t *testing.T) {
	f := &fleet{owner: "o", returned: make(chan *peer.ReturnRequest, 1)}
	f.lender = controllerOf("o", f, true)
	a, b := controllerOf("a", f, true), controllerOf("b", f, true)
	loan, _ := a.Borrow(t.Context(), server, need())
	if loan == nil {
		t.Fatal("no slot lent")
	}
	second, denial := b.Borrow(t.Context(), server, need())
	if second != nil || !denial.Until.After(clock.Now()) || clock.Since(denial.Said) > time.Second {
		t.Errorf("%v, %+v", second, denial)
	}
	loan.Return(true)
	if req := <-f.returned; !req.Rejected || req.Borrower.Router != "a" || req.Borrower.Process != "a/1" {
		t.Errorf("%+v", req)
	}
	time.Sleep(700 * time.Millisecond) // after the rejection the owner lends none for half a second
	if again, denial := b.Borrow(t.Context(), server, need()); again == nil {
		t.Errorf("denied after the return: %+v", denial)
	}
}

// Guards against servers that count as brittle for ever, or are never asked for again, because a router with a
// wrong clock says so.
func TestTimesOfOtherRoutersAreBounded(t *testing.T) {
	f := &fleet{owner: "o", answer: &peer.LendAnswer{Wait: time.Hour, SaidAgo: -time.Hour}}
	_, denial := controllerOf("a", f, true).Borrow(t.Context(), server, need())
	if now := clock.Now(); denial.Said.After(now) || denial.Until.Sub(now) > 15*time.Second {
		t.Errorf("%+v at %v", denial, now)
	}
	o := controllerOf("o", f, true)
	for range 2 {
		answer, err := o.OnLend(t.Context(), &peer.LendRequest{Server: server, Borrower: limiter.Borrower{Router: "a"}, Slots: 1, SaidAgo: -time.Hour})
		if err != nil || answer.SaidAgo < 0 {
			t.Errorf("%+v, %v", answer, err)
		}
	}
}

// Guards against requests that all wait for an owner that does not answer.
func TestOwnerThatDoesNotAnswerIsNotAskedAgain(t *testing.T) {
	f := &fleet{owner: "o", err: errors.New("no answer")}
	a := controllerOf("a", f, true)
	for range 5 {
		if loan, denial := a.Borrow(t.Context(), server, need()); loan != nil || denial.Until.IsZero() {
			t.Errorf("%v, %+v", loan, denial)
		}
	}
	if counts := a.Counts(); f.calls != 1 || counts.Unanswered != 1 || counts.Denied != 4 {
		t.Errorf("%d calls, %+v", f.calls, counts)
	}
}

// Guards against slots lost with a router that was restarted.
func TestSlotOfARestartedRouterIsLentAgain(t *testing.T) {
	f := &fleet{owner: "o"}
	f.lender = controllerOf("o", f, true)
	if loan, _ := controllerOf("a", f, true).Borrow(t.Context(), server, need()); loan == nil {
		t.Fatal("no slot lent")
	}
	f.running = "b/1"
	time.Sleep(1100 * time.Millisecond) // the owner looks for routers that are gone every second
	if loan, denial := controllerOf("b", f, true).Borrow(t.Context(), server, need()); loan == nil {
		t.Errorf("denied: %+v", denial)
	}
}

// Guards against a router that takes itself for the owner of all slots, or too large a part of them, because it
// does not know the others yet.
func TestStartingRouterLendsItselfNothing(t *testing.T) {
	f := &fleet{owner: "a"}
	for discovered, want := range map[bool]int{false: 0, true: 3} {
		if part, routers := controllerOf("a", f, discovered).Part(64); part != want || routers != 10 {
			t.Errorf("discovered %v: part %d of %d routers", discovered, part, routers)
		}
	}
	if loan, _ := controllerOf("a", f, false).Borrow(t.Context(), server, need()); loan != nil {
		t.Error("a slot was lent")
	}
	if loan, _ := controllerOf("a", f, true).Borrow(t.Context(), server, need()); loan == nil {
		t.Error("no slot was lent later")
	}
}

// Guards against brittle servers that get more requests than they have room for, because the owner of their slots was
// restarted and lends again what its earlier process has lent and routers still use.
func TestRestartedOwnerLendsNoSlotThatIsInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const all = 12 // all are lent: no router's part of them holds one
		f := &fleet{owner: "o"}
		a, b := controllerOf("a", f, true), controllerOf("b", f, true)
		borrow := func(c *slots.Controller, n int) (got int) {
			for range n {
				if loan, _ := c.Borrow(t.Context(), server, placement.SlotLoan{Slots: all, Rejections: 4, Said: clock.Now()}); loan != nil {
					got++
				}
				time.Sleep(200 * time.Millisecond)
			}
			return got
		}
		f.lender = controllerOf("o", f, true)
		inUse := borrow(a, 3*all)
		if inUse != all {
			t.Fatalf("%d of %d slots lent", inUse, all)
		}
		f.lender = controllerOf("o", f, true) // a new process
		if again := borrow(b, 3*all); inUse+again > all {
			t.Errorf("%d of %d slots in use", inUse+again, all)
		}
	})
}
