package load

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxRouters and maxRelays bound the sources of a table.
	maxRouters = 2048
	maxRelays  = 128
	// sumsTTL is how long a relay reuses its sums for the answers to further routers, of which there are
	// several hundred a second in a large fleet, and manySumsTTL the same for more than manyServers
	// servers: the sums take milliseconds then.
	sumsTTL     = 100 * time.Millisecond
	manySumsTTL = 150 * time.Millisecond
	manyServers = 1000
	// startupTime is how long after its start a relay may not have heard from all routers.
	startupTime = expireAfter
)

// Table holds the newest report of each router that a relay serves, and of each other relay. It is
// not safe for concurrent use.
type Table struct {
	startedAt time.Time
	routers   map[string]*source
	relays    map[string]*source
	dropped   int64
	// sums are those of all routers, and own those of the routers that this relay serves.
	sums, own sums
}

// source is the newest report of a router or a relay.
type source struct {
	Report
	receivedAt time.Time
}

// NewTable returns an empty table of a relay that started at a time.
func NewTable(startedAt time.Time) *Table {
	return &Table{startedAt: startedAt, routers: map[string]*source{}, relays: map[string]*source{}}
}

// Dropped returns the number of figures and reports that were dropped since the start because they
// make no sense.
func (t *Table) Dropped() int64 { return t.dropped }

// DropMalformed counts a message that was dropped because it cannot be decoded.
func (t *Table) DropMalformed() { t.dropped++ }

// Sources returns the number of routers and relays whose reports are held.
func (t *Table) Sources() (routers, relays int) { return len(t.routers), len(t.relays) }

// SetRouter records what a router reports of its own load. It returns the number of figures that
// were dropped because they make no sense.
func (t *Table) SetRouter(now time.Time, r Report) (dropped int) {
	return t.set(now, t.routers, maxRouters, MaxOwnServers, r)
}

// SetRelay records the sums that another relay reports of the routers that it serves, as SetRouter
// does. They include the relay's own load, unless they are empty, and so replace what it reported
// before it became a relay.
func (t *Table) SetRelay(now time.Time, r Report) (dropped int) {
	if len(r.Servers) > 0 {
		delete(t.routers, r.From)
	}
	return t.set(now, t.relays, maxRelays, MaxServers, r)
}

func (t *Table) set(now time.Time, sources map[string]*source, mostSources, mostServers int, r Report) (dropped int) {
	t.expire(now)
	known, ok := sources[r.From]
	if !ok && len(sources) >= mostSources {
		t.dropped++
		return 1
	}
	if ok && known.Process == r.Process && int32(r.Seq-known.Seq) <= 0 {
		return 0 // a later report has overtaken it
	}
	count := len(r.Servers) + len(r.Links)
	r.Servers = validEntries(now, r.Servers, mostServers)
	r.Links = slices.DeleteFunc(slices.Clone(r.Links), func(l Link) bool { return !l.isValid() || l.At.After(now) })
	dropped = count - len(r.Servers) - len(r.Links)
	t.dropped += int64(dropped)
	sources[r.From] = &source{Report: r, receivedAt: now}
	return dropped
}

// validEntries returns the entries that make sense, without repeated ones and those above the limit.
func validEntries(now time.Time, entries []Entry, most int) []Entry {
	valid := make([]Entry, 0, min(len(entries), most))
	seen := make(map[Key]bool, len(entries))
	for _, e := range entries {
		if len(valid) < most && e.isValid() && !e.At.After(now) && !seen[e.Server] {
			seen[e.Server] = true
			valid = append(valid, e)
		}
	}
	return valid
}

// Relays returns the ids of the relays whose sums are held, in no particular order.
func (t *Table) Relays() []string { return slices.Collect(maps.Keys(t.relays)) }

// ClearRouters drops the reports of routers, when this router ceases to be a relay.
func (t *Table) ClearRouters() {
	clear(t.routers)
	t.sums.at = time.Time{}
}

