package policy

import (
	"fmt"
	"time"

	"github.com/gaplink/gaplink/budget"
	"github.com/gaplink/gaplink/membership"
	"github.com/gaplink/gaplink/peer"
)

const (
	tickEvery = 50 * time.Millisecond
	// callTimeout is when a call without an answer counts as failed.
	callTimeout = 400 * time.Millisecond
	// scanEvery is how often dead routers are looked for.
	scanEvery = time.Second
	// shards is the number of ledger shards, for the writes of a reclaim.
	shards = 2
)

// node is one router with the real budget agent.
type node struct {
	index       int
	incarnation int
	agent       *budget.Agent
	view        *membership.View
	waiting     map[uint64]func(bool)
}

func (n *node) name() string { return fmt.Sprintf("%s/%d", routerName(n.index), n.incarnation) }

// leftover is what a killed router left.
type leftover struct {
	incarnation string
	held        map[string]int64 // balances when it died
}

// agents is the chosen policy: the real decision code.
type agents struct {
	w        *world
	cfg      budget.Config
	nodes    []*node
	pages    map[int]*budget.Page
	versions map[int]int64
	dead     []*leftover
	restart  map[string]bool // dead ones whose instance runs again
}

// Chosen returns the policy that gaplink uses.
func Chosen(w *world) Sharer {
	a := &agents{
		w:        w,
		cfg:      budget.DefaultConfig(),
		pages:    w.limitsPages(),
		versions: map[int]int64{},
		restart:  map[string]bool{},
	}
	a.cfg.Pages = w.spec.Pages
	a.cfg.HomeHorizon = w.spec.Hold
	for i := range w.spec.Routers {
		a.nodes = append(a.nodes, &node{index: i})
		a.boot(a.nodes[i])
	}
	w.After(scanEvery, a.scan)
	return a
}

// boot starts a router with nothing.
func (a *agents) boot(n *node) {
	n.incarnation++
	self := membership.Member{ID: routerName(n.index), Kind: "router", State: membership.Live}
	n.view = membership.NewView(self)
	var list []membership.Member
	for i := range a.w.spec.Routers {
		list = append(list, membership.Member{ID: routerName(i), Kind: "router", State: membership.Live})
	}
	n.view.SetList(list)
	cfg := a.cfg
	cfg.Self = budget.Peer{ID: self.ID, Incarnation: n.name()}
	cfg.Home = func(now time.Time, id string) string {
		return n.view.First(now, budget.Role(budget.PageOf(id, a.cfg.Pages)))
	}
	n.agent = budget.NewAgent(cfg)
	n.waiting = map[uint64]func(bool){}
	for _, l := range a.dead {
		n.agent.Fence(l.incarnation)
	}
	a.tick(n, n.incarnation)
}

func (a *agents) tick(n *node, incarnation int) {
	a.w.After(tickEvery, func() {
		if n.incarnation != incarnation || a.w.killed[n.index] {
			return
		}
		a.w.onRouter(n.index, func() { a.perform(n, n.agent.Tick(a.w.Now)) })
		a.tick(n, incarnation)
	})
}

// Reserve implements Sharer.
func (a *agents) Reserve(router int, id string, need int64, done func(bool)) {
	n := a.nodes[router]
	token, granted, effects := n.agent.Reserve(a.w.Now, id, need)
	if granted {
		done(true)
	} else {
		n.waiting[token] = done
	}
	a.perform(n, effects)
}

// Settle implements Sharer.
func (a *agents) Settle(router int, id string, reserved, actual int64) {
	n := a.nodes[router]
	a.perform(n, n.agent.Settle(a.w.Now, id, reserved, actual))
}

func (a *agents) perform(n *node, effects []budget.Effect) {
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
			a.suspect(n, e.ID)
		case budget.AskAgain:
			a.perform(n, n.agent.AskAgain(a.w.Now, e.Budget))
		}
	}
}

func (a *agents) suspect(n *node, id string) {
	if id != routerName(n.index) {
		n.view.Failed(a.w.Now, id)
	}
}

// later does something at the same life of a router after a delay.
func (a *agents) later(n *node, d time.Duration, do func()) {
	incarnation := n.incarnation
	a.w.After(d, func() {
		if n.incarnation != incarnation || a.w.killed[n.index] {
			return
		}
		a.w.onRouter(n.index, do)
	})
}

