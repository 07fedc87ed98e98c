package router

import (
	"context"
	"testing"
	"time"
)

// TestPausedUntilConfirmed checks that after a gap between ticks the router refuses
// requests until its configuration is confirmed, including requests that arrive before
// the first tick after the pause.
func TestPausedUntilConfirmed(t *testing.T) {
	confirmed := false
	p := newPauseDetector(func(context.Context) bool { return confirmed })
	now := time.Now()
	p.tick(context.Background(), now)
	if p.paused(now) {
		t.Fatal("reported as paused without a gap between ticks")
	}
	resumedAt := now.Add(time.Minute)
	if !p.paused(resumedAt) {
		t.Fatal("accepts requests after a pause, before the first tick")
	}
	p.tick(context.Background(), resumedAt)
	if !p.paused(resumedAt) {
		t.Fatal("accepts requests before the configuration is confirmed")
	}
	confirmed = true
	p.tick(context.Background(), resumedAt.Add(pauseCheckInterval))
	if p.paused(resumedAt.Add(pauseCheckInterval)) {
		t.Fatal("still paused after the configuration was confirmed")
	}
}
