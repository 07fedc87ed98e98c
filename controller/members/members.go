// Package members keeps the router's view of the other routers current from
// the platform's lagging list, from failed calls and from what members say
// themselves.
package members

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/logs"
	"github.com/gaplink/gaplink/membership"
)

// Lister reads the platform's list of instances.
type Lister interface {
	Instances(ctx context.Context) ([]membership.Member, error)
}

// Controller keeps the view. It is safe for concurrent use.
type Controller struct {
	lister Lister
	every  time.Duration
	log    *zap.Logger
	self   membership.Member

	mu     sync.Mutex
	view   *membership.View
	onList []func([]membership.Member)
	ranked map[string]ranked // what First found lately
	owners map[string]list   // what Owners found lately
	live   counted
	notes  map[string]*logs.Sparse // of the routers that were passed over
	// excused tells that failed calls say nothing about the members.
	excused func() bool
}

// counted is the number of usable routers, and until when it is taken without
// counting anew.
type counted struct {
	count int
	until time.Time
}

// ranked is the member found for a role. It is dropped when the view changes,
// and after a while, since a suspicion ends by time alone.
type ranked struct {
	id    string
	until time.Time
}

// list is the members found for a role, best first.
type list struct {
	ids   []string
	until time.Time
}

// rankFor is how long a found member is taken without ranking anew. Ranking
// costs time in proportion to the members, and is asked for at every request
// and for every budget in use.
const rankFor = 200 * time.Millisecond

// New returns a controller that reads the list every so often.
func New(self membership.Member, lister Lister, every time.Duration, log *zap.Logger) *Controller {
	return &Controller{
		lister: lister,
		every:  every,
		log:    log,
		self:   self,
		view:   membership.NewView(self),
		ranked: map[string]ranked{},
		owners: map[string]list{},
		notes:  map[string]*logs.Sparse{},

		excused: func() bool { return false },
	}
}

// Excuse sets when failed calls say nothing about the members: while this
// router's own link is full. Call it before the first call is made.
func (c *Controller) Excuse(excused func() bool) { c.excused = excused }

// OnList registers a function that gets the backend servers of each list
// read. Call it before Run.
func (c *Controller) OnList(fn func([]membership.Member)) {
	c.onList = append(c.onList, fn)
}

// Run reads the list until the context ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(c.every)
	defer ticker.Stop()
	for {
		c.Refresh(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Refresh reads the list once. A failed read keeps the last one.
func (c *Controller) Refresh(ctx context.Context) {
	list, err := c.lister.Instances(ctx)
	if err != nil {
		if ctx.Err() == nil {
			c.log.Debug("instance list not read", zap.Error(err))
		}
		return
	}
	var backends []membership.Member
	for _, m := range list {
		if m.Kind == "backend" {
			backends = append(backends, m)
		}
	}
	c.mu.Lock()
	c.view.SetList(list)
	c.viewChanged()
	c.mu.Unlock()
	for _, fn := range c.onList {
		fn(backends)
	}
}

// Self returns this router.
func (c *Controller) Self() membership.Member { return c.self }

// First returns the best member for a role.
func (c *Controller) First(now time.Time, role string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r, ok := c.ranked[role]; ok && now.Before(r.until) {
		return r.id
	}
	id := c.view.First(now, role)
	c.ranked[role] = ranked{id: id, until: now.Add(rankFor)}
	return id
}

// FirstLargest returns the best member for a role among those with the largest
// links, or this router if there is none.
func (c *Controller) FirstLargest(now time.Time, role string) string {
	if ids := c.Largest(now, role, 1); len(ids) > 0 {
		return ids[0]
	}
	return c.self.ID
}

// Largest returns the best usable members for a role, at most so many: those with the
// largest links, in the order of the role.
func (c *Controller) Largest(now time.Time, role string, most int) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.largest(now, role, most, func(membership.Member) bool { return true })
}

// largest is Largest among the members that count. It is called under the lock.
func (c *Controller) largest(now time.Time, role string, most int, counts func(membership.Member) bool) []string {
	var ids []string
	for m := range c.view.Largest(now, role) {
		if len(ids) == most {
			break
		}
		if counts(m) {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// Outranks tells whether a member is ranked before another one for a role by Largest, suspected
// or not.
func (c *Controller) Outranks(role, id, other string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Precedes(role, id, other)
}

// viewChanged drops what was found in the view as it was.
func (c *Controller) viewChanged() {
	clear(c.ranked)
	clear(c.owners)
}

// FirstIn returns the best usable members of a failure domain for a role, at most so
// many: those with the largest links, in the order of the role.
func (c *Controller) FirstIn(now time.Time, role, domain string, most int) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.largest(now, role, most, func(m membership.Member) bool { return m.Domain == domain })
}

// Rank returns the usable members for a role, best first.
func (c *Controller) Rank(now time.Time, role string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Rank(now, role)
}

// Addr returns a member's address for traffic between routers.
func (c *Controller) Addr(id string) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m, ok := c.view.Member(id)
	return m.Addr, ok
}

// Owners returns the first listed routers for a role, best first, whether they are
// suspected or not.
func (c *Controller) Owners(now time.Time, role string, most int) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o, ok := c.owners[role]; ok && now.Before(o.until) {
		return o.ids
	}
	ids := c.view.Owners(role, most)
	c.owners[role] = list{ids: ids, until: now.Add(rankFor)}
	return ids
}

// Get returns a listed router.
func (c *Controller) Get(id string) (membership.Member, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Member(id)
}

// Incarnation returns the process last known at an instance; empty if none is.
func (c *Controller) Incarnation(id string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	m, _ := c.view.Member(id)
	return m.Incarnation
}

// Members returns all listed routers.
func (c *Controller) Members() []membership.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Members()
}

