package budget_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gaplink/gaplink/budget"
)

const testBudget = "b"

// router is one agent with the store calls and requests that are outstanding.
type router struct {
	index, incarnationNumber int
	machine                  machine
	agent                    *budget.Agent
	storeCalls               []budget.Effect // calls not yet answered
	running                  []int64         // reserved by dispatched requests
	cut                      bool            // cannot exchange messages with the other routers
}

func (r *router) incarnation() string { return fmt.Sprintf("r%d/%d", r.index, r.incarnationNumber) }

// network drives agents through faults: messages are delayed, duplicated, reordered or
// lost; the answers of store calls may be lost after the calls took effect.
type network struct {
	t           *rapid.T
	now         time.Time
	page        *budget.Page
	version     int64
	lateWrites  []budget.WritePage // sent, answer lost, not yet arrived
	routers     []*router
	messages    []budget.Message
	taken       map[string]bool // messages that were delivered while a copy is in transit
	spent       int64           // tokens served, as counted by the backend servers
	unreclaimed string          // a dead incarnation whose tokens are not yet reclaimed
	reclaimed   []string        // reclaimed incarnations
	charged     int64           // billed tokens, and the worst case of each attempt that died
	owner       int
	waiting     map[string]int64

	// The limit as the configuration sets it, and whether the store is known to be
	// unavailable; for routers that draw for themselves.
	limit, limitVersion int64
	storeLost           bool
	// finalReserve makes the last fiftieth of the budget a final reserve with a
	// FinalReserveTime of 15 s.
	finalReserve bool
	// sharedOwner makes one router the owner of the budget for all.
	sharedOwner bool
	// manyRouters configures the rules of a large fleet, in which one router should draw for
	// all.
	manyRouters bool
	// successors makes r1 to r3 the only routers that others borrow from without the page.
	successors bool
	// byRank makes requests leave tokens to more urgent ones.
	byRank bool
	// ownerUnknown hides which process runs at the owner.
	ownerUnknown bool
	// scarceWithin bounds what is held of a scarce budget.
	scarceWithin time.Duration
}

func newNetwork(t *rapid.T) *network {
	n := &network{t: t, now: time.Unix(1000, 0), page: budget.NewPage(), version: 1, waiting: map[string]int64{}}
	n.page.Budgets[testBudget] = &budget.Record{Limit: 30, Holders: map[string]int64{}}
	for i := range 3 {
		n.routers = append(n.routers, &router{index: i})
		n.startRouter(n.routers[i])
	}
	return n
}

func (n *network) startRouter(r *router) {
	r.incarnationNumber++
	r.storeCalls, r.running = nil, nil
	cfg := budget.DefaultConfig()
	cfg.Pages = 1
	cfg.Self = budget.Peer{ID: fmt.Sprintf("r%d", r.index), Incarnation: r.incarnation()}
	cfg.Owner = func(time.Time, string) string { return fmt.Sprintf("r%d", n.owner) }
	r.agent = budget.NewAgent(cfg)
	for _, d := range n.reclaimed {
		r.agent.Fence(d)
	}
}

func (n *network) perform(r *router, effects []budget.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case budget.Send:
			n.messages = append(n.messages, e.Message)
		case budget.Resolve:
			key := fmt.Sprint(r.incarnation(), ":", e.Token)
			if need, ok := n.waiting[key]; ok && e.OK {
				r.running = append(r.running, need)
			}
			delete(n.waiting, key)
		case budget.AskSuccessor:
			n.perform(r, r.agent.AskSuccessor(n.at(r), e.Budget))
		case budget.ReadPage, budget.WritePage:
			r.storeCalls = append(r.storeCalls, e)
		}
	}
}

func (n *network) reserve(r *router, need int64) { n.reserveRanked(r, need, 0) }

func (n *network) reserveRanked(r *router, need int64, rank int) {
	token, granted, effects := r.agent.ReserveRanked(n.at(r), testBudget, need, rank)
	if granted {
		r.running = append(r.running, need)
	} else {
		n.waiting[fmt.Sprint(r.incarnation(), ":", token)] = need
	}
	n.perform(r, effects)
}

// finish ends a request: it is served, billed and settled.
func (n *network) finish(r *router, actual int64) {
	if len(r.running) == 0 {
		return
	}
	need := r.running[0]
	r.running = r.running[1:]
	actual = min(actual, need)
	n.spent += actual
	n.charged += actual
	n.perform(r, r.agent.Settle(n.at(r), testBudget, need, actual))
}

// deliver hands a message to its receiver, or reports it undelivered.
func (n *network) deliver(i int, outcome string) {
	if len(n.messages) == 0 {
		return
	}
	i %= len(n.messages)
	m := n.messages[i]
	if outcome != "twice" {
		n.messages = append(n.messages[:i:i], n.messages[i+1:]...)
	}
	to := n.byID(m.To.ID)
	if outcome == "lost" {
		return
	}
	if outcome == "refused" || n.separated(m) || !to.agent.Accepts(m) {
		// The sender learns this for certain only if no copy is delivered at another time:
		// a call has one outcome.
		if outcome != "twice" && !n.taken[fmt.Sprint(m)] {
			n.undelivered(m, true)
		}
		return
	}
	if outcome == "twice" {
		n.markTaken(m)
	}
	n.perform(to, to.agent.Receive(n.at(to), m))
}

