package limiter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/gaplink/gaplink/limiter"
	"github.com/gaplink/gaplink/placement"
)

var brittleServer = placement.Incarnation{ID: "s1"}

// lendAll asks for slots until one is denied, and returns the number lent.
func lendAll(l *limiter.SlotLedger, now time.Time, slots int, to ...limiter.Borrower) (lent int) {
	for ; ; lent++ {
		if ok, _ := l.Lend(now, brittleServer, to[lent%len(to)], slots, now); !ok {
			return lent
		}
	}
}

// Guards against more requests at a brittle server than it has slots.
func TestSlotsAreLentOnce(t *testing.T) {
	now, a, b := time.Unix(1000, 0), limiter.Borrower{Router: "a"}, limiter.Borrower{Router: "b"}
	l := limiter.NewSlotLedger()
	if first := lendAll(l, now, 8, a, b); first != 1 {
		t.Errorf("%d slots lent at once by an owner that knows no requests", first)
	}
	now = now.Add(2 * time.Second)
	if rest := lendAll(l, now, 8, a, b); rest != 7 {
		t.Errorf("%d of 7 slots lent after 2 s", rest)
	}
	now = now.Add(10 * time.Second)
	if more := lendAll(l, now, 8, a); more != 0 {
		t.Errorf("%d slots lent twice", more)
	}
	l.Return(now, brittleServer, b, false, 4)
	l.Return(now, brittleServer, limiter.Borrower{Router: "c"}, false, 4)
	if again := lendAll(l, now, 8, a); again != 1 {
		t.Errorf("%d slots lent after the return of one", again)
	}
	now = now.Add(time.Minute + time.Second)
	if late := lendAll(l, now, 8, a); late != 8 {
		t.Errorf("%d of 8 slots lent after loans that were not returned", late)
	}
}

// Guards against an owner that goes on lending what the server rejects, and against one that never lends it
// again.
func TestRejectedLoansLowerTheLimit(t *testing.T) {
	now, a := time.Unix(1000, 0), limiter.Borrower{Router: "a"}
	l := limiter.NewSlotLedger()
	lendAll(l, now, 8, a)
	now = now.Add(2 * time.Second)
	lendAll(l, now, 8, a)
	for range 3 {
		l.Return(now, brittleServer, a, true, 4)
	}
	rejected := 0
	for range 2 { // seconds
		for range 10 {
			now = now.Add(100 * time.Millisecond)
			for range lendAll(l, now, 8, a) {
				rejected++
				l.Return(now, brittleServer, a, true, 4)
			}
		}
	}
	if rejected < 2 || rejected > 4 {
		t.Errorf("%d more requests rejected in 2 s; the server bears 4 in one", rejected)
	}
	if lent := lendAll(l, now.Add(5*time.Second), 8, a); lent != 3 {
		t.Errorf("%d of 3 slots lent after rejections ended", lent)
	}
}

// Guards against slots that stay with routers that are gone, and against routers that do not learn from a
// denial that servers are still brittle.
func TestSlotsOfEndedRoutersAreLentAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	gone, runs := limiter.Borrower{Router: "a", Process: "1"}, limiter.Borrower{Router: "a", Process: "2"}
	l := limiter.NewSlotLedger()
	lendAll(l, now, 3, gone)
	now = now.Add(2 * time.Second)
	lendAll(l, now, 3, gone)
	ok, said := l.Lend(now, brittleServer, runs, 3, now.Add(-time.Minute))
	if ok || !said.Equal(now) {
		t.Errorf("lent %v, said at %v", ok, said)
	}
	l.EndLoans(now, func(b limiter.Borrower) bool { return b == runs })
	if lent := lendAll(l, now, 3, runs); lent != 3 {
		t.Errorf("%d of 3 slots lent", lent)
	}
}

// Guards against parts and lent slots that are not all slots of a server together.
func TestSlotPartsAreAllSlots(t *testing.T) {
	for _, routers := range []int{1, 6, 87, 300, 984} {
		for _, slots := range []int{1, 6, 12, 64, 1000} {
			t.Run(fmt.Sprint(routers, slots), func(t *testing.T) {
				if part, lent := limiter.SlotParts(slots, routers); part*routers+lent != slots || lent < slots/2 {
					t.Errorf("%d for each router and %d lent", part, lent)
				}
			})
		}
	}
}