// expire forgets sources that have sent no report for expireAfter.
func (t *Table) expire(now time.Time) {
	for _, sources := range []map[string]*source{t.routers, t.relays} {
		for id, s := range sources {
			if now.Sub(s.receivedAt) > expireAfter {
				delete(sources, id)
			}
		}
	}
}

// sum is the load of one server over several sources.
type sum struct {
	Entry
	// intervals is the sum of all event intervals, in microseconds: sums of integers do not depend
	// on the order of the sources.
	intervals int64
}

func (s *sum) add(e Entry) {
	if s.At.IsZero() || e.At.Before(s.At) {
		s.At = e.At
	}
	s.InFlight += e.InFlight
	s.PendingTokens += e.PendingTokens
	s.Events += e.Events
	s.intervals += e.EventInterval.Microseconds() * int64(e.Events)
}

func (s *sum) subtract(e Entry) {
	s.InFlight -= e.InFlight
	s.PendingTokens -= e.PendingTokens
	s.Events -= e.Events
	s.intervals -= e.EventInterval.Microseconds() * int64(e.Events)
}

// entry returns the sum with the mean event interval, weighted by the number of events.
func (s *sum) entry() Entry {
	e := s.Entry
	if e.Events > 0 {
		e.EventInterval = time.Duration(s.intervals/int64(e.Events)) * time.Microsecond
	}
	return e
}

// sums are the sums over the sources of a table at a time. Their memory is used again for the next ones:
// with 10,000 servers, allocating it would take most of the time.
type sums struct {
	at time.Time
	// all are the sums, places their places by server, and byLoad the places of the most loaded servers,
	// the most loaded first.
	all    []sum
	places map[Key]int32
	byLoad []int32
	// routers are the reports of routers that the sums include.
	routers map[string]*source
	// links are the loads of links by failure domain, the most loaded first.
	links map[string][]Link
	// oldest is the time of the oldest observation, and truncated is set if a relay left out servers.
	oldest    time.Time
	truncated bool
}

// lifetime returns for how long the sums are used.
func (s *sums) lifetime() time.Duration {
	if len(s.all) > manyServers {
		return manySumsTTL
	}
	return sumsTTL
}

// sumUp sums the loads that routers and relays reported, without figures that are too old.
func (s *sums) sumUp(now time.Time, routers, relays map[string]*source) {
	if s.places == nil {
		s.places = map[Key]int32{}
	}
	clear(s.places)
	s.at, s.oldest, s.all, s.truncated = now, now, s.all[:0], false
	for _, one := range routers {
		s.add(one, maxReportAge)
	}
	for _, one := range relays {
		s.add(one, MaxAge)
	}
	s.byLoad = s.byLoad[:0]
	for i := range s.all {
		s.byLoad = append(s.byLoad, int32(i))
	}
	slices.SortFunc(s.byLoad, func(i, j int32) int { return compareEntries(&s.all[i].Entry, &s.all[j].Entry) })
}

func (s *sums) add(one *source, maxAge time.Duration) {
	s.truncated = s.truncated || one.Truncated
	for _, e := range one.Servers {
		if s.at.Sub(e.At) > maxAge {
			continue
		}
		place, ok := s.places[e.Server]
		if !ok {
			place = int32(len(s.all))
			s.places[e.Server] = place
			s.all = append(s.all, sum{Entry: Entry{Server: e.Server}})
		}
		s.all[place].add(e)
		if e.At.Before(s.oldest) {
			s.oldest = e.At
		}
	}
}

// Sums returns the load of the routers that this relay serves, for the other relays.
func (t *Table) Sums(now time.Time) Report {
	t.expire(now)
	s := &t.own
	s.sumUp(now, t.routers, nil)
	r := Report{Truncated: len(s.byLoad) > MaxServers}
	for _, place := range s.byLoad[:min(len(s.byLoad), MaxServers)] {
		r.Servers = append(r.Servers, s.all[place].entry())
	}
	for _, one := range t.routers {
		r.Links = append(r.Links, one.Links...)
	}
	slices.SortFunc(r.Links, compareLinks)
	return r
}

