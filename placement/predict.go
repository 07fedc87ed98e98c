package placement

import (
	"math"
	"math/rand/v2"
	"time"
)

// A request of a route with an event objective goes to the server with the least expected loss among a
// few candidates. The loss is in units of one late request.

const (
	// orderedCandidates is the number of candidates in the prefix's rendezvous order that are not
	// overloaded, and maxOrdered the number of servers among which they are sought. They are the same at
	// all routers, so that a prefix spreads over as few servers as it needs. A prefix with a third of
	// all long prompts overloads its first four.
	orderedCandidates = 4
	maxOrdered        = 8
	// busyShare is the predicted wait, as a share of the objective for the first event, above which a
	// server is overloaded.
	busyShare = 0.5
	// drawnCandidates is the number of candidates drawn at random, and maxDraws the number of draws for
	// them. They keep routers with the same old figures from choosing the same server.
	drawnCandidates = 2
	maxDraws        = 8
	// nearEqual is the difference in loss up to which candidates are equal, and one is drawn.
	nearEqual = 0.03
	// riskSlope is how steeply the probability of being late rises around the objective: a prediction
	// of 0.7 of the objective is late in one case of twelve.
	riskSlope = 8.0
	// delayPrice is the loss for each multiple of the objective in the predicted time to the first
	// event: among late candidates the earliest is the best.
	delayPrice = 0.3
	// loadPrice is the loss at a full batch. It spreads requests before any of them is late.
	loadPrice = 0.08
	// harmShare is the part of the streams at a server for which a further prompt decides whether they
	// are late; the others are in time or late without it.
	harmShare = 0.3
	// rereadPrice is the loss for each prompt token that is read again. At 1/2500, a burst of long prompts at
	// 7 routers in the model reads more tokens again than the choice by limits.
	rereadPrice = 1.0 / 1500
	// spreadOffset is added to the expected first event, as a multiple of the objective, when a prefix is
	// spread: an idle server gets about five times the requests of one whose first event is expected just
	// in time.
	spreadOffset = 0.3
	// pieceTokens is the size of the pieces in which engines read prompts between two steps.
	pieceTokens = 1024
	// longestToMean is the ratio of the longest usual prompt of a service to its mean.
	longestToMean = 1.5
	// defaultSlots and defaultEventTokens hold for services that do not state theirs.
	defaultSlots       = 32
	defaultEventTokens = 5
	// eventsPerStream is the number of events after which a running stream frees its slot.
	eventsPerStream = 30
	// cachedSent is the probability that a server has a prefix cached that this router sent there
	// within prefixTTL, and cachedHome that of the first server in the prefix's order. It halves for each
	// further one, unless the prefix is hot: then all have it. The prefixes of a server have moved to the
	// next one when it is overloaded or has been slow for movedAfter, since other routers avoid it too.
	cachedSent = 0.95
	cachedHome = 0.9
	movedAfter = 5 * time.Second
)

// Reason is why a server was chosen.
type Reason int

// Reasons for a choice.
const (
	// ByLimits: without a prediction, by prefix and own requests in flight.
	ByLimits Reason = iota
	// ByOrder: the first server in the order of the prefix.
	ByOrder
	// BySpread: a further server in the order of the prefix.
	BySpread
	// ByDraw: a server drawn at random.
	ByDraw
	reasonCount
)

// String returns the reason as a metric label.
func (r Reason) String() string { return [reasonCount]string{"limits", "order", "spread", "draw"}[r] }

// Choices returns the number of requests by the reason for the choice of their server.
func (f *Servers) Choices() map[string]int64 {
	choices := make(map[string]int64, reasonCount)
	for r, n := range f.choices {
		choices[Reason(r).String()] = n
	}
	return choices
}

// candidate is a server that may be chosen.
type candidate struct {
	server *state
	reason Reason
	rank   uint64
	loss   float64
	// cached is the probability that the server has the prefix cached. wait and first are the predicted
	// times until it begins to read the prompt and to the first event, as multiples of the objective,
	// and pauses is the probability of a late event.
	cached, wait, first, pauses float64
}

// candidateList holds the candidates of a request in a fixed array, because a choice must not allocate
// memory.
type candidateList struct {
	list  [maxOrdered + drawnCandidates]candidate
	count int
}

func (c *candidateList) has(s *state) bool {
	for i := range c.count {
		if c.list[i].server == s {
			return true
		}
	}
	return false
}

// insert adds a server to the ordered candidates, and drops the last of more than maxOrdered.
func (c *candidateList) insert(s *state, rank uint64) {
	at := c.count
	if c.count == maxOrdered {
		at--
	} else {
		c.count++
	}
	for ; at > 0 && c.list[at-1].rank < rank; at-- {
		c.list[at] = c.list[at-1]
	}
	c.list[at] = candidate{server: s, rank: rank, reason: BySpread}
}

// sharesPrefix reports whether a part of the prompt may be cached at servers.
func (q *Query) sharesPrefix() bool { return q.Affinity != 0 && q.Prompt > q.Tokens }