// separated reports whether a message cannot reach its receiver.
func (n *network) separated(m budget.Message) bool {
	return m.From.ID != m.To.ID && (n.byID(m.From.ID).cut || n.byID(m.To.ID).cut)
}

// markTaken records that a message was delivered of which another copy is in transit.
func (n *network) markTaken(m budget.Message) {
	if n.taken == nil {
		n.taken = map[string]bool{}
	}
	n.taken[fmt.Sprint(m)] = true
}

func (n *network) undelivered(m budget.Message, certain bool) {
	from := n.byID(m.From.ID)
	if from.incarnation() == m.From.Incarnation {
		n.perform(from, from.agent.Undelivered(n.at(from), m, certain))
	}
}

func (n *network) byID(id string) *router {
	for _, r := range n.routers {
		if fmt.Sprintf("r%d", r.index) == id {
			return r
		}
	}
	panic(id)
}

// answer carries out a router's oldest store call with the given outcome.
func (n *network) answer(r *router, outcome string) {
	if len(r.storeCalls) == 0 {
		return
	}
	e := r.storeCalls[0]
	r.storeCalls = r.storeCalls[1:]
	switch e := e.(type) {
	case budget.ReadPage:
		if outcome != "done" {
			n.perform(r, r.agent.PageRead(n.at(r), 0, 0, nil, budget.Unavailable))
			return
		}
		n.perform(r, r.agent.PageRead(n.at(r), 0, n.version, n.page.Clone(), budget.Done))
	case budget.WritePage:
		n.write(r, e, outcome)
	}
}

func (n *network) write(r *router, e budget.WritePage, outcome string) {
	result := budget.Done
	var current *budget.Page
	switch outcome {
	case "unavailable":
		result = budget.Unavailable
	case "late":
		n.lateWrites = append(n.lateWrites, e)
		result = budget.ResultUnknown
	default:
		if !n.applyWrite(e) {
			result = budget.Conflict
			current = n.page.Clone()
		}
		if outcome == "lost" {
			result = budget.ResultUnknown
		}
	}
	n.perform(r, r.agent.PageWritten(n.at(r), 0, n.version, result, current))
}

func (n *network) applyWrite(e budget.WritePage) bool {
	if e.Version != n.version {
		return false
	}
	n.version++
	n.page = e.Value.Clone()
	return true
}

func (n *network) applyLateWrite() {
	if len(n.lateWrites) > 0 {
		n.applyWrite(n.lateWrites[0])
		n.lateWrites = n.lateWrites[1:]
	}
}

// kill ends a router process. Its requests may have been served up to their worst case,
// which is what they are charged.
func (n *network) kill(r *router) {
	if n.unreclaimed != "" {
		return // tokens left by several dead routers together are written off, not reclaimed
	}
	for _, need := range r.running {
		n.spent += need
		n.charged += need
	}
	n.unreclaimed = r.incarnation()
	n.startRouter(r)
}

// reclaim reclaims the tokens of one dead router, in the same order of steps as the
// controller.
func (n *network) reclaim() {
	dead := n.unreclaimed
	if dead == "" {
		return
	}
	n.unreclaimed = ""
	n.reclaimed = append(n.reclaimed, dead)
	for _, r := range n.routers {
		r.agent.Fence(dead)
	}
	issued := n.page.Budgets[testBudget].Issued()
	live := map[string]budget.Holding{}
	for _, r := range n.routers {
		live[r.incarnation()] = r.agent.Holding(testBudget)
	}
	stranded := budget.Stranded(issued, live, n.charged)
	n.page.Reclaim([]string{dead}, map[string]int64{testBudget: stranded})
	n.version++
}

func (n *network) check() {
	r := n.page.Budgets[testBudget]
	worst := n.spent
	for _, rt := range n.routers {
		for _, need := range rt.running {
			worst += need
		}
	}
	if worst > r.Limit {
		n.t.Fatalf("%d tokens spent or in flight, limit %d", worst, r.Limit)
	}
	if r.Issued() > r.Limit {
		n.t.Fatalf("%d tokens issued, limit %d", r.Issued(), r.Limit)
	}
}

// settle runs the network without further faults until it is idle.
func (n *network) settle() {
	for range 60 {
		n.now = n.now.Add(time.Second)
		n.applyLateWrite()
		for _, r := range n.routers {
			for len(r.running) > 0 {
				n.finish(r, 1)
			}
			n.perform(r, r.agent.Tick(n.at(r)))
			for len(r.storeCalls) > 0 {
				n.answer(r, "done")
			}
		}
		for i := 0; len(n.messages) > 0; i++ {
			if i > 10000 {
				n.t.Fatalf("messages without end: %+v", n.messages[0])
			}
			n.deliver(0, "once")
		}
	}
}

