// Package backend implements small stand-ins for backend servers: a model engine and a
// plain service. They are used by tests, `make run` and `make demo`. They record the
// requests that they ran, so that checks don't depend on what the routers report.
package backend

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Fault is a kind of faulty response.
type Fault string

// Kinds of faults.
const (
	None     Fault = ""
	Garbage  Fault = "garbage"  // an event that is not JSON
	Cut      Fault = "cut"      // the connection is closed halfway through the response
	Unframed Fault = "unframed" // neither Content-Length nor chunked encoding, and the connection is closed halfway
	Early    Fault = "early"    // half of a model engine's response, framed as complete
	Foreign  Fault = "foreign"  // the response to another request
	Refuse   Fault = "refuse"   // refused before it is run
	Stall    Fault = "stall"    // no response until the caller cancels
	Excess   Fault = "excess"   // more tokens than max_tokens
)

// Faults configures fault injection.
type Faults struct {
	// Kind is the fault to inject.
	Kind Fault `json:"kind"`
	// Every is the number of requests per injected fault; 0 means no faults.
	Every int `json:"every"`
}

// Run records one request that a stand-in ran.
type Run struct {
	// Attempt is the attempt ID that the router sent.
	Attempt string `json:"attempt"`
	// Nonce identifies the request; the load generator puts it into the body.
	Nonce string `json:"nonce"`
	// Tokens is the number of tokens served by a model engine.
	Tokens int64 `json:"tokens"`
	// AfterLeaving is the time from the start of the drain to the request, in
	// milliseconds plus 1; 0 if the server was not draining.
	AfterLeaving int64 `json:"after_leaving_ms"`

	cancelled bool
}

// loadLag is the delay of the published load.
const loadLag = 500 * time.Millisecond

// base holds the state common to both stand-ins.
type base struct {
	mu            sync.Mutex
	runs          []*Run
	byAttempt     map[string]*Run
	faults        Faults
	received      int
	inFlight      int
	publishedLoad int
	drainStart    time.Time
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

// Leave starts a graceful shutdown. The server announces it but still accepts work, so
// that checks detect a router that ignores the announcement.
func (b *base) Leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drainStart = time.Now()
}

// SetFaults replaces the injected faults.
func (b *base) SetFaults(f Faults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
}

// Runs returns the requests run so far.
func (b *base) Runs() []Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]Run, len(b.runs))
	for i, r := range b.runs {
		list[i] = *r
	}
	return list
}

// InFlight returns the number of requests that are running.
func (b *base) InFlight() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.inFlight
}

// begin counts a request, selects the fault to inject, and records the run unless the
// request is refused.
func (b *base) begin(attempt, nonce string) (*Run, Fault) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.received++
	fault := None
	if b.faults.Every > 0 && b.received%b.faults.Every == 0 {
		fault = b.faults.Kind
	}
	if fault == Refuse {
		return nil, fault
	}
	r := &Run{Attempt: attempt, Nonce: nonce}
	if !b.drainStart.IsZero() {
		r.AfterLeaving = time.Since(b.drainStart).Milliseconds() + 1
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

// publishLater publishes the current load after loadLag. The caller must hold b.mu.
func (b *base) publishLater() {
	load := b.inFlight
	time.AfterFunc(loadLag, func() {
		b.mu.Lock()
		b.publishedLoad = load
		b.mu.Unlock()
	})
}

// countToken adds a served token. It returns false if the run has been cancelled.
func (b *base) countToken(r *Run) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.cancelled {
		return false
	}
	r.Tokens++
	return true
}

// state returns the published load and whether the server is draining.
func (b *base) state() (load int, leaving bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.publishedLoad, !b.drainStart.IsZero()
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

// Seen returns the number of requests received, including refused ones.
func (b *base) Seen() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.received
}