// predicts reports whether the server of a request is chosen by prediction.
func (q *Query) predicts() bool { return q.EventObjective > 0 && q.FirstObjective > 0 }

// pickByPrediction returns the server with the least expected loss, or nil if the choice cannot be made
// by prediction: the route has no objectives, there are no recent figures, or no candidate is eligible.
func (f *Servers) pickByPrediction(rng *rand.Rand, q *Query) *state {
	if !q.predicts() {
		return nil
	}
	g := f.groupOf(q.Service)
	f.updateSpeeds(g, q.Now)
	if !g.speeds.known() {
		return nil
	}
	limits, ok := f.limitsFor(g, *q, false)
	if !ok {
		return nil
	}
	limits.inFlight, limits.pending = math.MaxInt, math.MaxInt64
	var c candidateList
	f.collect(&c, g, rng, q, &limits)
	best := f.leastLoss(&c, g, rng, q)
	if best == nil {
		return nil
	}
	f.choices[best.reason]++
	if q.sharesPrefix() {
		f.prefixes.sent(q.Now, prefixKey(q.Affinity, best.server))
		f.prefixes.use(q.Now, q.Affinity)
	}
	return best.server
}

// collect collects the candidates for a request.
func (f *Servers) collect(c *candidateList, g *group, rng *rand.Rand, q *Query, limits *pickLimits) {
	key := q.Affinity
	if key == 0 {
		key = f.order
	}
	for i, hash := range g.hashes {
		rank := mix(key ^ hash)
		if c.count == maxOrdered && rank <= c.list[maxOrdered-1].rank {
			continue
		}
		if s := g.list[i]; f.accepts(s, q, limits) {
			c.insert(s, rank)
		}
	}
	if c.count > 0 {
		c.list[0].reason = ByOrder
	}
	drawn := 0
	for range maxDraws {
		if c.count == 0 || drawn == drawnCandidates {
			return
		}
		s := g.list[rng.IntN(len(g.list))]
		if !c.has(s) && f.accepts(s, q, limits) {
			c.list[c.count] = candidate{server: s, reason: ByDraw}
			c.count++
			drawn++
		}
	}
}

// leastLoss returns a random one of the candidates with nearly the least loss.
func (f *Servers) leastLoss(c *candidateList, g *group, rng *rand.Rand, q *Query) *candidate {
	least, home, ordered := math.Inf(1), cachedHome, 0
	hot := q.sharesPrefix() && f.prefixes.isHot(q.Now, q.Affinity)
	for i := range c.count {
		next := &c.list[i]
		if next.reason != ByDraw {
			if ordered == orderedCandidates {
				next.loss = math.Inf(1)
				continue
			}
			next.cached = home
		}
		f.predict(g, next, q)
		if next.reason != ByDraw && next.wait <= busyShare {
			ordered++
			if !hot && !next.server.speed.SlowFor(q.Now, movedAfter) {
				home /= 2
			}
		}
		least = min(least, next.loss)
	}
	if q.sharesPrefix() {
		if best := c.spread(rng); best != nil {
			return best
		}
	}
	var best *candidate
	equal := 0
	for i := range c.count {
		if c.list[i].loss > least+nearEqual {
			continue
		}
		equal++
		if rng.IntN(equal) == 0 {
			best = &c.list[i]
		}
	}
	return best
}

// spread draws one of the servers that have the prefix cached and are not slow, if one that has it cached
// is overloaded; otherwise it returns nil. With the least loss alone, all routers sent a hot prefix to
// the same server until the next report. Servers count less the later a first event is expected there.
func (c *candidateList) spread(rng *rand.Rand) *candidate {
	var best *candidate
	sum, overloaded := 0.0, false
	for i := range c.count {
		next := &c.list[i]
		if next.cached < cachedHome || math.IsInf(next.loss, 1) {
			continue
		}
		overloaded = overloaded || next.wait > busyShare
		if next.server.speed.Slow() {
			continue
		}
		weight := (1 - next.pauses) * (1 - risk(next.first)) / (next.first + spreadOffset)
		sum += weight
		if rng.Float64()*sum < weight {
			best = next
		}
	}
	if !overloaded {
		return nil
	}
	return best
}

