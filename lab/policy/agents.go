package policy

import (
	"fmt"
	"time"

	"github.com/gaplink/gaplink/budget"
	"github.com/gaplink/gaplink/membership"
	"github.com/gaplink/gaplink/peer"
)

const (
	tickInterval = 50 * time.Millisecond
	// callTimeout is the time after which a call without an answer has failed.
	callTimeout = 400 * time.Millisecond
	// reclaimInterval is the interval between checks for dead routers.
	reclaimInterval = time.Second
	// shards is the number of ledger shards. A reclaim writes to each of them.
	shards = 2
)

// node is one simulated router that runs the production budget agent.
type node struct {
	index       int
	incarnation int
	agent       *budget.Agent
	view        *membership.View
	waiting     map[uint64]func(bool)
}

func (n *node) name() string { return fmt.Sprintf("%s/%d", routerName(n.index), n.incarnation) }

// deadRouter is a killed router whose tokens have not been reclaimed.
type deadRouter struct {
	incarnation string
	balances    map[string]int64 // by budget, at the time of the kill
}

// agentAllocator is the chosen policy. It runs the production budget agent on each router.
type agentAllocator struct {
	w         *simulation
	cfg       budget.Config
	nodes     []*node
	pages     map[int]*budget.Page
	versions  map[int]int64
	dead      []*deadRouter
	restarted map[string]bool // incarnations of killed routers whose instance has restarted
}

// Chosen returns the allocator that gaplink uses in production.
func Chosen(w *simulation) Allocator {
	a := &agentAllocator{
		w:         w,
		cfg:       budget.DefaultConfig(),
		pages:     w.limitsPages(),
		versions:  map[int]int64{},
		restarted: map[string]bool{},
	}
	a.cfg.Pages = w.scenario.Pages
	a.cfg.OwnerHorizon = w.scenario.Hold
	for i := range w.scenario.Routers {
		a.nodes = append(a.nodes, &node{index: i})
		a.start(a.nodes[i])
	}
	w.After(reclaimInterval, a.reclaimDead)
	return a
}

// start starts a router with empty state.
func (a *agentAllocator) start(n *node) {
	n.incarnation++
	self := membership.Member{ID: routerName(n.index), Kind: "router", State: membership.Live}
	n.view = membership.NewView(self)
	var list []membership.Member
	for i := range a.w.scenario.Routers {
		list = append(list, membership.Member{ID: routerName(i), Kind: "router", State: membership.Live})
	}
	n.view.SetList(list)
	cfg := a.cfg
	cfg.Self = budget.Peer{ID: self.ID, Incarnation: n.name()}
	cfg.Owner = func(now time.Time, id string) string {
		return n.view.First(now, budget.RankKey(budget.PageOf(id, a.cfg.Pages)))
	}
	n.agent = budget.NewAgent(cfg)
	n.waiting = map[uint64]func(bool){}
	for _, l := range a.dead {
		n.agent.Fence(l.incarnation)
	}
	a.tick(n, n.incarnation)
}

func (a *agentAllocator) tick(n *node, incarnation int) {
	a.w.After(tickInterval, func() {
		if n.incarnation != incarnation || a.w.killed[n.index] {
			return
		}
		a.w.runOnRouter(n.index, func() { a.execute(n, n.agent.Tick(a.w.Now)) })
		a.tick(n, incarnation)
	})
}

// Reserve implements Allocator.
func (a *agentAllocator) Reserve(router int, id string, need int64, done func(bool)) {
	n := a.nodes[router]
	token, granted, effects := n.agent.Reserve(a.w.Now, id, need)
	if granted {
		done(true)
	} else {
		n.waiting[token] = done
	}
	a.execute(n, effects)
}

// Settle implements Allocator.
func (a *agentAllocator) Settle(router int, id string, reserved, actual int64) {
	n := a.nodes[router]
	a.execute(n, n.agent.Settle(a.w.Now, id, reserved, actual))
}

