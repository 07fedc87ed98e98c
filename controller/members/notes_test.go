package members_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/gaplink/gaplink/controller/members"
)

// TestRouterThatComesAndGoesWritesFewLines: one that fails and answers by turns, many times
// within a millisecond, once wrote 11,000 lines in 18 s over a fleet.
func TestRouterThatComesAndGoesWritesFewLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, lines := observer.New(zap.InfoLevel)
		c := members.New(member("r0"), nil, 0, zap.New(core))
		c.Met(member("r1"))
		for range 10000 {
			c.Failed("r1", errors.New("no answer"))
			c.Reached("r1")
			time.Sleep(time.Millisecond)
		}
		if n := lines.Len(); n == 0 || n > 6 {
			t.Errorf("%d lines in ten seconds", n)
		}
		if left := lines.All()[1].ContextMap()["left_out"]; left == int64(0) {
			t.Error("no line tells how many were left out")
		}
	})
}
