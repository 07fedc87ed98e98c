package placement

import (
	"math"
	"math/rand/v2"
	"time"
)

// A request of a route with an event objective goes to the server with the least expected loss among a
// few candidates. The loss is in units of one late request.

const (
	// orderedCandidates is the number of candidates in the prefix's rendezvous order. They are the same
	// at all routers, so that a prefix spreads over as few servers as it needs.
	orderedCandidates = 4
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
	delayPrice = 0.1
	// loadPrice is the loss at a full batch. It spreads requests before any of them is late.
	loadPrice = 0.1
	// harmShare is the part of the streams at a server for which a further prompt decides whether they
	// are late; the others are in time or late without it.
	harmShare = 0.3
	// rereadPrice is the loss for each prompt token that is read again.
	rereadPrice = 1.0 / 8000
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
	// within prefixTTL, and cachedHome that of the first server in the prefix's order that is not slow for long.
	// It halves for each further one. The prefixes of a server have moved to the next one when it has
	// been slow for movedAfter, since other routers avoid it too.
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
}

// candidates of a request, in a fixed array because a choice must not allocate memory.
type candidateList struct {
	list  [orderedCandidates + drawnCandidates]candidate
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

// insert adds a server to the ordered candidates, and drops the last of more than orderedCandidates.
func (c *candidateList) insert(s *state, rank uint64) {
	at := c.count
	if c.count == orderedCandidates {
		at--
	} else {
		c.count++
	}
	for ; at > 0 && c.list[at-1].rank < rank; at-- {
		c.list[at] = c.list[at-1]
	}
	c.list[at] = candidate{server: s, rank: rank, reason: BySpread}
}

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
	if q.Affinity != 0 {
		f.prefixes.sent(q.Now, prefixKey(q.Affinity, best.server))
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
		if c.count == orderedCandidates && rank <= c.list[orderedCandidates-1].rank {
			continue
		}
		if s := g.list[i]; f.accepts(s, q, limits) {
			c.insert(s, rank)
		}
	}
	if c.count > 0 {
		c.list[0].reason = ByOrder
	}
	for range maxDraws {
		if c.count == 0 || c.count >= min(len(c.list), len(g.list)) {
			return
		}
		s := g.list[rng.IntN(len(g.list))]
		if !c.has(s) && f.accepts(s, q, limits) {
			c.list[c.count] = candidate{server: s, reason: ByDraw}
			c.count++
		}
	}
}

// leastLoss returns a random one of the candidates with nearly the least loss.
func (f *Servers) leastLoss(c *candidateList, g *group, rng *rand.Rand, q *Query) *candidate {
	least, home := math.Inf(1), cachedHome
	for i := range c.count {
		next := &c.list[i]
		cached := 0.0
		if next.reason != ByDraw {
			cached = home
			if !next.server.speed.SlowFor(q.Now, movedAfter) {
				home /= 2
			}
		}
		next.loss = f.loss(g, next.server, q, cached)
		least = min(least, next.loss)
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

// loss returns the expected loss of running a request at a server that has its prefix cached with the
// given probability, as far as this router has not sent the prefix there itself.
func (f *Servers) loss(g *group, s *state, q *Query, cached float64) float64 {
	v := &g.speeds
	requests, pending := s.requests(q.Now), float64(s.pending)
	if l, ok := s.freshLoad(q.Now); ok {
		pending += float64(l.PendingTokens)
	}
	slots := s.slots(q)
	running := min(requests+1, slots)
	event := v.eventTime(s, running)

	var again float64
	if shared := q.Prompt - q.Tokens; shared > 0 && q.Affinity != 0 {
		if f.prefixes.has(q.Now, prefixKey(q.Affinity, s)) {
			cached = max(cached, cachedSent)
		}
		again = (1 - cached) * float64(shared)
	}
	unread := float64(q.Tokens) + again

	ahead := v.readingTime(s, pending)
	if full := requests + 1 - slots; full > 0 {
		ahead += event * eventsPerStream * float64(full) / float64(slots)
	}
	first := (event + v.readingTime(s, unread) + max(ahead, s.delay(q.Now))) / q.FirstObjective.Seconds()

	pause := q.EventObjective.Seconds()
	longest := v.readingTime(s, f.piecesPerEvent(q, longestToMean*f.meanPrompt[q.Service])*pieceTokens)
	own := risk((event + longest) / pause)
	beside := risk((event + v.readingTime(s, f.piecesPerEvent(q, unread)*pieceTokens)) / pause)

	return 1 - (1-risk(first))*(1-own) + delayPrice*first +
		harmShare*float64(running-1)*beside + loadPrice*float64(running)/float64(slots) + rereadPrice*again
}

// piecesPerEvent returns how many pieces of a prompt can be read during one event of a stream: at most
// one in each step, of which an event takes as many as it has tokens.
func (f *Servers) piecesPerEvent(q *Query, tokens float64) float64 {
	steps := float64(q.EventTokens)
	if steps == 0 {
		steps = defaultEventTokens
	}
	return min(tokens/pieceTokens, steps)
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
	// prefixTTL is how long a server is expected to have a prefix cached.
	prefixTTL = 20 * time.Second
)

// prefixMemory remembers which prefixes this router has sent to which servers. Pairs that share a slot
// replace each other.
type prefixMemory struct {
	keys [prefixSlots]uint64
	at   [prefixSlots]int64 // in Unix nanoseconds
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
