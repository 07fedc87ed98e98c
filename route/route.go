// Package route selects a backend server for an attempt.
//
// A site is selected at random by the weights of the routing table. Within the
// site, the server that caches the prompt's prefix is preferred unless it is
// overloaded; otherwise the power of two choices applies. The load of a server
// is the larger of the router's own requests in flight, which are current, and
// the load that the server reports, which is delayed. The package is pure:
// callers pass the time and the random source.
package route

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gaplink/gaplink/table"
)

const (
	// ejectAfter is the number of consecutive failures that eject a server.
	ejectAfter = 3
	// ejectFor is the duration of the first ejection; it doubles up to maxEject.
	ejectFor = 2 * time.Second
	maxEject = 30 * time.Second
	// maxLoadAge is the age up to which a load report is used.
	maxLoadAge = 5 * time.Second
	// maxAffinityLoad is the load, as a multiple of the mean of the site, up to
	// which the server of a cached prefix is preferred.
	maxAffinityLoad = 1.25
)

// server is the local state of a router for one backend server.
type server struct {
	table.Server
	pool         table.Pool
	inFlight     int
	reportedLoad float64
	reportedAt   time.Time
	failures     int
	ejection     time.Duration
	ejectedUntil time.Time
	leaving      bool
	// backoffUntil is until when the server has asked for no requests.
	backoffUntil time.Time
}

// Routes holds the state of one router for all backend servers. It is not safe
// for concurrent use.
type Routes struct {
	servers map[string]*server
	byPool  map[string][]*server // by target, ordered by id
}

// New returns an empty Routes.
func New() *Routes {
	return &Routes{servers: map[string]*server{}, byPool: map[string][]*server{}}
}

