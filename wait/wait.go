// Package wait holds the one way in which gaplink's processes pause.
package wait

import (
	"context"
	"time"
)

// For waits for d, or until the context ends, whose error it then returns; a
// caller that goes on by the context itself need not look at it. It
// does not wait for a time of 0 or less.
func For(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
