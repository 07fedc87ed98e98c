package members_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/controller/members"
	"github.com/gaplink/gaplink/lab/clocktest"
	"github.com/gaplink/gaplink/membership"
)

func member(id string) membership.Member {
	return membership.Member{ID: id, Kind: "router", Addr: id, State: membership.Live}
}

// Guards against a suspicion that outlasts a suspension of the machine, during which the
// monotonic clock hardly advances: the router must be usable again on resume.
func TestSuspicionEndsDuringSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		machine := clocktest.New(t)
		c := members.New(member("r0"), nil, 0, zap.NewNop())
		c.AddOrUpdate(member("r1"))
		c.ReportFailure("r1", errors.New("no answer"))
		if c.Live() != 1 {
			t.Fatalf("%d routers while one does not answer", c.Live())
		}
		machine.Suspend(time.Hour)
		if c.Live() != 2 {
			t.Errorf("%d routers an hour later", c.Live())
		}
	})
}