func (a *agentAllocator) execute(n *node, effects []budget.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case budget.Resolve:
			done := n.waiting[e.Token]
			delete(n.waiting, e.Token)
			if done != nil {
				done(e.OK)
			}
		case budget.Send:
			a.send(n, e.Message)
		case budget.ReadPage:
			a.read(n, e.Page)
		case budget.WritePage:
			a.write(n, e)
		case budget.Suspect:
			a.reportUnreachable(n, e.ID)
		case budget.AskSuccessor:
			a.execute(n, n.agent.AskSuccessor(a.w.Now, e.Budget))
		}
	}
}

func (a *agentAllocator) reportUnreachable(n *node, id string) {
	if id != routerName(n.index) {
		n.view.ReportFailure(a.w.Now, id)
	}
}

// schedule calls do after a delay, unless the router has been killed or restarted by then.
func (a *agentAllocator) schedule(n *node, d time.Duration, do func()) {
	incarnation := n.incarnation
	a.w.After(d, func() {
		if n.incarnation != incarnation || a.w.killed[n.index] {
			return
		}
		a.w.runOnRouter(n.index, do)
	})
}

func (a *agentAllocator) send(from *node, m budget.Message) {
	to := a.nodes[indexOf(m.To.ID)]
	if to == from {
		a.schedule(from, 0, func() { a.execute(from, from.agent.Receive(a.w.Now, m)) })
		return
	}
	a.w.counts.Messages++
	a.w.counts.Bytes += size(m)
	oneWay := a.w.delay(from.index, to.index)
	switch {
	case a.w.killed[to.index]:
		a.schedule(from, 2*oneWay, func() { a.deliveryFailed(from, m, true) })
	case !a.w.reaches(from.index, to.index):
		a.schedule(from, callTimeout, func() { a.deliveryFailed(from, m, false) })
	default:
		a.deliver(from, to, m, oneWay)
	}
}

// deliver delivers a message after the one-way delay. A frozen receiver handles
// the message once it resumes; the sender's call has timed out by then.
func (a *agentAllocator) deliver(from, to *node, m budget.Message, oneWay time.Duration) {
	if a.w.frozen[to.index] {
		a.schedule(from, callTimeout, func() { a.deliveryFailed(from, m, false) })
	}
	a.schedule(to, oneWay, func() {
		if !to.agent.Accepts(m) {
			a.schedule(from, oneWay, func() { a.deliveryFailed(from, m, true) })
			return
		}
		a.execute(to, to.agent.Receive(a.w.Now, m))
	})
}

func (a *agentAllocator) deliveryFailed(n *node, m budget.Message, certain bool) {
	a.reportUnreachable(n, m.To.ID)
	a.execute(n, n.agent.Undelivered(a.w.Now, m, certain))
}

func indexOf(name string) int {
	var i int
	_, _ = fmt.Sscanf(name, "r%d", &i)
	return i
}

func size(m budget.Message) int64 {
	b, _ := peer.Marshal(peer.BudgetMessage{Message: m})
	return int64(len(b))
}

func (a *agentAllocator) read(n *node, page int) {
	a.w.counts.Reads++
	a.schedule(n, a.w.scenario.StoreDelay, func() {
		if a.w.storeDown {
			a.execute(n, n.agent.PageRead(a.w.Now, page, 0, nil, budget.Unavailable))
			return
		}
		p, ok := a.pages[page]
		if !ok {
			a.execute(n, n.agent.PageRead(a.w.Now, page, 0, nil, budget.Missing))
			return
		}
		a.execute(n, n.agent.PageRead(a.w.Now, page, a.versions[page], p.Clone(), budget.Done))
	})
}

