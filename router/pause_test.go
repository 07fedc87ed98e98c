package router

import (
	"context"
	"testing"
	"time"
)

// TestPausedUntilConfirmed: after a gap between ticks the router takes no work
// until its configuration is confirmed, also when it is asked before the first
// tick after the pause.
func TestPausedUntilConfirmed(t *testing.T) {
	confirmed := false
	p := newPauseWatch(func(context.Context) bool { return confirmed })
	now := time.Now()
	p.tick(context.Background(), now)
	if p.paused(now) {
		t.Fatal("paused without a pause")
	}
	woken := now.Add(time.Minute)
	if !p.paused(woken) {
		t.Fatal("takes work right after a pause, before the first tick")
	}
	p.tick(context.Background(), woken)
	if !p.paused(woken) {
		t.Fatal("takes work before the configuration is confirmed")
	}
	confirmed = true
	p.tick(context.Background(), woken.Add(pauseTick))
	if p.paused(woken.Add(pauseTick)) {
		t.Fatal("still paused after the confirmation")
	}
}
