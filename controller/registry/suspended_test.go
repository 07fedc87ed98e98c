package registry_test

import (
	"testing"
	"time"

	"github.com/gaplink/gaplink/controller/registry"
	"github.com/gaplink/gaplink/lab/clocktest"
	"github.com/gaplink/gaplink/store"
)

// Guards against a grace period that does not advance while the machine is suspended: a
// deregistered server is removed on resume if the suspension outlasted the period.
func TestDeregisteredServerIsRemovedOnResume(t *testing.T) {
	machine := clocktest.New(t)
	run(t, func(c *registry.Controller) {
		c.Listed([]store.Object{entry("a", 1, false), entry("b", 2, false)}, newest)
		time.Sleep(time.Second)
		c.Changed([]store.Object{gone("a")})
		machine.Suspend(5 * time.Second)
		time.Sleep(300 * time.Millisecond)
		if count(c) != 1 {
			t.Errorf("%d servers", count(c))
		}
	})
}