// write applies the write at the store after half the delay, even if the writer
// is killed in the meantime.
func (a *agentAllocator) write(n *node, e budget.WritePage) {
	a.w.counts.Writes++
	a.w.After(a.w.scenario.StoreDelay/2, func() {
		result := budget.Done
		switch {
		case a.w.storeDown:
			result = budget.Unavailable
		case a.versions[e.Page] != e.Version:
			result = budget.Conflict
		default:
			a.versions[e.Page]++
			a.pages[e.Page] = e.Value.Clone()
		}
		version := a.versions[e.Page]
		a.schedule(n, a.w.scenario.StoreDelay/2, func() {
			a.execute(n, n.agent.PageWritten(a.w.Now, e.Page, version, result, nil))
		})
	})
}

// Killed implements Allocator.
func (a *agentAllocator) Killed(router int) {
	n := a.nodes[router]
	l := &deadRouter{incarnation: n.name(), balances: map[string]int64{}}
	for id, h := range n.agent.Holdings() {
		l.balances[id] = h.Balance + h.Writing
	}
	a.dead = append(a.dead, l)
	n.waiting = map[uint64]func(bool){}
}

// Started implements Allocator.
func (a *agentAllocator) Started(router int) {
	a.restarted[a.nodes[router].name()] = true
	a.start(a.nodes[router])
}

// Frozen implements Allocator.
func (a *agentAllocator) Frozen(int) {}

// Resumed implements Allocator.
func (a *agentAllocator) Resumed(int) {}

// ToppedUp implements Allocator.
func (a *agentAllocator) ToppedUp(id string, tokens int64) {
	n := budget.PageOf(id, a.cfg.Pages)
	a.pages[n].Budgets[id].Limit += tokens
	a.versions[n]++
}

// reclaimDead reclaims the tokens of a dead router, as the controller does: one router at
// a time, and only while the store and all other routers answer.
func (a *agentAllocator) reclaimDead() {
	a.w.After(reclaimInterval, a.reclaimDead)
	if a.w.storeDown || a.w.partitioned || len(a.dead) != 1 || !a.restarted[a.dead[0].incarnation] || a.anyUnavailable() {
		return
	}
	l := a.dead[0]
	a.dead = nil
	for _, n := range a.nodes {
		n.agent.Fence(l.incarnation)
	}
	a.w.counts.Writes += 2 * shards
	for n, page := range a.pages {
		a.reclaim(n, page, l)
	}
}

func (a *agentAllocator) anyUnavailable() bool {
	for i := range a.nodes {
		if a.w.killed[i] || a.w.frozen[i] {
			return true
		}
	}
	return false
}

func (a *agentAllocator) reclaim(n int, page *budget.Page, l *deadRouter) {
	stranded := map[string]int64{}
	for id, r := range page.Budgets {
		live := map[string]budget.Holding{}
		for _, other := range a.nodes {
			live[other.name()] = other.agent.Holding(id)
		}
		charged := a.w.budgets[id].spent + a.w.unresolved[id]
		if tokens := budget.Stranded(r.Issued(), live, charged); tokens > 0 {
			stranded[id] = tokens
		}
	}
	page.Reclaim([]string{l.incarnation}, stranded)
	a.versions[n]++
	a.w.counts.Writes++
	a.w.counts.Reads++
}

// Locate implements Allocator.
func (a *agentAllocator) Locate(id string) Location {
	var p Location
	if r := a.pages[budget.PageOf(id, a.cfg.Pages)].Budgets[id]; r != nil {
		p.Store = r.Free()
	}
	live := map[string]budget.Holding{}
	for i, n := range a.nodes {
		if a.w.killed[i] {
			continue
		}
		h := n.agent.Holding(id)
		live[n.name()] = h
		p.Moving += h.Writing
		if a.w.frozen[i] {
			p.Dead += h.Balance
		} else {
			p.Routers += h.Balance
		}
	}
	for from, h := range live {
		for to, other := range live {
			p.Moving += max(h.Sent[to]-other.Received[from], 0)
		}
	}
	for _, l := range a.dead {
		p.Dead += l.balances[id]
	}
	return p
}