func (a *agents) send(from *node, m budget.Message) {
	to := a.nodes[indexOf(m.To.ID)]
	if to == from {
		a.later(from, 0, func() { a.perform(from, from.agent.Receive(a.w.Now, m)) })
		return
	}
	a.w.counts.Messages++
	a.w.counts.Bytes += size(m)
	oneWay := a.w.delay(from.index, to.index)
	switch {
	case a.w.killed[to.index]:
		a.later(from, 2*oneWay, func() { a.failed(from, m, true) })
	case !a.w.reaches(from.index, to.index):
		a.later(from, callTimeout, func() { a.failed(from, m, false) })
	default:
		a.deliver(from, to, m, oneWay)
	}
}

// deliver brings a message to its receiver; a frozen one handles it when it
// wakes, and the sender has given up by then.
func (a *agents) deliver(from, to *node, m budget.Message, oneWay time.Duration) {
	if a.w.frozen[to.index] {
		a.later(from, callTimeout, func() { a.failed(from, m, false) })
	}
	a.later(to, oneWay, func() {
		if !to.agent.Accepts(m) {
			a.later(from, oneWay, func() { a.failed(from, m, true) })
			return
		}
		a.perform(to, to.agent.Receive(a.w.Now, m))
	})
}

func (a *agents) failed(n *node, m budget.Message, certain bool) {
	a.suspect(n, m.To.ID)
	a.perform(n, n.agent.Undelivered(a.w.Now, m, certain))
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

func (a *agents) read(n *node, page int) {
	a.w.counts.Reads++
	a.later(n, a.w.spec.StoreDelay, func() {
		if a.w.down {
			a.perform(n, n.agent.PageRead(a.w.Now, page, 0, nil, budget.Unavailable))
			return
		}
		p, ok := a.pages[page]
		if !ok {
			a.perform(n, n.agent.PageRead(a.w.Now, page, 0, nil, budget.Missing))
			return
		}
		a.perform(n, n.agent.PageRead(a.w.Now, page, a.versions[page], p.Clone(), budget.Done))
	})
}

// write applies at the store after half the delay, whatever becomes of the
// writer meanwhile.
func (a *agents) write(n *node, e budget.WritePage) {
	a.w.counts.Writes++
	a.w.After(a.w.spec.StoreDelay/2, func() {
		result := budget.Done
		switch {
		case a.w.down:
			result = budget.Unavailable
		case a.versions[e.Page] != e.Version:
			result = budget.Conflict
		default:
			a.versions[e.Page]++
			a.pages[e.Page] = e.Value.Clone()
		}
		version := a.versions[e.Page]
		a.later(n, a.w.spec.StoreDelay/2, func() {
			a.perform(n, n.agent.PageWritten(a.w.Now, e.Page, version, result, nil))
		})
	})
}

// Killed implements Sharer.
func (a *agents) Killed(router int) {
	n := a.nodes[router]
	l := &leftover{incarnation: n.name(), held: map[string]int64{}}
	for id, h := range n.agent.Holdings() {
		l.held[id] = h.Balance + h.Writing
	}
	a.dead = append(a.dead, l)
	n.waiting = map[uint64]func(bool){}
}

// Started implements Sharer.
func (a *agents) Started(router int) {
	a.restart[a.nodes[router].name()] = true
	a.boot(a.nodes[router])
}

// Frozen implements Sharer.
func (a *agents) Frozen(int) {}

// Woken implements Sharer.
func (a *agents) Woken(int) {}

// ToppedUp implements Sharer.
func (a *agents) ToppedUp(id string, tokens int64) {
	n := budget.PageOf(id, a.cfg.Pages)
	a.pages[n].Budgets[id].Limit += tokens
	a.versions[n]++
}

// scan reclaims what a dead router left, as the controller does: one at a
// time, while the store and all others answer.
func (a *agents) scan() {
	a.w.After(scanEvery, a.scan)
	if a.w.down || a.w.cut || len(a.dead) != 1 || !a.restart[a.dead[0].incarnation] || a.anyAway() {
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

func (a *agents) anyAway() bool {
	for i := range a.nodes {
		if a.w.killed[i] || a.w.frozen[i] {
			return true
		}
	}
	return false
}

func (a *agents) reclaim(n int, page *budget.Page, l *leftover) {
	stranded := map[string]int64{}
	for id, r := range page.Budgets {
		live := map[string]budget.Holding{}
		for _, other := range a.nodes {
			live[other.name()] = other.agent.Holding(id)
		}
		charged := a.w.books[id].spent + a.w.extra[id]
		if tokens := budget.Stranded(r.Issued(), live, charged); tokens > 0 {
			stranded[id] = tokens
		}
	}
	page.Reclaim([]string{l.incarnation}, stranded)
	a.versions[n]++
	a.w.counts.Writes++
	a.w.counts.Reads++
}

// Where implements Sharer.
func (a *agents) Where(id string) Place {
	var p Place
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
		p.Dead += l.held[id]
	}
	return p
}
