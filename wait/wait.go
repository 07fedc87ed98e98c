// Package wait provides a sleep that ends with its context, and a gate that holds callers back.
package wait

import (
	"context"
	"time"
)

// For waits for d or until ctx is done, and returns the context's error in the latter case.
// Callers that check ctx themselves may ignore the error. If d is 0 or less, For returns nil
// at once.
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