// Others returns the usable routers but this one, in a stable order.
func (c *Controller) Others(now time.Time) []string {
	ranked := c.Rank(now, "others")
	others := ranked[:0:0]
	for _, id := range ranked {
		if id != c.self.ID {
			others = append(others, id)
		}
	}
	return others
}

// Live returns the number of usable routers, at least 1.
func (c *Controller) Live() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Now()
	if now.Before(c.live.until) {
		return c.live.count
	}
	c.live.count = max(c.view.Live(now), 1)
	c.live.until = now.Add(rankFor)
	return c.live.count
}

// Met adds a router that was met or told of, or updates it.
func (c *Controller) Met(m membership.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view.Add(m)
	c.viewChanged()
}

// Registered adds routers that are registered, and removes those that are not any more.
func (c *Controller) Registered(met []membership.Member, gone []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range gone {
		c.view.Remove(id)
		delete(c.notes, id)
	}
	for _, m := range met {
		c.view.Add(m)
	}
	c.live = counted{}
	c.viewChanged()
}

// Retain removes all routers but this one and those to be kept.
func (c *Controller) Retain(keep func(id string) bool) {
	var gone []string
	for _, m := range c.Members() {
		if !keep(m.ID) {
			gone = append(gone, m.ID)
		}
	}
	c.Registered(nil, gone)
}

// Restarted notes that another process than the known one runs at a router.
func (c *Controller) Restarted(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view.SetIncarnation(id, "")
}

// Domains returns the failure domains of the listed routers, in order. The caller must not change
// them.
func (c *Controller) Domains() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Domains()
}

// DomainSize returns how many listed routers a failure domain has.
func (c *Controller) DomainSize(domain string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.DomainSize(domain)
}

// Suspected tells whether a call to a router failed lately.
func (c *Controller) Suspected(now time.Time, id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Suspected(now, id)
}

// Failed records that a call to a member failed, and why.
func (c *Controller) Failed(id string, cause error) {
	if id == c.self.ID || c.excused() {
		return
	}
	c.mu.Lock()
	now := clock.Now()
	known := c.view.Suspected(now, id)
	c.view.Failed(now, id)
	c.viewChanged()
	leftOut, due := int64(0), false
	if !known {
		leftOut, due = c.sparse(id).Due(now, noteEvery)
	}
	c.mu.Unlock()
	if due {
		c.log.Info("router passed over", zap.String("router", id), zap.Int64("left_out", leftOut), zap.Error(cause))
	}
}

// noteEvery bounds the lines about one router that is passed over.
const noteEvery = 2 * time.Second

// sparse bounds the lines about a router. It is called under the lock.
func (c *Controller) sparse(id string) *logs.Sparse {
	if c.notes[id] == nil {
		c.notes[id] = &logs.Sparse{}
	}
	return c.notes[id]
}

// Reached records that a member answered.
func (c *Controller) Reached(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.view.Suspected(clock.Now(), id) {
		c.viewChanged()
	}
	c.view.Reached(id)
}

// SetLeaving records that a member is leaving.
func (c *Controller) SetLeaving(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view.SetLeaving(id)
	c.viewChanged()
}
