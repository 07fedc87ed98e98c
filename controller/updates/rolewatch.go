package updates

import (
	"context"
	"sync"
	"time"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/controller/follow"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/wait"
	"github.com/gaplink/gaplink/wakeups"
)

const (
	// checkRoleEvery is how often a router checks its role while it may change at any time, and
	// checkIdleEvery how often at least one does whose updates are far from stale: another role
	// is then due only where a router with a better rank stops answering.
	checkRoleEvery = 100 * time.Millisecond
	checkIdleEvery = 500 * time.Millisecond
)

// roleWatch wakes those that wait for a role other than Idle.
type roleWatch struct {
	mu      sync.Mutex
	changed chan struct{}
}

// RoleChanged returns a channel that is closed when the role is checked next and is not Idle.
func (c *Controller) RoleChanged() <-chan struct{} {
	c.role.mu.Lock()
	defer c.role.mu.Unlock()
	if c.role.changed == nil {
		c.role.changed = make(chan struct{})
	}
	return c.role.changed
}

func (c *Controller) announceRole() {
	c.role.mu.Lock()
	defer c.role.mu.Unlock()
	if c.role.changed != nil {
		close(c.role.changed)
		c.role.changed = nil
	}
}

// watchRole wakes those that wait for a role until the context ends.
func (c *Controller) watchRole(ctx context.Context) {
	for ctx.Err() == nil {
		wakeups.Note(wakeups.Role)
		role := c.Role()
		if role != follow.Idle {
			c.announceRole() // at each check: whoever waits has seen another role since
		}
		_ = wait.For(ctx, c.nextRoleCheck(role))
	}
}

// nextRoleCheck returns the time until the role is to be checked again.
func (c *Controller) nextRoleCheck(role follow.Role) time.Duration {
	if role == follow.Watches {
		return checkIdleEvery
	}
	if role == follow.Fallback {
		return checkRoleEvery
	}
	return min(max(c.untilStale(), checkRoleEvery), checkIdleEvery)
}

// untilStale returns the time until the updates of other routers are stale if no more come.
func (c *Controller) untilStale() time.Duration {
	limits := c.StaleAfter(c.IsRelay())
	c.mu.Lock()
	defer c.mu.Unlock()
	ages := c.known.ages(clock.Now())
	left := checkIdleEvery
	for _, kind := range []struct{ age, limit time.Duration }{
		{ages.Config, limits.Config}, {ages.Servers, limits.Servers}, {ages.Evacuated, limits.Evacuated},
	} {
		switch {
		case kind.limit == 0:
		case kind.age == peer.Unheard:
			return 0
		default:
			left = min(left, kind.limit-kind.age)
		}
	}
	return left
}
