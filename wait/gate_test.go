package wait_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gaplink/gaplink/wait"
)

// Guards against callers that are held back by an open gate, for longer than its timeout, or beyond their context.
func TestGate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var g wait.Gate
		waited := func(ctx context.Context) time.Duration {
			begun := time.Now()
			g.Wait(ctx)
			return time.Since(begun)
		}
		if took := waited(t.Context()); took != 0 {
			t.Errorf("held back for %s before the gate was closed", took)
		}
		open := g.Close(time.Minute)
		time.AfterFunc(time.Second, open)
		if took := waited(t.Context()); took != time.Second {
			t.Errorf("held back for %s by a gate that opened after 1s", took)
		}
		if open(); waited(t.Context()) != 0 {
			t.Error("held back by a gate that was opened twice")
		}
		g.Close(time.Minute)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if took := waited(ctx); took != time.Second {
			t.Errorf("held back for %s with a context of 1s", took)
		}
		if took := waited(t.Context()); took != time.Minute-time.Second {
			t.Errorf("held back for %s until the timeout", took)
		}
	})
}
