package retryafter_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gaplink/gaplink/retryafter"
)

var busy = retryafter.Room{Cause: retryafter.Busy, Key: "svc"}

// waiter returns a request that arrived at start with an objective of a second and room predicted
// 200 ms later.
func waiter(rank int, change ...func(*retryafter.Waiter)) *retryafter.Waiter {
	w := &retryafter.Waiter{Room: busy, Rank: rank, Bytes: 1, Arrived: start, Objective: time.Second, At: start.Add(200 * time.Millisecond)}
	for _, c := range change {
		c(w)
	}
	return w
}

func hold(t *testing.T, q *retryafter.Queue, w *retryafter.Waiter) {
	t.Helper()
	if _, ok := q.Hold(start, w); !ok {
		t.Fatalf("%+v was not held", w)
	}
}

// Guards against requests that wait though they cannot be served within their objective, or without a
// limit.
func TestOnlyRequestsThatCanBeServedAreHeld(t *testing.T) {
	for name, change := range map[string]func(*retryafter.Waiter){
		"room too late":      func(w *retryafter.Waiter) { w.At = start.Add(600 * time.Millisecond) },
		"no objective":       func(w *retryafter.Waiter) { w.Objective = 0 },
		"waited too long":    func(w *retryafter.Waiter) { w.Arrived = start.Add(-300 * time.Millisecond); w.At = start },
		"more than the room": func(w *retryafter.Waiter) { w.Bytes = 5 << 20 },
	} {
		q := retryafter.NewQueue()
		if _, ok := q.Hold(start, waiter(0, change)); ok {
			t.Errorf("%s: held", name)
		}
		if _, ok := q.Hold(start, waiter(0)); !ok {
			t.Errorf("%s: another one was not held", name)
		}
	}
}

// Guards against room that goes to less urgent requests, or to those with more time left.
func TestRoomGoesToTheMostUrgent(t *testing.T) {
	q := retryafter.NewQueue()
	late := waiter(1, func(w *retryafter.Waiter) { w.Objective = 2 * time.Second })
	other := waiter(0, func(w *retryafter.Waiter) { w.Key = "other" })
	timed := waiter(0, func(w *retryafter.Waiter) { w.Timed = true })
	soon, urgent, last := waiter(1), waiter(0), waiter(2)
	for _, w := range []*retryafter.Waiter{late, other, timed, last, soon, urgent} {
		hold(t, q, w)
	}
	for _, want := range []*retryafter.Waiter{urgent, soon, late, last} {
		if got := q.Release(busy, 1); len(got) != 1 || got[0] != want {
			t.Fatalf("released %+v instead of %+v", got, want)
		}
	}
	if got := q.Release(busy, 1); len(got) != 0 || q.Len() != 2 {
		t.Errorf("released %+v", got)
	}
	if got := q.Due(start.Add(199 * time.Millisecond)); len(got) != 0 {
		t.Errorf("due early: %+v", got)
	}
	if got := q.Due(start.Add(200 * time.Millisecond)); len(got) != 1 || got[0] != timed {
		t.Errorf("due: %+v", got)
	}
}

// Guards against requests that wait on after the prediction has failed, and against others that are
// held by the same failed prediction.
func TestFailedPredictionEndsHolding(t *testing.T) {
	q := retryafter.NewQueue()
	w := waiter(0)
	hold(t, q, w)
	if got := q.Expired(start.Add(249 * time.Millisecond)); len(got) != 0 {
		t.Fatalf("dropped before the delay target: %+v", got)
	}
	now := start.Add(250 * time.Millisecond)
	if got := q.Expired(now); len(got) != 1 || got[0] != w {
		t.Fatalf("dropped %+v", got)
	}
	next := func() *retryafter.Waiter {
		return waiter(0, func(w *retryafter.Waiter) { w.Arrived, w.At = now, now.Add(100*time.Millisecond) })
	}
	if _, ok := q.Hold(now, next()); ok {
		t.Error("held after a failed prediction")
	}
	q.Release(busy, 1)
	if _, ok := q.Hold(now, next()); !ok {
		t.Error("not held after room was seen")
	}
}

// Guards against an urgent request that is refused because less urgent ones are held, and against
// state over its bounds.
func TestQueueIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := retryafter.NewQueue()
		held := map[*retryafter.Waiter]bool{}
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			w := waiter(rapid.IntRange(0, 3).Draw(t, "rank"), func(w *retryafter.Waiter) {
				w.Bytes = rapid.Int64Range(0, 1<<18).Draw(t, "bytes")
			})
			displaced, ok := q.Hold(start, w)
			if ok {
				held[w] = true
			}
			for _, d := range displaced {
				if !ok || d.Rank <= w.Rank || !held[d] {
					t.Fatalf("%+v displaced %+v, held %v", w, d, ok)
				}
				delete(held, d)
			}
			if q.Len() > 64 || q.Bytes() > 4<<20 || q.Len() != len(held) {
				t.Fatalf("%d held of %d, %d bytes", q.Len(), len(held), q.Bytes())
			}
		}
		if got := q.All(); len(got) != len(held) || q.Bytes() != 0 {
			t.Fatalf("%d of %d left, %d bytes", len(got), len(held), q.Bytes())
		}
	})
}

// Guards against timed room that goes to less urgent requests that came first, and against those held on
// though their time is now too late.
func TestTimedRoomGoesToTheMostUrgent(t *testing.T) {
	q := retryafter.NewQueue()
	var first *retryafter.Waiter
	for i, rank := range []int{2, 1, 1, 0} {
		w := waiter(rank, func(w *retryafter.Waiter) { w.Timed = true })
		w.At = start.Add(time.Duration(200+150*q.Ahead(w)) * time.Millisecond)
		displaced, ok := q.Hold(start, w)
		if i == 0 {
			first = w
		}
		if !ok || i < 3 && len(displaced) != 0 {
			t.Fatalf("request %d: held %v, displaced %+v", i, ok, displaced)
		}
		// The last one takes the first time, so that the first one's is after half of its objective.
		if i == 3 && (len(displaced) != 1 || displaced[0] != first) {
			t.Fatalf("displaced %+v", displaced)
		}
	}
	for i, rank := range []int{0, 1, 1} {
		at := start.Add(time.Duration(200+150*i) * time.Millisecond)
		if early := q.Due(at.Add(-time.Millisecond)); len(early) != 0 {
			t.Fatalf("due early: %+v", early)
		}
		if due := q.Due(at); len(due) != 1 || due[0].Rank != rank {
			t.Fatalf("due %+v instead of rank %d", due, rank)
		}
	}
}
