// Package backend holds small stand-ins for backend servers: a model engine
// and a plain service. They are for tests, `make run` and `make demo`, and
// they count what they did, so that a check need not trust the routers.
package backend

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Fault is how an answer goes wrong.
type Fault string

// The faults.
const (
	None     Fault = ""
	Garbage  Fault = "garbage"  // an event that is not JSON
	Cut      Fault = "cut"      // the connection ends half way
	Unframed Fault = "unframed" // neither length nor chunks, and the connection ends half way
	Early    Fault = "early"    // a model engine's half answer, framed as whole
	Foreign  Fault = "foreign"  // another request's answer
	Refuse   Fault = "refuse"   // refused before running
	Stall    Fault = "stall"    // no answer until the caller gives up
	Excess   Fault = "excess"   // more tokens than the cap
)

// Faults are the injected faults.
type Faults struct {
	// Kind is how an answer goes wrong.
	Kind Fault `json:"kind"`
	// Every makes each so-manieth request wrong; 0 means none.
	Every int `json:"every"`
}

// Run is one request that a stand-in ran.
type Run struct {
	// Attempt is what the router called it.
	Attempt string `json:"attempt"`
	// Nonce is the load sender's mark in the body.
	Nonce string `json:"nonce"`
	// Tokens were served (a model engine).
	Tokens int64 `json:"tokens"`
	// AfterLeaving tells how long after the server began to leave the request
	// came, in milliseconds; 0 if it was not leaving.
	AfterLeaving int64 `json:"after_leaving_ms"`

	cancelled bool
}

// loadLag is how late the published load is.
const loadLag = 500 * time.Millisecond

// base is what both stand-ins share.
type base struct {
	mu        sync.Mutex
	runs      []*Run
	byAttempt map[string]*Run
	faults    Faults
	seen      int
	inFlight  int
	published int
	leavingAt time.Time
}

func newBase() *base {
	return &base{byAttempt: map[string]*Run{}}
}

func (b *base) routes(mux *http.ServeMux) {
	mux.HandleFunc("GET /health", b.health)
	mux.HandleFunc("GET /standin/runs", b.listRuns)
	mux.HandleFunc("PUT /standin/faults", b.putFaults)
	mux.HandleFunc("PUT /standin/leave", func(http.ResponseWriter, *http.Request) { b.Leave() })
}

// Leave begins a planned stop: the server says so, and still takes work, so
// that a router that does not listen is found out.
func (b *base) Leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leavingAt = time.Now()
}

// SetFaults replaces the injected faults.
func (b *base) SetFaults(f Faults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
}

// Runs returns what was run so far.
func (b *base) Runs() []Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]Run, len(b.runs))
	for i, r := range b.runs {
		list[i] = *r
	}
	return list
}

// InFlight returns the requests being run.
func (b *base) InFlight() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.inFlight
}

// begin counts a request and decides whether it goes wrong.
func (b *base) begin(attempt, nonce string) (*Run, Fault) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seen++
	fault := None
	if b.faults.Every > 0 && b.seen%b.faults.Every == 0 {
		fault = b.faults.Kind
	}
	if fault == Refuse {
		return nil, fault
	}
	r := &Run{Attempt: attempt, Nonce: nonce}
	if !b.leavingAt.IsZero() {
		r.AfterLeaving = time.Since(b.leavingAt).Milliseconds() + 1
	}
	b.runs = append(b.runs, r)
	b.byAttempt[attempt] = r
	b.inFlight++
	b.publishLater()
	return r, fault
}

func (b *base) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight--
	b.publishLater()
}

// publishLater makes the present load visible after the lag.
func (b *base) publishLater() {
	load := b.inFlight
	time.AfterFunc(loadLag, func() {
		b.mu.Lock()
		b.published = load
		b.mu.Unlock()
	})
}

// count adds a served token; false means that the run was cancelled before it.
func (b *base) count(r *Run) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.cancelled {
		return false
	}
	r.Tokens++
	return true
}

// state returns the published load and whether the server is leaving.
func (b *base) state() (load int, leaving bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.published, !b.leavingAt.IsZero()
}

func (b *base) health(w http.ResponseWriter, _ *http.Request) {
	load, leaving := b.state()
	writeJSON(w, map[string]any{"leaving": leaving, "in_flight": load})
}

func (b *base) listRuns(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, b.Runs())
}

func (b *base) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b.SetFaults(f)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// Seen returns the requests that came, refused ones among them.
func (b *base) Seen() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.seen
}