// Answer is what a relay tells a router of the others.
type Answer struct {
	// Servers are the most loaded servers, the most loaded first, and Links the most loaded links of
	// the router's failure domain.
	Servers []Entry
	Links   []Link
	// Known is set if there are reports of other routers. Oldest is the time of the oldest observation
	// in the sums.
	Known  bool
	Oldest time.Time
	// Complete is set if all other servers have no load.
	Complete bool
}

// AnswerFor returns the sums of all routers without the last report of one router, with at most the
// given number of servers, and the link loads in its failure domain without its own.
func (t *Table) AnswerFor(now time.Time, id, domain string, mostServers int) Answer {
	t.expire(now)
	if t.sums.at.IsZero() || now.Sub(t.sums.at) >= t.sums.lifetime() {
		t.sums.sumUp(now, t.routers, t.relays)
		t.sums.routers = maps.Clone(t.routers)
		t.sums.links = linksOf(now, t.routers, t.relays)
	}
	a := Answer{Links: linksWithout(t.sums.links[domain], RouterKey(id)), Oldest: t.sums.oldest}
	var left bool
	a.Servers, left = t.sums.without(id, min(mostServers, MaxServers))
	a.Known = t.hasOthers(now, id)
	a.Complete = a.Known && !left && !t.sums.truncated && now.Sub(t.startedAt) >= startupTime
	return a
}

// hasOthers reports whether a router or relay other than the given router has reported recently.
func (t *Table) hasOthers(now time.Time, id string) bool {
	for _, sources := range []map[string]*source{t.routers, t.relays} {
		for from, s := range sources {
			if from != id && now.Sub(s.receivedAt) <= MaxAge {
				return true
			}
		}
	}
	return false
}

// without returns the most loaded servers without the load that a router reported, and whether others
// are left out.
func (s *sums) without(id string, most int) (entries []Entry, left bool) {
	own := map[Key]Entry{}
	if report := s.routers[id]; report != nil {
		for _, e := range report.Servers {
			if s.at.Sub(e.At) <= maxReportAge {
				own[e.Server] = e
			}
		}
	}
	entries = make([]Entry, 0, min(most, len(s.byLoad)))
	for _, place := range s.byLoad {
		total := &s.all[place]
		e := total.entry()
		if mine, ok := own[e.Server]; ok {
			rest := *total
			rest.subtract(mine)
			if e = rest.entry(); e.isEmpty() {
				continue
			}
		}
		if len(entries) == most {
			return entries, true
		}
		entries = append(entries, e)
	}
	return entries, false
}

// linksOf returns the loads of links by failure domain, the most loaded first, without those that are
// too old. Of several reports about a router, as after it changed relays, the latest counts.
func linksOf(now time.Time, all ...map[string]*source) map[string][]Link {
	type router struct {
		domain string
		key    Key
	}
	latest := map[router]Link{}
	for _, sources := range all {
		for _, s := range sources {
			for _, l := range s.Links {
				r := router{l.Domain, l.Router}
				if now.Sub(l.At) <= MaxAge && l.supersedes(latest[r]) {
					latest[r] = l
				}
			}
		}
	}
	links := map[string][]Link{}
	for r, l := range latest {
		links[r.domain] = append(links[r.domain], l)
	}
	for _, list := range links {
		slices.SortFunc(list, compareLinks)
	}
	return links
}

// supersedes reports whether a report about a router is later than another one. Of two of the same
// time, the higher load counts.
func (l *Link) supersedes(other Link) bool {
	return l.At.After(other.At) || l.At.Equal(other.At) && compareLinks(*l, other) < 0
}

// linksWithout returns the first links without that of one router.
func linksWithout(links []Link, router Key) []Link {
	kept := make([]Link, 0, MaxLinks)
	for _, l := range links {
		if l.Router != router && len(kept) < MaxLinks {
			kept = append(kept, l)
		}
	}
	return kept
}
