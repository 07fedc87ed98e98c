package retryafter

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// firstTokenOutage is the predicted length of the first outage of the store.
	firstTokenOutage = 5 * time.Second
	// firstBusyPeriod is the predicted length of the first period in which servers are busy: a slot
	// of a plain service is free again after about this time.
	firstBusyPeriod = 250 * time.Millisecond
	// firstStart is the predicted time until a starting router has a configuration.
	firstStart = 300 * time.Millisecond
	// episodeGap is the time without a refusal after which a period of refusals has ended.
	episodeGap = 500 * time.Millisecond
	// shortFor is how long room counts as short after a refusal.
	shortFor = 100 * time.Millisecond
	// maxEpisodes bounds the keys for which episodes are kept; the one refused longest ago is
	// forgotten first.
	maxEpisodes = 64
	// fewRefused is the share of requests up to which refusals show no lasting lack of room.
	fewRefused = 0.1
	// returnShare is the part of the rate of ends that is room for returning callers; the rest
	// serves new requests.
	returnShare = 0.5
)

// Refusal describes a refusal to a Planner.
type Refusal struct {
	Cause Cause
	// Key is what refuses, such as a service; refusals with different keys are independent.
	Key string
	// Wait is the predicted time until there is room; 0: predicted from the time for which requests
	// have been refused.
	Wait time.Duration
	// Rank is the urgency of the request, 0 first, and Left the time that the caller has left.
	Rank int
	Left time.Duration
	// Limited is set if the request was refused for its account's early returns alone, which shows no
	// lack of room.
	Limited bool
}

type episodeKey struct {
	cause Cause
	key   string
}

// Planner computes Retry-After values and keeps what they depend on. It is not safe for concurrent
// use.
type Planner struct {
	rng *rand.Rand
	// outages holds the lengths of earlier periods of refusals by cause.
	outages  [causes]Outages
	episodes map[episodeKey]*episode
	ends     map[string]*eventRate
	// storeLost is when the store was first seen not to answer, and storeSeen when it was last seen
	// so; both are zero while it answers.
	storeLost, storeSeen time.Time
}

// NewPlanner returns a planner without history.
func NewPlanner(rng *rand.Rand) *Planner {
	p := &Planner{rng: rng, episodes: map[episodeKey]*episode{}, ends: map[string]*eventRate{}}
	for c := range p.outages {
		p.outages[c] = NewOutages(firstBusyPeriod)
	}
	p.outages[Tokens] = NewOutages(firstTokenOutage)
	p.outages[Starting] = NewOutages(firstStart)
	return p
}

// Plan returns the Retry-After of a refusal and its inputs, and counts the caller as one that comes
// back then.
func (p *Planner) Plan(now time.Time, r Refusal) (time.Duration, Input) {
	e := p.episode(now, episodeKey{r.Cause, r.Key}, r.Limited)
	in := Input{Cause: r.Cause, Wait: r.Wait, Rank: ClampRank(r.Rank), Left: r.Left}
	if in.Wait <= 0 {
		in.Wait = p.outages[r.Cause].Remaining(now.Sub(e.begun))
		if p.refusesFew(now, e, r.Key) {
			in.Wait = min(in.Wait, firstBusyPeriod)
		}
	}
	e.refused.add(now)
	in.Rate = p.HighestEndsPerSecond(now, r.Key) * returnShare
	in.Ahead, in.Same = e.due.ahead(now, in.Rank)
	after := After(p.rng, in)
	e.due.add(now, in.Rank, honoured(after, r.Left))
	return after, in
}

// refusesFew reports whether only few requests are refused for the service's cause: then there is room,
// and a request that did not find it does so soon, however long such refusals have lasted.
func (p *Planner) refusesFew(now time.Time, e *episode, service string) bool {
	ends, refused := p.EndsPerSecond(now, service), e.refused.perSecond(now)
	return ends > 0 && refused > 0 && refused < fewRefused*(refused+ends)
}

// honoured returns when a caller comes back that received a Retry-After.
func honoured(after, left time.Duration) time.Duration {
	if left <= 0 {
		return after
	}
	return min(after, left/honouredDivisor)
}

// Ended records that a server of a service ended a request, and so has room for another one.
func (p *Planner) Ended(now time.Time, service string) {
	rate := p.ends[service]
	if rate == nil {
		if len(p.ends) == maxEpisodes {
			maps.DeleteFunc(p.ends, func(_ string, r *eventRate) bool { return now.Sub(r.begun) >= rateWindows*rateWindow })
		}
		if len(p.ends) == maxEpisodes {
			return // the rate counts as unknown
		}
		rate = &eventRate{begun: now}
		p.ends[service] = rate
	}
	rate.add(now)
}

// EndsPerSecond returns the rate at which servers of a service end requests of this router; 0: unknown.
func (p *Planner) EndsPerSecond(now time.Time, service string) float64 {
	rate := p.ends[service]
	if rate == nil {
		return 0
	}
	return rate.perSecond(now)
}

// HighestEndsPerSecond returns the highest such rate of the last seconds; 0: unknown.
func (p *Planner) HighestEndsPerSecond(now time.Time, service string) float64 {
	rate := p.ends[service]
	if rate == nil {
		return 0
	}
	return rate.highest(now)
}

// ObserveStore records whether the store leaves this router's calls unanswered.
func (p *Planner) ObserveStore(now time.Time, lost bool) {
	switch {
	case lost && p.storeLost.IsZero():
		p.storeLost, p.storeSeen = now, now
	case lost:
		p.storeSeen = now
	case !p.storeLost.IsZero():
		// Without requests nothing is observed, so the end may be long ago.
		end := p.storeSeen.Add(min(now.Sub(p.storeSeen), episodeGap))
		p.outages[Tokens].Met(end.Sub(p.storeLost))
		p.storeLost, p.storeSeen = time.Time{}, time.Time{}
	}
}

