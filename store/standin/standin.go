// Package standin implements a small stand-in for the platform: the object API, the
// delayed instance list, call counts and a rate limit, with injectable delay, outage
// and lost responses. It is used by tests, `make run` and `make demo`.
package standin

import (
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/gaplink/gaplink/membership"
	"github.com/gaplink/gaplink/store"
	"github.com/gaplink/gaplink/store/httpstore"
	"github.com/gaplink/gaplink/store/memory"
	"github.com/gaplink/gaplink/wait"
)

// Faults are the injectable faults of the platform.
type Faults struct {
	// DelayMillis is added to each call.
	DelayMillis int `json:"delay_ms"`
	// Outage refuses every call.
	Outage bool `json:"outage"`
	// Hang blocks every call without a response until the caller cancels it.
	Hang bool `json:"hang"`
	// LoseAnswers is the fraction (0 to 1) of writes that take effect but whose
	// response is lost.
	LoseAnswers float64 `json:"lose_answers"`
	// ListLagMillis is the age of the instance list that readers receive.
	ListLagMillis int `json:"list_lag_ms"`
}

// Limits are the platform's rate limits in calls a second; 0 means none.
type Limits struct {
	// Writes bounds creates, updates and deletes.
	Writes float64 `json:"writes"`
	// Reads bounds gets, lists and watches.
	Reads float64 `json:"reads"`
}

// listVersion is the instance list from a point in time on.
type listVersion struct {
	at      time.Time
	members map[string]membership.Member
}

// Platform is the stand-in. It is an http.Handler.
type Platform struct {
	objects *store.Counting
	mux     *http.ServeMux
	writes  *rate.Limiter
	reads   *rate.Limiter

	mu     sync.Mutex
	faults Faults
	rng    *rand.Rand
	list   []listVersion
}

// New returns a platform with the given limits; seed determines which responses
// are lost.
func New(limits Limits, seed uint64) *Platform {
	p := &Platform{
		objects: store.NewCounting(memory.New()),
		mux:     http.NewServeMux(),
		writes:  limiter(limits.Writes),
		reads:   limiter(limits.Reads),
		rng:     rand.New(rand.NewPCG(seed, seed)),
		list:    []listVersion{{members: map[string]membership.Member{}}},
	}
	p.routes()
	return p
}

func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}
	return rate.NewLimiter(rate.Limit(perSecond), int(perSecond))
}

func (p *Platform) routes() {
	p.mux.HandleFunc("GET /v1/objects/{key...}", p.get)
	p.mux.HandleFunc("PUT /v1/objects/{key...}", p.put)
	p.mux.HandleFunc("DELETE /v1/objects/{key...}", p.delete)
	p.mux.HandleFunc("GET /v1/list", p.listObjects)
	p.mux.HandleFunc("GET /v1/watch", p.watch)
	p.mux.HandleFunc("GET /v1/instances", p.instances)
	p.mux.HandleFunc("PUT /standin/instances/{id}", p.putInstance)
	p.mux.HandleFunc("DELETE /standin/instances/{id}", p.deleteInstance)
	p.mux.HandleFunc("PUT /standin/faults", p.putFaults)
	p.mux.HandleFunc("GET /standin/counts", p.counts)
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mux.ServeHTTP(w, r)
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// SetInstance adds or replaces an instance in the list.
func (p *Platform) SetInstance(m membership.Member) {
	p.changeList(func(members map[string]membership.Member) { members[m.ID] = m })
}

// RemoveInstance removes an instance from the list.
func (p *Platform) RemoveInstance(id string) {
	p.changeList(func(members map[string]membership.Member) { delete(members, id) })
}

// Counts returns the calls that the object store received; refused calls are not counted.
func (p *Platform) Counts() store.Counts { return p.objects.Counts() }

// Objects returns the store behind the HTTP API, without faults, for tests.
func (p *Platform) Objects() store.Store { return p.objects }

func (p *Platform) changeList(change func(map[string]membership.Member)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := make(map[string]membership.Member)
	for id, m := range p.list[len(p.list)-1].members {
		next[id] = m
	}
	change(next)
	p.list = append(p.list, listVersion{at: time.Now(), members: next})
}

// admit applies the injected hang, delay and outage and the rate limit. It returns
// false if the call has been refused or was cancelled while it hung.
func (p *Platform) admit(w http.ResponseWriter, r *http.Request, limit *rate.Limiter) bool {
	p.mu.Lock()
	f := p.faults
	p.mu.Unlock()
	if f.Hang {
		<-r.Context().Done()
		return false
	}
	_ = wait.For(r.Context(), time.Duration(f.DelayMillis)*time.Millisecond)
	if f.Outage || !limit.Allow() {
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return false
	}
	return true
}

// losesResponse draws from the seeded source whether the response to a write is lost.
func (p *Platform) losesResponse() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults.LoseAnswers > 0 && p.rng.Float64() < p.faults.LoseAnswers
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	if !p.admit(w, r, p.reads) {
		return
	}
	o, err := p.objects.Get(r.Context(), r.PathValue("key"))
	p.answer(w, o, err, o.Value)
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	if !p.admit(w, r, p.writes) {
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, store.MaxValueBytes))
	if err != nil {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	version, err := strconv.ParseInt(r.Header.Get("If-Match"), 10, 64)
	if err != nil {
		version = 0
	}
	o, err := store.Put(r.Context(), p.objects, r.PathValue("key"), version, value)
	p.answerWrite(w, o, err)
}