func actions(n *network) map[string]func(*rapid.T) {
	pick := rapid.IntRange(0, 2)
	tokens := rapid.Int64Range(1, 9)
	storeOutcome := rapid.SampledFrom([]string{"done", "done", "done", "unavailable", "lost", "late"})
	messageOutcome := rapid.SampledFrom([]string{"once", "once", "once", "twice", "lost", "refused"})
	return map[string]func(*rapid.T){
		"reserve": func(t *rapid.T) { n.reserve(n.routers[pick.Draw(t, "router")], tokens.Draw(t, "need")) },
		"finish":  func(t *rapid.T) { n.finish(n.routers[pick.Draw(t, "router")], tokens.Draw(t, "actual")) },
		"deliver": func(t *rapid.T) {
			n.deliver(rapid.IntRange(0, 5).Draw(t, "message"), messageOutcome.Draw(t, "fate"))
		},
		"store":   func(t *rapid.T) { n.answer(n.routers[pick.Draw(t, "router")], storeOutcome.Draw(t, "fate")) },
		"arrive":  func(*rapid.T) { n.applyLateWrite() },
		"home":    func(t *rapid.T) { n.owner = pick.Draw(t, "home") },
		"kill":    func(t *rapid.T) { n.kill(n.routers[pick.Draw(t, "router")]) },
		"reclaim": func(*rapid.T) { n.reclaim() },
		"tick": func(t *rapid.T) {
			n.now = n.now.Add(time.Duration(rapid.IntRange(1, 6000).Draw(t, "ms")) * time.Millisecond)
			for _, r := range n.routers {
				n.perform(r, r.agent.Tick(n.at(r)))
			}
		},
		"": func(*rapid.T) { n.check() },
	}
}

// TestNeverOverspends drives three routers through random faults: lost, late and
// duplicated messages, lost answers, store outages, process deaths and reclaims.
func TestNeverOverspends(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(t)
		t.Repeat(actions(n))
		n.settle()
		n.check()
		if len(n.waiting) > 0 && anyAlive(n) {
			t.Fatalf("reservations never answered: %v", n.waiting)
		}
	})
}

// anyAlive reports whether a waiting reservation belongs to a live process.
func anyAlive(n *network) bool {
	for key := range n.waiting {
		for _, r := range n.routers {
			if strings.HasPrefix(key, r.incarnation()+":") {
				return true
			}
		}
	}
	return false
}

// soleOwner returns an agent that is the owner of every budget.
func soleOwner() (*budget.Agent, budget.Peer) {
	cfg := budget.DefaultConfig()
	cfg.Pages = 1
	cfg.Self = budget.Peer{ID: "r0", Incarnation: "r0/1"}
	cfg.Owner = func(time.Time, string) string { return "r0" }
	return budget.NewAgent(cfg), cfg.Self
}

// TestUndeliveredToFencedStaysGone guards against tokens that exist twice when a message
// fails after its receiver was reclaimed: they went back to the budget with the
// receiver's, so the sender must not take them back too.
func TestUndeliveredToFencedStaysGone(t *testing.T) {
	a, self := soleOwner()
	now := time.Unix(1000, 0)
	dead := budget.Peer{ID: "r1", Incarnation: "r1/1"}
	a.Receive(now, budget.Message{Kind: budget.Back, Budget: testBudget, From: budget.Peer{ID: "r2", Incarnation: "r2/1"}, To: self, Total: 9, Delta: 9})
	effects := a.Receive(now, budget.Message{Kind: budget.Recall, Budget: testBudget, From: dead, To: self})
	sent, ok := effects[0].(budget.Send)
	if !ok || sent.Message.Delta != 9 {
		t.Fatalf("want 9 tokens given back, got %+v", effects)
	}
	a.Fence(dead.Incarnation)
	a.Undelivered(now, sent.Message, true)
	if held := a.Holding(testBudget).Balance; held != 0 {
		t.Fatalf("%d tokens exist twice", held)
	}
}

// TestSealedAgentAcceptsNoTokens guards against a router that has returned everything and
// is about to end its registration, but accepts tokens that it would have to return late.
func TestSealedAgentAcceptsNoTokens(t *testing.T) {
	a, self := soleOwner()
	now := time.Unix(1000, 0)
	a.Close(now)
	if !a.Closed() {
		t.Fatal("an empty agent is not closed")
	}
	a.Seal()
	m := budget.Message{Kind: budget.Back, Budget: testBudget, From: budget.Peer{ID: "r1", Incarnation: "r1/1"}, To: self, Total: 5, Delta: 5}
	if a.Accepts(m) {
		t.Fatal("a sealed agent accepts tokens")
	}
	a.Receive(now, m)
	if effects := a.Tick(now.Add(time.Hour)); len(effects) != 0 || a.Holding(testBudget).Balance != 0 {
		t.Fatalf("a sealed agent still acts: %+v", effects)
	}
}
