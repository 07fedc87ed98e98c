package gateway

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/gaplink/gaplink/catalog"
	"github.com/gaplink/gaplink/retry"
)

// impatientAttempt returns an attempt at a stream of a service whose retries allow
// burst more, and its context, which the watchdog cancels.
func impatientAttempt(t *testing.T, burst float64) (context.Context, *watchdog) {
	t.Helper()
	return impatientAttemptAt(t, &Gateway{Parts: Parts{Retries: retry.NewBudgets(0, func() float64 { return burst })}})
}

func impatientAttemptAt(t *testing.T, g *Gateway) (context.Context, *watchdog) {
	t.Helper()
	a := &attempt{call: &call{
		g:       g,
		route:   &catalog.Route{Kind: catalog.Stream, Resume: true, Objective: 5 * time.Millisecond},
		service: &catalog.Service{Name: "llm"},
	}}
	ctx, cancel := context.WithCancelCause(context.Background())
	t.Cleanup(func() { cancel(nil) })
	return ctx, a.impatient(cancel)
}

// The pattern is servers that turn slow together, so that the fleet's retries are
// spent: streams that pause beyond their patience must go on then, since nothing
// can replace them. On a played day one was cut midway with its server at work.
func TestStreamIsNotCutWhenNothingCanReplaceIt(t *testing.T) {
	ctx, dog := impatientAttempt(t, 0)
	defer dog.stop()
	time.Sleep(100 * time.Millisecond)
	if ctx.Err() != nil {
		t.Fatalf("cut with no retry left: %v", context.Cause(ctx))
	}
}

// TestOnlyAsManyAreLeftAsCanGoOn: of streams that run out of patience together, as
// many end as there are retries.
func TestOnlyAsManyAreLeftAsCanGoOn(t *testing.T) {
	g := &Gateway{Parts: Parts{Retries: retry.NewBudgets(0, func() float64 { return 2 })}}
	var contexts []context.Context
	for range 6 {
		ctx, dog := impatientAttemptAt(t, g)
		defer dog.stop()
		contexts = append(contexts, ctx)
	}
	time.Sleep(200 * time.Millisecond)
	ended := 0
	for _, ctx := range contexts {
		if ctx.Err() != nil {
			ended++
		}
	}
	if ended != 2 {
		t.Fatalf("%d of 6 streams cut with two retries left", ended)
	}
}

func TestSilentStreamIsLeftForAnotherServer(t *testing.T) {
	ctx, dog := impatientAttempt(t, 5)
	defer dog.stop()
	select {
	case <-ctx.Done():
	case <-time.After(5 * time.Second):
		t.Fatal("a silent server is not left")
	}
	if !errors.Is(context.Cause(ctx), errTooSlow) {
		t.Fatalf("left for another cause: %v", context.Cause(ctx))
	}
}

// The relay may still be passing on an event when the watchdog has cancelled the
// attempt. One attempt takes the place of another, so only one retry is taken.
func TestWatchdogTakesOneRetryForOneAttempt(t *testing.T) {
	taken := make(chan struct{}, 10)
	dog := &watchdog{
		pause:     10 * time.Millisecond,
		takeRetry: func() bool { taken <- struct{}{}; return true },
		cancel:    func(error) {},
	}
	dog.timer = time.AfterFunc(0, dog.bark)
	defer dog.stop()
	<-taken
	dog.progressed()
	time.Sleep(100 * time.Millisecond)
	if n := len(taken); n > 0 {
		t.Errorf("%d further retries taken", n)
	}
}

// A stream that no other server can go on with is not left, however long its server
// pauses: what that server still sends is all that its caller can get.
func TestStreamThatCannotGoOnElsewhereIsNotLeft(t *testing.T) {
	a := &attempt{call: &call{
		g:       &Gateway{Parts: Parts{Retries: retry.NewBudgets(0, func() float64 { return 10 })}},
		route:   &catalog.Route{Kind: catalog.Stream, Resume: true},
		service: &catalog.Service{Name: "llm"},
	}}
	a.stream.stuck.Store(true)
	if a.takeRetry() {
		t.Error("a retry was taken for a stream that cannot go on")
	}
	a.stream.stuck.Store(false)
	if !a.takeRetry() {
		t.Error("no retry was taken for one that can")
	}
}
