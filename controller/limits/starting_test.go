package limits_test

import (
	"context"
	"testing"
	"time"

	"github.com/gaplink/gaplink/controller/limits"
)

// Guards against a starting router that sends a server far more requests than the rate which the other routers know, because
// the first of them that it asks stand still and it takes what it has not heard for no limit.
func TestStartingRouterSendsNothingBeyondALimitThatOthersKnow(t *testing.T) {
	runVirtual(t, func(ctx context.Context) {
		const limit, sent = 8, 100
		w := newSimulation(ctx, 7, 6, 1)
		w.setLimit(limit)
		w.load(limit, 2*time.Second, 0)
		started := w.routers[5]
		started.crash()
		for _, r := range w.routers[:2] {
			r.pause(3 * time.Second)
		}
		started.restart()
		for range sent { // the server's answers, which name the limit, take longer
			time.Sleep(time.Second / sent)
			go func() {
				target := limits.Target{Server: server}
				if started.MayAdmit(time.Now(), target) {
					if p, ok := started.Admit(ctx, target); ok && started.Valid(time.Now(), target, p) {
						w.recordArrival(started.number, 0)
					}
				}
			}()
		}
		time.Sleep(500 * time.Millisecond)
		if n := len(w.arrivalsBetween(started.startedAt, time.Now())); n > 1.5*limit*1.5+5 {
			t.Errorf("%d requests in 1.5 s at %d a second", n, limit)
		}
	})
}
