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
	// roleCheckInterval is how often a router checks its role while the role may change at any
	// time. maxRoleCheckInterval is the longest interval, of a router whose updates are far from
	// stale: its role then changes only if a router with a better rank stops answering.
	roleCheckInterval    = 100 * time.Millisecond
	maxRoleCheckInterval = 500 * time.Millisecond
)

// roleNotifier notifies callers that wait for a role other than Idle.
type roleNotifier struct {
	mu      sync.Mutex
	changed chan struct{}
}

// RoleChanged returns a channel that is closed at the next check that finds a role other than
// Idle.
func (c *Controller) RoleChanged() <-chan struct{} {
	c.role.mu.Lock()
	defer c.role.mu.Unlock()
	if c.role.changed == nil {
		c.role.changed = make(chan struct{})
	}
	return c.role.changed
}

func (c *Controller) notifyRole() {
	c.role.mu.Lock()
	defer c.role.mu.Unlock()
	if c.role.changed != nil {
		close(c.role.changed)
		c.role.changed = nil
	}
}

// checkRoles checks the role periodically and notifies waiting callers until the context ends.
func (c *Controller) checkRoles(ctx context.Context) {
	for ctx.Err() == nil {
		wakeups.Count(wakeups.Role)
		role := c.Role()
		if role != follow.Idle {
			c.notifyRole() // at each check: a waiting caller may have seen Idle since the last one
		}
		_ = wait.For(ctx, c.nextRoleCheck(role))
	}
}

// nextRoleCheck returns the time until the next check of the role.
func (c *Controller) nextRoleCheck(role follow.Role) time.Duration {
	if role == follow.Watcher {
		return maxRoleCheckInterval
	}
	if role == follow.Fallback {
		return roleCheckInterval
	}
	return min(max(c.untilStale(), roleCheckInterval), maxRoleCheckInterval)
}

// untilStale returns the time until the updates of other routers are stale if no more arrive.
func (c *Controller) untilStale() time.Duration {
	limits := c.StaleAfter(c.IsRelay())
	c.mu.Lock()
	defer c.mu.Unlock()
	ages := c.known.ages(clock.Now())
	left := maxRoleCheckInterval
	for _, kind := range []struct{ age, limit time.Duration }{
		{ages.Config, limits.Config}, {ages.Servers, limits.Servers}, {ages.Evacuated, limits.Evacuated},
	} {
		switch {
		case kind.limit == 0:
		case kind.age == peer.UnknownAge:
			return 0
		default:
			left = min(left, kind.limit-kind.age)
		}
	}
	return left
}
