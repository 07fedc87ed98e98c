package membership_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/gaplink/gaplink/membership"
)

// Guards against a position that differs from that of the ranking.
func TestPositionIsThatOfTheRanking(t *testing.T) {
	now := time.Unix(1000, 0)
	self := membership.Member{ID: "r00", State: membership.Live}
	v := membership.NewView(self)
	for n := range 30 {
		v.Add(membership.Member{ID: fmt.Sprintf("r%02d", n), State: membership.Live})
	}
	v.SetLeaving("r07")
	v.ReportFailure(now, "r11")
	for n := range 50 {
		role := fmt.Sprint("slots/", n)
		ids := v.Rank(now, role)
		rank, usable := v.Position(now, role)
		if rank != slices.Index(ids, self.ID) || usable != len(ids) || usable != 28 {
			t.Errorf("%s: position %d of %d, ranked %v", role, rank, usable, ids)
		}
	}
}