// predict predicts the times of a request at a candidate and derives its loss. The candidate's
// probability of having the prefix cached is raised if this router has sent the prefix there.
func (f *Servers) predict(g *group, c *candidate, q *Query) {
	v, s := &g.speeds, c.server
	requests, slots := s.requests(q.Now), s.slots(q)
	running := min(requests+1, slots)
	event := v.eventTime(s, running)
	var again float64
	if q.sharesPrefix() {
		if f.prefixes.has(q.Now, prefixKey(q.Affinity, s)) {
			c.cached = max(c.cached, cachedSent)
		}
		again = (1 - c.cached) * float64(q.Prompt-q.Tokens)
	}
	unread := float64(q.Tokens) + again
	wait := v.waitingTime(s, q, event*eventsPerStream*max(float64(requests+1-slots), 0)/float64(slots))
	c.wait = wait / q.FirstObjective.Seconds()
	c.first = (event + wait + v.readingTime(s, unread)) / q.FirstObjective.Seconds()

	pause := q.EventObjective.Seconds()
	longest := v.readingTime(s, q.readBesideEvent(longestToMean*f.meanPrompt[q.Service]))
	c.pauses = risk((event + longest) / pause)
	beside := risk((event + v.readingTime(s, q.readBesideEvent(unread))) / pause)

	c.loss = 1 - (1-risk(c.first))*(1-c.pauses) + delayPrice*c.first +
		harmShare*float64(running-1)*beside + loadPrice*float64(running)/float64(slots) + rereadPrice*again
}

// waitingTime returns the time in seconds until a server begins to read another prompt: the largest of
// what its pending prompts and its full slots (slotTime) and what the recent first events of this
// router's own requests suggest. Of the prompts that other routers reported as pending, those count
// that cannot have been read since: without this, reports a second old send prompts away from servers
// that are idle by then.
func (v *speeds) waitingTime(s *state, q *Query, slotTime float64) float64 {
	pending := v.readingTime(s, float64(s.pending))
	if l, ok := s.freshLoad(q.Now); ok {
		pending += max(v.readingTime(s, float64(l.PendingTokens))-q.Now.Sub(l.At).Seconds(), 0)
	}
	if q.LinkSaturated {
		return pending + slotTime
	}
	return max(pending+slotTime, s.delay(q.Now), s.waiting(q.Now))
}

// readBesideEvent returns how many tokens of a prompt are read during one event of another stream: at
// most one piece in each step, of which an event takes as many as it has tokens.
func (q *Query) readBesideEvent(prompt float64) float64 {
	steps := float64(q.EventTokens)
	if steps == 0 {
		steps = defaultEventTokens
	}
	return min(prompt, steps*pieceTokens)
}

// slots returns the number of requests that a server runs concurrently.
func (s *state) slots(q *Query) int {
	switch {
	case s.Slots > 0:
		return s.Slots
	case q.Slots > 0:
		return q.Slots
	default:
		return defaultSlots
	}
}

// risk returns the probability of being late for a prediction, as a multiple of the objective.
func risk(multiple float64) float64 { return 1 / (1 + math.Exp(riskSlope*(1-multiple))) }

const (
	// prefixSlots is the number of pairs of prefix and server that are remembered; a power of two.
	prefixSlots = 4096
	// hotShare is the share of the requests with shared prefixes from which a prefix is hot, and
	// minHotUses the number of own uses that this takes: a service with a hundred servers reads about
	// one prompt in a hundred at each.
	hotShare   = 0.05
	minHotUses = 3
	// prefixTTL is how long a server is expected to have a prefix cached.
	prefixTTL = 20 * time.Second
)

// prefixMemory remembers which prefixes this router has sent to which servers. Pairs that share a slot
// replace each other.
type prefixMemory struct {
	keys [prefixSlots]uint64
	at   [prefixSlots]int64 // in Unix nanoseconds
	// uses counts the uses of prefixes, and total those of all; older ones count less.
	uses  [prefixSlots]prefixUses
	total prefixUses
}

// prefixUses counts uses of a prefix, of which older ones count less.
type prefixUses struct {
	key   uint64
	count float64
	at    int64 // in Unix nanoseconds
}

// current returns the count as of a time.
func (u *prefixUses) current(now int64) float64 {
	return u.count * math.Exp(-float64(now-u.at)/float64(prefixTTL))
}

// add counts a use of a prefix, which replaces another one.
func (u *prefixUses) add(now int64, key uint64) {
	if u.key != key {
		u.count = 0
	}
	u.key, u.count, u.at = key, u.current(now)+1, now
}

// use counts a use of a prefix.
func (m *prefixMemory) use(now time.Time, affinity uint64) {
	m.uses[affinity%prefixSlots].add(now.UnixNano(), affinity)
	m.total.add(now.UnixNano(), 0)
}

// isHot reports whether so large a part of the requests have a prefix that it needs several servers.
func (m *prefixMemory) isHot(now time.Time, affinity uint64) bool {
	u := &m.uses[affinity%prefixSlots]
	if u.key != affinity {
		return false
	}
	count := u.current(now.UnixNano())
	return count >= minHotUses && count >= hotShare*m.total.current(now.UnixNano())
}

func prefixKey(affinity uint64, s *state) uint64 {
	return mix(affinity ^ s.hash ^ uint64(s.Started)*0x9e3779b97f4a7c15)
}

func (m *prefixMemory) sent(now time.Time, key uint64) {
	i := key % prefixSlots
	m.keys[i], m.at[i] = key, now.UnixNano()
}

func (m *prefixMemory) has(now time.Time, key uint64) bool {
	i := key % prefixSlots
	return m.keys[i] == key && now.UnixNano()-m.at[i] < int64(prefixTTL)
}
