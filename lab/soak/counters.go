package soak

import (
	"strconv"
	"sync"
)

// runCounters counts what happened in a run, so that a run without load or faults is detected.
type runCounters struct {
	mu       sync.Mutex
	faults   map[Fault]int
	endings  map[Ending]int
	answers  map[string]int
	requests int
	// issuedTokens holds, for each account, the issued tokens as last read from the store.
	issuedTokens map[string]int64
}

func newRunCounters() *runCounters {
	return &runCounters{faults: map[Fault]int{}, endings: map[Ending]int{}, answers: map[string]int{}, issuedTokens: map[string]int64{}}
}

func (t *runCounters) countFault(f Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults[f]++
}

func (t *runCounters) countEnding(e Ending) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endings[e]++
}

func (t *runCounters) setIssued(account string, tokens int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.issuedTokens[account] = tokens
}

func (t *runCounters) countAnswer(a Answer) {
	claimNames := [...]string{Cut: "cut", Unframed: "unframed", Complete: "complete"}
	kind := strconv.Itoa(a.Status) + " " + claimNames[a.Claim]
	switch {
	case a.Canceled:
		kind = "caller left"
	case a.Status == 0:
		kind = "no answer"
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests++
	t.answers[kind]++
}
