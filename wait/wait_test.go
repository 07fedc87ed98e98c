package wait_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gaplink/gaplink/wait"
)

func TestFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		if err := wait.For(t.Context(), time.Minute); err != nil || time.Since(begun) != time.Minute {
			t.Fatalf("waited %s: %v", time.Since(begun), err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		begun = time.Now()
		if err := wait.For(ctx, time.Minute); !errors.Is(err, context.DeadlineExceeded) || time.Since(begun) != time.Second {
			t.Fatalf("waited %s: %v", time.Since(begun), err)
		}
		if err := wait.For(ctx, 0); err != nil {
			t.Fatalf("no wait: %v", err)
		}
	})
}
