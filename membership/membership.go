// Package membership keeps one router's view of the other routers and ranks
// them for controller roles. It is pure: callers pass the time.
//
// No role rests on this view for safety. Two routers that both believe to be
// a budget's home or a shard's owner are kept apart by the store's
// conditional updates, never by who is in the list.
package membership

import (
	"iter"
	"maps"
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

// Member is one router instance of the platform's list.
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
	// LinkMbps is the capacity of its network link, 0 if it is not known. Tasks
	// for others go to those with the largest.
	LinkMbps float64 `json:"link_mbps,omitempty"`
	// Incarnation is the process that runs at the instance, as far as known.
	Incarnation string `json:"incarnation,omitempty"`
}

// suspectFor is how long a failed peer is ranked behind the others.
const suspectFor = 2 * time.Second

// View is one router's knowledge of the members. It is not safe for
// concurrent use.
type View struct {
	self    string
	members map[string]Member
	suspect map[string]time.Time
	left    map[string]bool
	// orders are the listed members by role, in the order of Largest. They are dropped when the
	// list changes.
	orders map[string][]string
	// domains are the failure domains of the members, in order, and sizes how many members each
	// has; nil: they are to be worked out anew.
	domains []string
	sizes   map[string]int
}

// changed drops what was worked out from the list.
func (v *View) changed() {
	clear(v.orders)
	v.domains, v.sizes = nil, nil
}

// Domains returns the failure domains of the listed members, in order. The caller must not change
// them.
func (v *View) Domains() []string {
	v.countDomains()
	return v.domains
}

// DomainSize returns how many listed members a failure domain has.
func (v *View) DomainSize(domain string) int {
	v.countDomains()
	return v.sizes[domain]
}

func (v *View) countDomains() {
	if v.domains != nil {
		return
	}
	v.sizes = map[string]int{}
	for _, m := range v.members {
		v.sizes[m.Domain]++
	}
	v.domains = slices.Sorted(maps.Keys(v.sizes))
}

// NewView returns a view that holds only the router itself.
func NewView(self Member) *View {
	return &View{
		self:    self.ID,
		members: map[string]Member{self.ID: self},
		suspect: make(map[string]time.Time),
		left:    make(map[string]bool),
		orders:  make(map[string][]string),
	}
}

// Add adds a member that was met, or updates it. A member at the same address whose process is not
// told keeps the one that is known.
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
		v.changed()
	}
}

// Remove removes a member.
func (v *View) Remove(id string) {
	if _, had := v.members[id]; !had || id == v.self {
		return
	}
	delete(v.members, id)
	delete(v.suspect, id)
	delete(v.left, id)
	v.changed()
}

// SetIncarnation sets the process that runs at a member; empty: it is not known.
func (v *View) SetIncarnation(id, incarnation string) {
	if m, ok := v.members[id]; ok && id != v.self {
		m.Incarnation = incarnation
		v.members[id] = m
	}
}

// SetList takes the platform's list. The router always keeps itself, and a
// member heard to be leaving stays so until the list no longer has it: a
// stale "live" never overrides the earlier knowledge.
func (v *View) SetList(members []Member) {
	next := map[string]Member{v.self: v.members[v.self]}
	for _, m := range members {
		if m.Kind != "router" || m.ID == v.self {
			continue
		}
		next[m.ID] = m
	}
	for id := range v.left {
		if _, ok := next[id]; !ok {
			delete(v.left, id)
		}
	}
	v.members = next
	v.changed()
}

// SetLeaving records that a member said itself that it is leaving.
func (v *View) SetLeaving(id string) {
	v.left[id] = true
	v.changed()
}

// Failed records that a call to the member failed.
func (v *View) Failed(now time.Time, id string) {
	v.suspect[id] = now.Add(suspectFor)
}

// Reached records that the member answered.
func (v *View) Reached(id string) {
	delete(v.suspect, id)
}

// Suspected tells whether the member failed lately.
func (v *View) Suspected(now time.Time, id string) bool {
	until, ok := v.suspect[id]
	return ok && now.Before(until)
}

// Member returns the member of that id.
func (v *View) Member(id string) (Member, bool) {
	m, ok := v.members[id]
	return m, ok
}

// Members returns all listed members in the order of their ids.
func (v *View) Members() []Member {
	all := make([]Member, 0, len(v.members))
	for _, m := range v.members {
		all = append(all, m)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return all
}

// usable tells whether the member may take roles.
func (v *View) usable(now time.Time, m Member) bool {
	return m.State == Live && !v.left[m.ID] && !v.Suspected(now, m.ID)
}

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
			list = append(list, scored{id, xxhash.Sum64String(role + "\x00" + id)})
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

// Largest yields the usable members for a role, best first: those with the largest links, by
// rendezvous hashing. The order is kept until the list changes.
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

// order returns the listed members for a role, suspected or not.
func (v *View) order(role string) []string {
	if ids, ok := v.orders[role]; ok {
		return ids
	}
	list := make([]candidate, 0, len(v.members))
	for id, m := range v.members {
		if m.State == Live && !v.left[id] {
			list = append(list, candidate{id: id, link: m.LinkMbps, score: xxhash.Sum64String(role + "\x00" + id)})
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

// Precedes tells whether a member is ranked before another one for a role; one that is not listed
// is ranked last.
func (v *View) Precedes(role, id, other string) bool {
	m, ok := v.members[id]
	if !ok {
		return false
	}
	o, ok := v.members[other]
	if !ok {
		return true
	}
	score := func(id string) uint64 { return xxhash.Sum64String(role + "\x00" + id) }
	return candidate{id, m.LinkMbps, score(id)}.precedes(candidate{other, o.LinkMbps, score(other)})
}

// Owners returns the first members for a role over all listed ones, best first, whether
// they are suspected or not: the members with the largest links, by rendezvous hashing.
// So routers that suspect different members agree on the order.
func (v *View) Owners(role string, most int) []string {
	var first []candidate
	for id, m := range v.members {
		if m.State != Live || v.left[id] {
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

// candidate is a member that may become the owner of something.
type candidate struct {
	id    string
	link  float64
	score uint64
}

// precedes tells whether a candidate is ranked before another one.
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

// First returns the best member for a role, or the router itself when no
// member is usable. It does not sort, so it is cheap on the request path.
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
