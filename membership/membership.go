// Package membership holds one router's view of the other routers and ranks
// them for controller roles. It does no I/O and reads no clock: callers pass the time.
//
// No safety property depends on this view. If two routers both assume that
// they own a budget or a shard, the store's conditional updates resolve the
// conflict, not the list.
package membership

import (
	"iter"
	"maps"
	"net"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is an instance's state in the platform's list.
type State string

// The states of the platform's list.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Member is an instance of the platform's list.
type Member struct {
	// ID is the instance's name, unique in the fleet.
	ID string `json:"id"`
	// Kind is "router" or "backend".
	Kind string `json:"kind"`
	// Addr is the address (IP:port) for traffic between routers, or of the
	// backend server.
	Addr string `json:"addr"`
	// Domain is the failure domain.
	Domain string `json:"domain"`
	// State is live or leaving.
	State State `json:"state"`
	// LinkMbps is the capacity of its network link, or 0 if unknown. Roles that
	// serve other routers go to the members with the largest links.
	LinkMbps float64 `json:"link_mbps,omitempty"`
	// Incarnation is the last known process of the instance.
	Incarnation string `json:"incarnation,omitempty"`
}

// Host returns the IP address of a member; empty if its address has none.
func (m Member) Host() string {
	host, _, err := net.SplitHostPort(m.Addr)
	if err != nil {
		return ""
	}
	return host
}

// suspectFor is how long a member is suspected after a failed call.
const suspectFor = 2 * time.Second

// View is one router's knowledge of the members. It is not safe for
// concurrent use.
type View struct {
	self         string
	members      map[string]Member
	suspectUntil map[string]time.Time
	leaving      map[string]bool
	// orders caches the listed members by role, in the order of Largest. It is cleared when the
	// list changes.
	orders map[string][]string
	// domains caches the sorted failure domains of the members, and domainSizes the number of members
	// of each. They are nil until computed.
	domains     []string
	domainSizes map[string]int
}

// dropCaches drops the caches that are computed from the list.
func (v *View) dropCaches() {
	clear(v.orders)
	v.domains, v.domainSizes = nil, nil
}

// Domains returns the sorted failure domains of the listed members. The caller must not modify
// the slice.
func (v *View) Domains() []string {
	v.countDomains()
	return v.domains
}

// DomainSize returns the number of listed members in a failure domain.
func (v *View) DomainSize(domain string) int {
	v.countDomains()
	return v.domainSizes[domain]
}

func (v *View) countDomains() {
	if v.domains != nil {
		return
	}
	v.domainSizes = map[string]int{}
	for _, m := range v.members {
		v.domainSizes[m.Domain]++
	}
	v.domains = slices.Sorted(maps.Keys(v.domainSizes))
}

// NewView returns a view that contains only the router itself.
func NewView(self Member) *View {
	return &View{
		self:         self.ID,
		members:      map[string]Member{self.ID: self},
		suspectUntil: make(map[string]time.Time),
		leaving:      make(map[string]bool),
		orders:       make(map[string][]string),
	}
}

// Add adds or updates a member. If m has no incarnation and the address is unchanged, the known
// incarnation is kept.
func (v *View) Add(m Member) {
	known, had := v.members[m.ID]
	if m.ID == v.self {
		return
	}
	if m.Incarnation == "" && m.Addr == known.Addr {
		m.Incarnation = known.Incarnation
	}
	v.members[m.ID] = m
	known.Incarnation = m.Incarnation
	if !had || known != m {
		v.dropCaches()
	}
}

// Remove removes a member.
func (v *View) Remove(id string) {
	if _, had := v.members[id]; !had || id == v.self {
		return
	}
	delete(v.members, id)
	delete(v.suspectUntil, id)
	delete(v.leaving, id)
	v.dropCaches()
}

// SetIncarnation sets the process that runs at a member. An empty string means unknown.
func (v *View) SetIncarnation(id, incarnation string) {
	if m, ok := v.members[id]; ok && id != v.self {
		m.Incarnation = incarnation
		v.members[id] = m
	}
}

// SetList replaces the members by the platform's list. The router itself always
// stays, and a member known to be leaving stays so until it is missing from a
// list, since a stale list may still report it as live.
func (v *View) SetList(members []Member) {
	next := map[string]Member{v.self: v.members[v.self]}
	for _, m := range members {
		if m.Kind != "router" || m.ID == v.self {
			continue
		}
		next[m.ID] = m
	}
	for id := range v.leaving {
		if _, ok := next[id]; !ok {
			delete(v.leaving, id)
		}
	}
	v.members = next
	v.dropCaches()
}

// SetLeaving records that a member has announced that it is leaving.
func (v *View) SetLeaving(id string) {
	v.leaving[id] = true
	v.dropCaches()
}

// ReportFailure records that a call to the member failed.
func (v *View) ReportFailure(now time.Time, id string) {
	v.suspectUntil[id] = now.Add(suspectFor)
}

// ReportSuccess records that the member answered.
func (v *View) ReportSuccess(id string) {
	delete(v.suspectUntil, id)
}

// Suspected reports whether a call to the member failed within suspectFor.
func (v *View) Suspected(now time.Time, id string) bool {
	until, ok := v.suspectUntil[id]
	return ok && now.Before(until)
}

// Member returns the member with the given id.
func (v *View) Member(id string) (Member, bool) {
	m, ok := v.members[id]
	return m, ok
}

// HasHost reports whether a listed router other than this one has an IP address.
func (v *View) HasHost(ip string) bool {
	for id, m := range v.members {
		if id != v.self && m.Host() == ip {
			return true
		}
	}
	return false
}

// Len returns the number of listed members.
func (v *View) Len() int { return len(v.members) }

// Members returns all listed members sorted by id.
func (v *View) Members() []Member {
	all := make([]Member, 0, len(v.members))
	for _, m := range v.members {
		all = append(all, m)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return all
}

// usable reports whether the member may take roles.
func (v *View) usable(now time.Time, m Member) bool {
	return m.State == Live && !v.leaving[m.ID] && !v.Suspected(now, m.ID)
}

// score returns the rendezvous hash of a member for a role.
func score(role, id string) uint64 { return xxhash.Sum64String(role + "\x00" + id) }

// Rank returns the ids of the usable members for a role, best first, by
// rendezvous hashing. The router itself is in the list unless it is leaving.
func (v *View) Rank(now time.Time, role string) []string {
	type scored struct {
		id    string
		score uint64
	}
	var list []scored
	for id, m := range v.members {
		if v.usable(now, m) {
			list = append(list, scored{id, score(role, id)})
		}
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].score != list[j].score {
			return list[i].score > list[j].score
		}
		return list[i].id < list[j].id
	})
	ids := make([]string, len(list))
	for i, s := range list {
		ids[i] = s.id
	}
	return ids
}

