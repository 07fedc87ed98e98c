package gateway

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/gaplink/gaplink/catalog"
	"github.com/gaplink/gaplink/retry"
)

// retriesOf returns a budget of the given number of retries.
func retriesOf(n float64) *retry.Budgets {
	const usedShare = 0.8
	return retry.NewBudgets(time.Time{}, func() retry.Limits { return retry.Limits{Slack: n / usedShare, Routers: 1} })
}

// watchedAttempt starts the watchdog of a stream attempt with a retry budget of burst, and
// returns the attempt's context, which the watchdog cancels.
func watchedAttempt(t *testing.T, burst float64) (context.Context, *watchdog) {
	t.Helper()
	return watchedAttemptOf(t, &Gateway{Options: Options{Retries: retriesOf(burst)}})
}

func watchedAttemptOf(t *testing.T, g *Gateway) (context.Context, *watchdog) {
	t.Helper()
	a := &attempt{call: &call{
		g:       g,
		route:   &catalog.Route{Kind: catalog.Stream, Resume: true, LatencyObjective: 5 * time.Millisecond},
		service: &catalog.Service{Name: "llm"},
		retries: g.Retries.Begin(time.Now(), "llm"),
	}}
	a.retries.Sent()
	a.retries.Answered(time.Now(), retry.Path{}, time.Now())
	ctx, cancel := context.WithCancelCause(context.Background())
	t.Cleanup(func() { cancel(nil) })
	return ctx, a.startWatchdog(cancel)
}

// Covers servers that slow down together and exhaust the router's retry budget. Streams that
// pause beyond their timeout must then continue, since they cannot be retried; in a scenario
// run one was cut midway while its server was still working.
func TestStreamIsNotCutWithoutRetryBudget(t *testing.T) {
	ctx, wd := watchedAttempt(t, 0)
	defer wd.stop()
	time.Sleep(100 * time.Millisecond)
	if ctx.Err() != nil {
		t.Fatalf("cut with no retry left: %v", context.Cause(ctx))
	}
}

// TestStalledStreamsAreCancelledOnlyWithinTheRetryBudget: of streams that stall together, as
// many are cancelled as there are retries.
func TestStalledStreamsAreCancelledOnlyWithinTheRetryBudget(t *testing.T) {
	g := &Gateway{Options: Options{Retries: retriesOf(2)}}
	var contexts []context.Context
	for range 6 {
		ctx, wd := watchedAttemptOf(t, g)
		defer wd.stop()
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

func TestSilentStreamIsCancelledForRetry(t *testing.T) {
	ctx, wd := watchedAttempt(t, 5)
	defer wd.stop()
	select {
	case <-ctx.Done():
	case <-time.After(5 * time.Second):
		t.Fatal("the attempt at a silent server was not cancelled")
	}
	if !errors.Is(context.Cause(ctx), errTooSlow) {
		t.Fatalf("cancelled for another cause: %v", context.Cause(ctx))
	}
}

// The relay may still be forwarding an event when the watchdog has cancelled the attempt. A
// cancelled attempt is replaced by a single one, so only one retry is reserved.
func TestWatchdogTakesOneRetryForOneAttempt(t *testing.T) {
	taken := make(chan struct{}, 10)
	wd := &watchdog{
		pauseTimeout: 10 * time.Millisecond,
		reserveRetry: func() bool { taken <- struct{}{}; return true },
		cancel:       func(error) {},
	}
	wd.timer = time.AfterFunc(0, wd.onTimeout)
	defer wd.stop()
	<-taken
	wd.recordProgress()
	time.Sleep(100 * time.Millisecond)
	if n := len(taken); n > 0 {
		t.Errorf("%d further retries reserved", n)
	}
}

// A stream that no other server can continue is not cancelled, however long its server pauses:
// the caller can get only what that server still sends.
func TestUnresumableStreamIsNotCancelled(t *testing.T) {
	budgets := retriesOf(10)
	a := &attempt{call: &call{
		g:       &Gateway{Options: Options{Retries: budgets}},
		route:   &catalog.Route{Kind: catalog.Stream, Resume: true},
		service: &catalog.Service{Name: "llm"},
		retries: budgets.Begin(time.Now(), "llm"),
	}}
	a.stream.notResumable.Store(true)
	if a.reserveRetry() {
		t.Error("a retry was reserved for a stream that cannot be resumed")
	}
	a.stream.notResumable.Store(false)
	if !a.reserveRetry() {
		t.Error("no retry was reserved for a resumable stream")
	}
}