// SetPools replaces the configured pools. Servers whose id and address are
// unchanged keep their state.
func (r *Routes) SetPools(pools map[string]table.Pool) {
	next := map[string]*server{}
	r.byPool = map[string][]*server{}
	for _, p := range pools {
		for _, configured := range p.Servers {
			s := r.servers[configured.ID]
			if s == nil || s.Addr != configured.Addr {
				s = &server{}
			}
			s.Server, s.pool = configured, p
			next[s.ID] = s
			r.byPool[p.Target] = append(r.byPool[p.Target], s)
		}
	}
	for _, list := range r.byPool {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	r.servers = next
}

// SetLeaving marks a server as leaving, by the earliest source that reports it.
// The mark stays until Returned.
func (r *Routes) SetLeaving(id string) {
	if s, ok := r.servers[id]; ok {
		s.leaving = true
	}
}

// Returned clears the leaving mark of a server that the platform's list showed
// as leaving and then as live again.
func (r *Routes) Returned(id string) {
	if s, ok := r.servers[id]; ok {
		s.leaving = false
	}
}

// Leaving reports whether the server is marked as leaving.
func (r *Routes) Leaving(id string) bool {
	s, ok := r.servers[id]
	return ok && s.leaving
}

// ServerIDs returns the sorted ids of all servers.
func (r *Routes) ServerIDs() []string {
	ids := make([]string, 0, len(r.servers))
	for id := range r.servers {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// Server returns a configured server.
func (r *Routes) Server(id string) (table.Server, bool) {
	s, ok := r.servers[id]
	if !ok {
		return table.Server{}, false
	}
	return s.Server, true
}

// Request describes a request for routing.
type Request struct {
	// Target is the model or service.
	Target string
	// Rows are the current table rows by site.
	Rows map[string]table.Row
	// Prefix is a hash of the prompt's prefix; 0 means none.
	Prefix uint64
	// Tried holds the servers at which the request already failed.
	Tried map[string]bool
}

// Choice is a selected server and its site.
type Choice struct {
	Server table.Server
	Site   string
}

// Pick selects a server; false means that no server can accept the request now.
func (r *Routes) Pick(now time.Time, rng *rand.Rand, req Request) (Choice, bool) {
	bySite := map[string][]*server{}
	for _, s := range r.byPool[req.Target] {
		if s.usable(now) && !req.Tried[s.ID] {
			bySite[s.pool.Site] = append(bySite[s.pool.Site], s)
		}
	}
	site, ok := pickSite(rng, req.Rows, bySite)
	if !ok {
		return Choice{}, false
	}
	s := pickServer(now, rng, bySite[site], req.Prefix)
	return Choice{Server: s.Server, Site: site}, true
}

// pickSite selects a site at random by weight among those with usable servers.
// A site without a row has weight 1 if no site has a row, else 0.
func pickSite(rng *rand.Rand, rows map[string]table.Row, bySite map[string][]*server) (string, bool) {
	sites := make([]string, 0, len(bySite))
	total := 0
	for site := range bySite {
		if w := weight(rows, site); w > 0 {
			sites = append(sites, site)
			total += w
		}
	}
	if total == 0 {
		return "", false
	}
	sort.Strings(sites)
	draw := rng.IntN(total)
	for _, site := range sites {
		draw -= weight(rows, site)
		if draw < 0 {
			return site, true
		}
	}
	return sites[len(sites)-1], true
}

func weight(rows map[string]table.Row, site string) int {
	if len(rows) == 0 {
		return 1
	}
	return rows[site].Weight
}

func pickServer(now time.Time, rng *rand.Rand, list []*server, prefix uint64) *server {
	if prefix != 0 {
		if s := pickByPrefix(now, list, prefix); s != nil {
			return s
		}
	}
	a := list[rng.IntN(len(list))]
	b := list[rng.IntN(len(list))]
	if b.estimatedLoad(now) < a.estimatedLoad(now) {
		return b
	}
	return a
}

// pickByPrefix returns the server that rendezvous hashing assigns to the prefix,
// or nil if its load is above maxAffinityLoad times the mean.
func pickByPrefix(now time.Time, list []*server, prefix uint64) *server {
	var best *server
	var bestScore uint64
	sum := 0.0
	for _, s := range list {
		sum += s.estimatedLoad(now)
		score := xxhash.Sum64String(s.ID) ^ prefix
		score *= 0x9e3779b97f4a7c15
		score ^= score >> 32
		if best == nil || score > bestScore {
			best, bestScore = s, score
		}
	}
	mean := (sum + 1) / float64(len(list))
	if best.estimatedLoad(now) > maxAffinityLoad*mean {
		return nil
	}
	return best
}

// estimatedLoad returns the estimated load of a server in requests.
func (s *server) estimatedLoad(now time.Time) float64 {
	load := float64(s.inFlight)
	if now.Sub(s.reportedAt) <= maxLoadAge {
		load = max(load, s.reportedLoad)
	}
	return load
}

func (s *server) usable(now time.Time) bool {
	return !s.leaving && !now.Before(s.ejectedUntil) && !now.Before(s.backoffUntil)
}

// BackOff records that a server asked for no requests until a given time. Of overlapping
// backoffs the latest end applies.
func (r *Routes) BackOff(id string, until time.Time) {
	if s, ok := r.servers[id]; ok && until.After(s.backoffUntil) {
		s.backoffUntil = until
	}
}

// Started counts an attempt that is dispatched to a server.
func (r *Routes) Started(id string) {
	if s, ok := r.servers[id]; ok {
		s.inFlight++
	}
}

// Finished counts the end of an attempt. Consecutive failures eject the server
// temporarily; after that each further failure ejects it again, for longer, until a
// success resets the failure count and the duration of the ejection.
func (r *Routes) Finished(now time.Time, id string, failed bool) {
	s, ok := r.servers[id]
	if !ok {
		return
	}
	s.inFlight = max(s.inFlight-1, 0)
	if !failed {
		s.failures, s.ejection = 0, 0
		return
	}
	s.failures++
	if s.failures >= ejectAfter {
		s.eject(now)
	}
}

func (s *server) eject(now time.Time) {
	s.ejection = min(max(2*s.ejection, ejectFor), maxEject)
	s.ejectedUntil = now.Add(s.ejection)
}

// Load records a server's own report of its requests in flight.
func (r *Routes) Load(now time.Time, id string, load float64) {
	if s, ok := r.servers[id]; ok {
		s.reportedLoad, s.reportedAt = load, now
	}
}

// InFlight returns the router's own requests in flight at a server.
func (r *Routes) InFlight(id string) int {
	if s, ok := r.servers[id]; ok {
		return s.inFlight
	}
	return 0
}
