// Package members updates the router's view of the other routers from the
// platform's list, which lags, from failed calls and from notices of the
// members themselves.
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

// Controller maintains the membership view. It is safe for concurrent use.
type Controller struct {
	lister Lister
	every  time.Duration
	log    *zap.Logger
	self   membership.Member

	mu           sync.Mutex
	view         *membership.View
	read         bool // whether the list has been read
	onList       []func([]membership.Member)
	firstByRole  map[string]cachedMember  // cached results of First, by role
	ownersByRole map[string]cachedMembers // cached results of Owners, by role
	live         cachedCount
	failureLogs  map[string]*logs.RateLimit // rate limits of the log lines about suspected routers
	// ignoreFailures reports whether failed calls must not be counted against members.
	ignoreFailures func() bool
}

// cachedCount is the cached number of usable routers and when it expires.
type cachedCount struct {
	count int
	until time.Time
}

// cachedMember is the cached best member for a role. It is dropped when the view changes,
// and expires, since a suspicion ends by time alone.
type cachedMember struct {
	id    string
	until time.Time
}

// cachedMembers is the cached members for a role, best first.
type cachedMembers struct {
	ids   []string
	until time.Time
}

// cacheTTL is how long a ranking or count is cached. Ranking takes time linear in the
// number of members, and is needed for every request and for every budget in use.
const cacheTTL = 200 * time.Millisecond

// New returns a controller that reads the list at the given interval.
func New(self membership.Member, lister Lister, every time.Duration, log *zap.Logger) *Controller {
	return &Controller{
		lister:       lister,
		every:        every,
		log:          log,
		self:         self,
		view:         membership.NewView(self),
		firstByRole:  map[string]cachedMember{},
		ownersByRole: map[string]cachedMembers{},
		failureLogs:  map[string]*logs.RateLimit{},

		ignoreFailures: func() bool { return false },
	}
}

// SetIgnoreFailures sets a function that reports whether failed calls must not be counted against
// members, as while this router's own link is saturated. Call it before the first call is made.
func (c *Controller) SetIgnoreFailures(ignore func() bool) { c.ignoreFailures = ignore }

// OnList registers a function that is called with the backend servers of each list.
// Call it before Run.
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

// Refresh reads the list once. If that fails, the last list stays in use.
func (c *Controller) Refresh(ctx context.Context) {
	list, err := c.lister.Instances(ctx)
	if err != nil {
		if ctx.Err() == nil {
			c.log.Debug("cannot read instance list", zap.Error(err))
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
	c.read = true
	c.dropRankings()
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
	if r, ok := c.firstByRole[role]; ok && now.Before(r.until) {
		return r.id
	}
	id := c.view.First(now, role)
	c.firstByRole[role] = cachedMember{id: id, until: now.Add(cacheTTL)}
	return id
}

// FirstLargest returns the first of Largest for a role, or this router if there is none.
func (c *Controller) FirstLargest(now time.Time, role string) string {
	if ids := c.Largest(now, role, 1); len(ids) > 0 {
		return ids[0]
	}
	return c.self.ID
}

// Largest returns at most the given number of usable members for a role: those with the
// largest links, and among equal links the best ranked for the role.
func (c *Controller) Largest(now time.Time, role string, most int) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.largest(now, role, most, func(membership.Member) bool { return true })
}

// largest is Largest restricted to the members accepted by a filter. The caller holds the lock.
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

// Outranks reports whether Largest ranks a member before another one for a role, regardless of
// suspicion.
func (c *Controller) Outranks(role, id, other string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Precedes(role, id, other)
}

// dropRankings drops the cached rankings. The caller holds the lock.
func (c *Controller) dropRankings() {
	clear(c.firstByRole)
	clear(c.ownersByRole)
}

// FirstIn returns at most the given number of usable members of a failure domain for a role,
// in the order of Largest.
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

// Owners returns the first listed routers for a role, best first, including suspected
// ones.
func (c *Controller) Owners(now time.Time, role string, most int) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o, ok := c.ownersByRole[role]; ok && now.Before(o.until) {
		return o.ids
	}
	ids := c.view.Owners(role, most)
	c.ownersByRole[role] = cachedMembers{ids: ids, until: now.Add(cacheTTL)}
	return ids
}