// Live returns the number of usable members.
func (v *View) Live(now time.Time) int {
	n := 0
	for _, m := range v.members {
		if v.usable(now, m) {
			n++
		}
	}
	return n
}

// Largest yields the usable members for a role, ordered by link capacity and then by rendezvous
// hashing. The order is cached until the list changes.
func (v *View) Largest(now time.Time, role string) iter.Seq[Member] {
	return func(yield func(Member) bool) {
		for _, id := range v.order(role) {
			if v.Suspected(now, id) {
				continue
			}
			if !yield(v.members[id]) {
				return
			}
		}
	}
}

// order returns the live listed members in the order of Largest, including suspected ones.
func (v *View) order(role string) []string {
	if ids, ok := v.orders[role]; ok {
		return ids
	}
	list := make([]candidate, 0, len(v.members))
	for id, m := range v.members {
		if m.State == Live && !v.leaving[id] {
			list = append(list, candidate{id: id, link: m.LinkMbps, score: score(role, id)})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].precedes(list[j]) })
	ids := make([]string, len(list))
	for i, c := range list {
		ids[i] = c.id
	}
	v.orders[role] = ids
	return ids
}

// Precedes reports whether Largest ranks a member before another one for a role. An unlisted
// member is ranked last.
func (v *View) Precedes(role, id, other string) bool {
	m, ok := v.members[id]
	if !ok {
		return false
	}
	o, ok := v.members[other]
	if !ok {
		return true
	}
	return candidate{id, m.LinkMbps, score(role, id)}.precedes(candidate{other, o.LinkMbps, score(role, other)})
}

// Owners returns the first live listed members in the order of Largest, including suspected
// ones, so that routers that suspect different members agree on the owners.
func (v *View) Owners(role string, most int) []string {
	var first []candidate
	for id, m := range v.members {
		if m.State != Live || v.leaving[id] {
			continue
		}
		c := candidate{id: id, link: m.LinkMbps, score: xxhash.Sum64String(role + "\x00" + id)}
		at := len(first)
		for at > 0 && c.precedes(first[at-1]) {
			at--
		}
		if at < most {
			first = slices.Insert(first, at, c)
			first = first[:min(len(first), most)]
		}
	}
	ids := make([]string, len(first))
	for i, c := range first {
		ids[i] = c.id
	}
	return ids
}

// candidate is a member to be ranked for a role.
type candidate struct {
	id    string
	link  float64
	score uint64
}

// precedes reports whether a candidate is ranked before another one.
func (c candidate) precedes(other candidate) bool {
	switch {
	case c.link != other.link:
		return c.link > other.link
	case c.score != other.score:
		return c.score > other.score
	default:
		return c.id < other.id
	}
}

// First returns the best usable member for a role, or the router itself if no
// member is usable. It does not sort, to be cheap on the request path.
func (v *View) First(now time.Time, role string) string {
	best, bestScore := v.self, uint64(0)
	found := false
	for id, m := range v.members {
		if !v.usable(now, m) {
			continue
		}
		score := xxhash.Sum64String(role + "\x00" + id)
		if !found || score > bestScore || score == bestScore && id < best {
			best, bestScore, found = id, score, true
		}
	}
	return best
}