func (p *Platform) delete(w http.ResponseWriter, r *http.Request) {
	if !p.admit(w, r, p.writes) {
		return
	}
	version, _ := strconv.ParseInt(r.Header.Get("If-Match"), 10, 64)
	err := p.objects.Delete(r.Context(), r.PathValue("key"), version)
	p.answerWrite(w, store.Object{}, err)
}

func (p *Platform) answerWrite(w http.ResponseWriter, o store.Object, err error) {
	if err == nil && p.losesResponse() {
		panic(http.ErrAbortHandler)
	}
	p.answer(w, o, err, nil)
}

func (p *Platform) answer(w http.ResponseWriter, o store.Object, err error, body []byte) {
	switch {
	case err == nil:
		w.Header().Set(httpstore.VersionHeader, strconv.FormatInt(o.Version, 10))
		_, _ = w.Write(body)
	case errors.Is(err, store.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, store.ErrConflict):
		http.Error(w, err.Error(), http.StatusPreconditionFailed)
	default:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}

func (p *Platform) listObjects(w http.ResponseWriter, r *http.Request) {
	if !p.admit(w, r, p.reads) {
		return
	}
	objects, rev, err := p.objects.List(r.Context(), r.URL.Query().Get("prefix"))
	writeJSON(w, store.Events{Objects: objects, Revision: rev}, err)
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	if !p.admit(w, r, p.reads) {
		return
	}
	q := r.URL.Query()
	since, _ := strconv.ParseInt(q.Get("since"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait"))
	ev, err := p.objects.Watch(r.Context(), q.Get("prefix"), since, time.Duration(wait)*time.Millisecond)
	writeJSON(w, ev, err)
}

func (p *Platform) instances(w http.ResponseWriter, r *http.Request) {
	if !p.admit(w, r, p.reads) {
		return
	}
	writeJSON(w, p.visibleList(time.Now()), nil)
}

// visibleList returns the list as it was ListLagMillis ago.
func (p *Platform) visibleList(now time.Time) []membership.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	seen := now.Add(-time.Duration(p.faults.ListLagMillis) * time.Millisecond)
	version := p.list[0]
	for _, v := range p.list {
		if !v.at.After(seen) {
			version = v
		}
	}
	members := make([]membership.Member, 0, len(version.members))
	for _, m := range version.members {
		members = append(members, m)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
	return members
}

func (p *Platform) putInstance(w http.ResponseWriter, r *http.Request) {
	var m membership.Member
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	m.ID = r.PathValue("id")
	p.SetInstance(m)
}

func (p *Platform) deleteInstance(_ http.ResponseWriter, r *http.Request) {
	p.RemoveInstance(r.PathValue("id"))
}

func (p *Platform) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
}

func (p *Platform) counts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, p.Counts(), nil)
}

func writeJSON(w http.ResponseWriter, v any, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
