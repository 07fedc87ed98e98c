package loads_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/controller/loads"
)

// Guards against a router that knows no load for half a minute because a relay answered once, while it
// started, that it does not share loads.
func TestRelayThatStartsSharesSoonAfter(t *testing.T) {
	for _, routers := range []int{17, 61, 300} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				started := clock.Now()
				f := newFleet(ctx, routers, 8, 1, func(o *loads.Options) {
					switch o.Self {
					case routerID(0):
						o.Switch = func() bool { return false }
					case routerID(1):
						o.Large = func() bool { return clock.Since(started) > 1500*time.Millisecond }
					}
				})
				time.Sleep(5 * time.Second)
				unknown := 0
				for _, r := range f.routers[1:] {
					if r.Stats().Age < 0 {
						unknown++
					}
				}
				if unknown > 0 {
					t.Errorf("%d of %d routers know no load", unknown, routers-1)
				}
			})
		})
	}
}

// Guards against a router that is not called after an upgrade because its process before did not share
// loads.
func TestUpgradedRelayIsCalledSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFleet(ctx, 17, 8, 1, nil)
		for _, relay := range f.routers[:2] {
			f.set(f.old, relay, true)
		}
		time.Sleep(3 * time.Second)
		for _, relay := range f.routers[:2] {
			f.set(f.old, relay, false)
			for _, r := range f.routers {
				m, _ := r.members.Get(relay.id)
				m.Incarnation = relay.id + "/upgraded"
				r.members.AddOrUpdate(m)
			}
		}
		time.Sleep(5 * time.Second)
		for _, r := range f.routers {
			if r.Stats().Age < 0 {
				t.Errorf("%s knows no load", r.id)
			}
		}
	})
}
