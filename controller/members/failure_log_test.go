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

// Guards against a flood of log lines about a flapping router: one that failed and answered
// alternately, many times within a millisecond, caused 11,000 lines in 18 s across a fleet.
func TestFlappingRouterWritesFewLogLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, lines := observer.New(zap.InfoLevel)
		c := members.New(member("r0"), nil, 0, zap.New(core))
		c.AddOrUpdate(member("r1"))
		for range 10000 {
			c.ReportFailure("r1", errors.New("no answer"))
			c.ReportSuccess("r1")
			time.Sleep(time.Millisecond)
		}
		if n := lines.Len(); n == 0 || n > 6 {
			t.Errorf("%d lines in ten seconds", n)
		}
		if left := lines.All()[1].ContextMap()["left_out"]; left == int64(0) {
			t.Error("no line reports how many were suppressed")
		}
	})
}
