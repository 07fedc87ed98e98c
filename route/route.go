// Package route picks a backend server for an attempt.
//
// Sites are drawn by the table's weights; within a site, the power of two
// choices over the router's own requests in flight (fresh) and the reported
// load (late), with a preference for the server that holds the prompt's
// prefix in its cache, bounded by load. The package is pure: callers pass the
// time and the random source.
package route

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gaplink/gaplink/table"
)

const (
	// ejectAfter failures in a row eject a server.
	ejectAfter = 3
	// ejectFor is the first time out of use; it doubles up to maxEject.
	ejectFor = 2 * time.Second
	maxEject = 30 * time.Second
	// loadTrust is how old a load report may be to count.
	loadTrust = 5 * time.Second
	// affinitySlack bounds how much busier than the site's mean the server
	// of the cached prefix may be.
	affinitySlack = 1.25
)

// server is what the router knows of one backend server.
type server struct {
	table.Server
	pool     table.Pool
	inFlight int
	load     float64
	loadAt   time.Time
	failures int
	ejection time.Duration
	ejected  time.Time
	leaving  bool
}

// Routes is the router's knowledge of all backend servers. It is not safe for
// concurrent use.
type Routes struct {
	servers map[string]*server
	byPool  map[string][]*server // by target, in the order of their ids
}

// New returns empty routes.
func New() *Routes {
	return &Routes{servers: map[string]*server{}, byPool: map[string][]*server{}}
}

// SetPools takes the configured pools and keeps what is known of servers that
// stay.
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

// SetLeaving marks a server that is leaving, from whichever source is first.
// It stays so until Returned.
func (r *Routes) SetLeaving(id string) {
	if s, ok := r.servers[id]; ok {
		s.leaving = true
	}
}

// Returned takes a server back into use, after the platform's list had it
// leaving and then live again.
func (r *Routes) Returned(id string) {
	if s, ok := r.servers[id]; ok {
		s.leaving = false
	}
}

// Leaving tells whether the server is known to be leaving.
func (r *Routes) Leaving(id string) bool {
	s, ok := r.servers[id]
	return ok && s.leaving
}

// ServerIDs returns all servers' ids in order.
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

// Request is what matters of a request for its route.
type Request struct {
	// Target is the model or service.
	Target string
	// Rows are the table rows in force, by site.
	Rows map[string]table.Row
	// Prefix is a hash of the start of the prompt; 0 means none.
	Prefix uint64
	// Tried are servers that already failed the request.
	Tried map[string]bool
}

// Choice is a picked server.
type Choice struct {
	Server table.Server
	Site   string
}

// Pick chooses a server; false means that none can take the request now.
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

// pickSite draws a site by weight among those with usable servers. A site
// without a row has weight 1 if no site has a row, else 0.
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
	at := rng.IntN(total)
	for _, site := range sites {
		at -= weight(rows, site)
		if at < 0 {
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
		if s := cacheHolder(now, list, prefix); s != nil {
			return s
		}
	}
	a := list[rng.IntN(len(list))]
	b := list[rng.IntN(len(list))]
	if b.busy(now) < a.busy(now) {
		return b
	}
	return a
}

// cacheHolder returns the server that rendezvous hashing gives the prefix, if
// it is not much busier than the mean.
func cacheHolder(now time.Time, list []*server, prefix uint64) *server {
	var best *server
	var bestScore uint64
	sum := 0.0
	for _, s := range list {
		sum += s.busy(now)
		score := xxhash.Sum64String(s.ID) ^ prefix
		score *= 0x9e3779b97f4a7c15
		score ^= score >> 32
		if best == nil || score > bestScore {
			best, bestScore = s, score
		}
	}
	mean := (sum + 1) / float64(len(list))
	if best.busy(now) > affinitySlack*mean {
		return nil
	}
	return best
}

// busy is the estimate of a server's load in requests.
func (s *server) busy(now time.Time) float64 {
	load := float64(s.inFlight)
	if now.Sub(s.loadAt) <= loadTrust {
		load = max(load, s.load)
	}
	return load
}

func (s *server) usable(now time.Time) bool {
	return !s.leaving && !now.Before(s.ejected)
}

// Started counts a dispatched attempt.
func (r *Routes) Started(id string) {
	if s, ok := r.servers[id]; ok {
		s.inFlight++
	}
}

// Finished counts the end of an attempt. A run of failures ejects the server
// for a while; after that, one success restores it.
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
	s.ejected = now.Add(s.ejection)
}

// Load takes a server's own report of its requests in flight.
func (r *Routes) Load(now time.Time, id string, load float64) {
	if s, ok := r.servers[id]; ok {
		s.load, s.loadAt = load, now
	}
}

// InFlight returns the router's own requests in flight at a server.
func (r *Routes) InFlight(id string) int {
	if s, ok := r.servers[id]; ok {
		return s.inFlight
	}
	return 0
}
