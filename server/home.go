package server

import (
	"time"

	"github.com/gaplink/gaplink/controller/members"
)

// largeFleet is the number of routers from which budgets have homes and few
// routers watch the store for the others. With fewer routers each draws from the store for itself, so that little is lost with
// one; with more, their conditional updates of the same page would mostly
// conflict (measured: half of all writes with six routers).
const largeFleet = 16

// homes chooses the router that draws a page's budgets from the store.
type homes struct{ *members.Controller }

// First implements budgets.Members: the router itself, or in a large fleet the
// first of its own failure domain.
func (h homes) First(now time.Time, role string) string {
	if h.Live() < largeFleet {
		return h.Self().ID
	}
	return h.FirstIn(now, role, h.Self().Domain)
}