// StoreRemaining returns the predicted time until the store answers again; 0 while it answers.
func (p *Planner) StoreRemaining(now time.Time) time.Duration {
	if p.storeLost.IsZero() {
		return 0
	}
	return p.outages[Tokens].Remaining(now.Sub(p.storeLost))
}

// StoreLostFor returns for how long the store has not answered; 0 while it does.
func (p *Planner) StoreLostFor(now time.Time) time.Duration {
	if p.storeLost.IsZero() {
		return 0
	}
	return now.Sub(p.storeLost)
}

// ReportedOutage records the length of an outage of the store that another router met.
func (p *Planner) ReportedOutage(length time.Duration) { p.outages[Tokens].Met(length) }

// LongestOutage returns the longest outage of the store that is known; 0 if none is.
func (p *Planner) LongestOutage() time.Duration { return p.outages[Tokens].Longest() }

// episode returns the current period of refusals of a key, and begins one if the last one has ended.
func (p *Planner) episode(now time.Time, key episodeKey, limited bool) *episode {
	e := p.episodes[key]
	if e != nil && limited {
		return e
	}
	if e == nil {
		if len(p.episodes) == maxEpisodes {
			p.forgetOldest()
		}
		e = &episode{begun: now, last: now}
		p.episodes[key] = e
	}
	if now.Sub(e.last) > episodeGap {
		if key.cause != Tokens { // the outages of the store are observed by ObserveStore
			// A period of one refusal counts too: otherwise the next chance refusal would get the
			// length of a burst.
			p.outages[key.cause].Met(max(e.last.Sub(e.begun), minRemaining))
		}
		e.begun = now
	}
	e.last = now
	return e
}

// RoomShort reports whether a request was refused for a cause just now.
func (p *Planner) RoomShort(now time.Time, cause Cause, key string) bool {
	e := p.episodes[episodeKey{cause, key}]
	return e != nil && now.Sub(e.last) < shortFor
}

func (p *Planner) forgetOldest() {
	var oldest episodeKey
	var last time.Time
	for key, e := range p.episodes {
		if last.IsZero() || e.last.Before(last) {
			oldest, last = key, e.last
		}
	}
	delete(p.episodes, oldest)
}

// episode is a period in which requests are refused for one cause.
type episode struct {
	// begun and last are the times of the first and the last refusal.
	begun, last time.Time
	refused     eventRate // of refusals
	due         returns
}

const (
	// returnWindow and returnWindows define the resolution and the horizon of expected returns.
	returnWindow  = 250 * time.Millisecond
	returnWindows = 24
)

// returns counts the callers that have yet to come back, by rank and time.
type returns struct {
	// first is the number of the current window since origin; windows are in counts modulo their
	// number.
	origin time.Time
	first  int64
	counts [returnWindows][Ranks]int
}

// advance forgets the returns of past windows.
func (r *returns) advance(now time.Time) {
	if r.origin.IsZero() {
		r.origin = now
	}
	current := int64(now.Sub(r.origin) / returnWindow)
	if current-r.first >= returnWindows {
		r.counts = [returnWindows][Ranks]int{}
		r.first = current
	}
	for ; r.first < current; r.first++ {
		r.counts[r.first%returnWindows] = [Ranks]int{}
	}
}

// add records a caller that comes back after the given time; beyond the horizon it counts at its end.
func (r *returns) add(now time.Time, rank int, after time.Duration) {
	r.advance(now)
	at := int64(now.Add(after).Sub(r.origin) / returnWindow)
	at = min(max(at, r.first), r.first+returnWindows-1)
	r.counts[at%returnWindows][rank]++
}

// ahead returns how many callers of more urgent ranks, and of the same one, have yet to come back.
func (r *returns) ahead(now time.Time, rank int) (ahead, same int) {
	r.advance(now)
	for i := range r.counts {
		for urgent := range rank {
			ahead += r.counts[i][urgent]
		}
		same += r.counts[i][rank]
	}
	return ahead, same
}

const (
	// rateWindow is the time over which rates are measured, and rateWindows the number of
	// windows that are kept.
	rateWindow  = time.Second
	rateWindows = 4
)

// eventRate measures the events per second over the current and the previous windows.
type eventRate struct {
	begun  time.Time
	count  int
	before [rateWindows]int // latest first
}

func (r *eventRate) advance(now time.Time) {
	passed := int(min(now.Sub(r.begun)/rateWindow, rateWindows+1))
	for range passed {
		copy(r.before[1:], r.before[:rateWindows-1])
		r.before[0], r.count = r.count, 0
	}
	if passed > 0 {
		r.begun = now
	}
}

func (r *eventRate) add(now time.Time) {
	r.advance(now)
	r.count++
}

// perSecond returns the present rate.
func (r *eventRate) perSecond(now time.Time) float64 {
	r.advance(now)
	if r.before[0] == 0 {
		return 0 // a window that has only begun is no measurement
	}
	return float64(r.count+r.before[0]) / (now.Sub(r.begun) + rateWindow).Seconds()
}

// highest returns the highest rate of the windows that are kept: while servers take no requests, few
// end, which does not show what they take afterwards.
func (r *eventRate) highest(now time.Time) float64 {
	r.advance(now)
	return float64(slices.Max(r.before[:])) / rateWindow.Seconds()
}
