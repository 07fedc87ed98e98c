package budget_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gaplink/gaplink/budget"
)

// machine is the host of a router's processes, with its two clocks.
type machine struct {
	// boots counts the power losses, bootIDs the boot IDs so far: not every boot has a new
	// one.
	boots, bootIDs int
	// booted is the true time at which the monotonic clock read zero.
	booted time.Time
	// suspended is the total time the machine was suspended; its processes and its
	// monotonic clock do not count it.
	suspended time.Duration
	// clockOffset is how far the wall clock is ahead of the true time.
	clockOffset time.Duration
}

// at returns the current time as seen by a router's process.
func (n *network) at(r *router) time.Time { return n.now.Add(-r.machine.suspended) }

// setClocks configures a process with the clocks of its machine.
func (n *network) setClocks(r *router, cfg *budget.Config) {
	m := &r.machine
	if m.booted.IsZero() {
		m.booted = epoch
	}
	booted := m.booted
	cfg.Boot = fmt.Sprintf("boot %d of r%d", m.bootIDs, r.index)
	cfg.Uptime = func(now time.Time) time.Duration { return now.Sub(booted) }
	cfg.WallClock = func() time.Time { return n.now.Add(m.clockOffset) }
	cfg.StartedWallClock = cfg.WallClock()
}

// losePower ends a router's process and reboots its machine: the monotonic clock restarts;
// the boot ID may stay the same.
func (n *network) losePower(t *rapid.T, r *router) {
	n.endPower(r, rapid.Bool().Draw(t, "new boot id"), time.Duration(rapid.IntRange(0, 2500).Draw(t, "off ms"))*time.Millisecond)
}

func (n *network) endPower(r *router, newID bool, off time.Duration) {
	m := &r.machine
	m.boots++
	if newID {
		m.bootIDs++
	}
	n.now = n.now.Add(off)
	m.booted, m.suspended = n.now, 0
	n.crash(r)
}

// suspend suspends a machine for a while.
func (n *network) suspend(t *rapid.T, r *router) {
	d := time.Duration(rapid.IntRange(1, 9000).Draw(t, "suspended ms")) * time.Millisecond
	n.now = n.now.Add(d)
	r.machine.suspended += d
}

// maxOffset is how far the wall clock of a machine may be off.
const maxOffset = 6 * time.Second

// setWallClock sets the wall clock of a machine.
func (n *network) setWallClock(t *rapid.T, r *router) {
	most := int(maxOffset / time.Millisecond)
	r.machine.clockOffset = time.Duration(rapid.IntRange(-most, most).Draw(t, "ahead ms")) * time.Millisecond
}

// TestClockThatStartsAnewGivesNothingTwice guards against tokens issued twice under one
// boot ID. A process puts tokens in escrow, the store becomes unavailable, the process
// uses what the schedule releases, and the machine loses power. A later process, which
// starts when the new clock reads slightly more than the old one did at the write, takes
// the entry for a recent one. All processes in between may die before they write.
func TestClockThatStartsAnewGivesNothingTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := &network{t: t, now: epoch.Add(time.Hour), page: budget.NewPage(), waiting: map[string]int64{}, limit: 100000, limitVersion: 1}
		r := &router{index: 0}
		n.routers = []*router{r}
		r.machine.booted = n.now
		n.now = n.now.Add(time.Duration(rapid.IntRange(0, 30000).Draw(t, "first start ms")) * time.Millisecond)
		n.bootSelfOwner(r)
		n.serve(r, rapid.IntRange(10, 100).Draw(t, "requests"))
		for range rapid.IntRange(1, 2).Draw(t, "losses of power") {
			n.dieDuringOutage(t, r)
		}
		n.drive(r)
		n.checkSpent()
		free := n.free()
		if held := r.agent.Holding(testBudget).Balance; free+held+n.spent > n.limit {
			t.Fatalf("%d tokens free, %d held, %d spent: %d more than the budget", free, held, n.spent, free+held+n.spent-n.limit)
		}
	})
}

// dieDuringOutage has a router use what it holds while the store is unavailable, lose
// power, die again before it writes, and start when its new clock is close to the time in
// the page.
func (n *network) dieDuringOutage(t *rapid.T, r *router) {
	wrote := n.at(r).Sub(r.machine.booted)
	for range rapid.IntRange(0, 8).Draw(t, "seconds away") {
		n.now = n.now.Add(time.Second)
		n.serveWithoutStore(r)
		n.settleAll(r)
	}
	n.endPower(r, false, time.Duration(rapid.IntRange(0, 2500).Draw(t, "off ms"))*time.Millisecond)
	if rapid.Bool().Draw(t, "a process dies early") {
		n.now = n.now.Add(500 * time.Millisecond)
		n.crash(r)
	}
	since := time.Duration(rapid.IntRange(0, 3000).Draw(t, "after ms")) * time.Millisecond
	if wait := wrote + since - n.now.Sub(r.machine.booted); wait > 0 {
		n.now = n.now.Add(wait)
	}
	n.crash(r)
	n.reserve(r, 1)
	n.drive(r)
}

// settleAll ends all requests of a router at their worst case.
func (n *network) settleAll(r *router) {
	for len(r.running) > 0 {
		n.finish(r, r.running[0])
	}
}

// TestUnprovenAgeReclaimsNothing: if the wall clock was adjusted, or the uptime of the
// machine was too short to detect a clock restart, the tokens in escrow stay spent; a late
// start of the following process, with clocks that agree, does not bring them back either.
func TestUnprovenAgeReclaimsNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, r := newSingleRouter(t)
		young := rapid.Bool().Draw(t, "young machine")
		if young {
			r.machine.booted = n.now
			n.bootSelfOwner(r)
			n.serve(r, 50)
		} else {
			r.machine.clockOffset = 2 * time.Second
		}
		held := n.free() + r.agent.Holding(testBudget).Balance
		n.crash(r)
		n.reserve(r, 1)
		n.drive(r)
		n.checkSpent()
		if now := n.free() + r.agent.Holding(testBudget).Balance; now >= held {
			t.Fatalf("%d tokens available, %d before the death", now, held)
		}
	})
}