// Get returns a listed router.
func (c *Controller) Get(id string) (membership.Member, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Member(id)
}

// Incarnation returns the last known process of an instance, or an empty string.
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

// Known returns the number of routers on the platform's list, or 0 before it has been read. Routers that do not
// answer count.
func (c *Controller) Known() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.read {
		return 0
	}
	return c.view.Len()
}

// Listed returns the number of listed routers.
func (c *Controller) Listed() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Len()
}

// Others returns the usable routers except this one, in a stable order.
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
	c.live.until = now.Add(cacheTTL)
	return c.live.count
}

// AddOrUpdate adds or updates a router that has answered or that another one has reported.
func (c *Controller) AddOrUpdate(m membership.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view.Add(m)
	c.dropRankings()
}

// Registered adds registered routers, and removes those whose registrations were deleted.
func (c *Controller) Registered(registered []membership.Member, gone []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range gone {
		c.view.Remove(id)
		delete(c.failureLogs, id)
	}
	for _, m := range registered {
		c.view.Add(m)
	}
	c.live = cachedCount{}
	c.dropRankings()
}

// Retain removes all routers except this one and those that keep accepts.
func (c *Controller) Retain(keep func(id string) bool) {
	var gone []string
	for _, m := range c.Members() {
		if !keep(m.ID) {
			gone = append(gone, m.ID)
		}
	}
	c.Registered(nil, gone)
}

// HasHost reports whether a listed router other than this one has an IP address.
func (c *Controller) HasHost(ip string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.HasHost(ip)
}

// ReportRestart records that a router runs a process other than the known one.
func (c *Controller) ReportRestart(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view.SetIncarnation(id, "")
}

// Domains returns the sorted failure domains of the listed routers. The caller must not modify
// the slice.
func (c *Controller) Domains() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Domains()
}

// DomainSize returns the number of listed routers in a failure domain.
func (c *Controller) DomainSize(domain string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.DomainSize(domain)
}

// Suspected reports whether a call to a router failed recently.
func (c *Controller) Suspected(now time.Time, id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Suspected(now, id)
}

// ReportFailure records that a call to a member failed, and logs the cause.
func (c *Controller) ReportFailure(id string, cause error) {
	if id == c.self.ID || c.ignoreFailures() {
		return
	}
	c.mu.Lock()
	now := clock.Now()
	known := c.view.Suspected(now, id)
	c.view.ReportFailure(now, id)
	c.dropRankings()
	leftOut, allowed := int64(0), false
	if !known {
		leftOut, allowed = c.failureLog(id).Allow(now, failureLogInterval)
	}
	c.mu.Unlock()
	if allowed {
		c.log.Info("router passed over", zap.String("router", id), zap.Int64("left_out", leftOut), zap.Error(cause))
	}
}

// failureLogInterval is the minimum time between two log lines about failed calls to the same
// router.
const failureLogInterval = 2 * time.Second

// failureLog returns the rate limit of log lines about a router. The caller holds the lock.
func (c *Controller) failureLog(id string) *logs.RateLimit {
	if c.failureLogs[id] == nil {
		c.failureLogs[id] = &logs.RateLimit{}
	}
	return c.failureLogs[id]
}

// ReportSuccess records that a member answered.
func (c *Controller) ReportSuccess(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.view.Suspected(clock.Now(), id) {
		c.dropRankings()
	}
	c.view.ReportSuccess(id)
}

// SetLeaving records that a member is leaving.
func (c *Controller) SetLeaving(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view.SetLeaving(id)
	c.dropRankings()
}
