package soak

import (
	"strconv"
	"sync"
)

// tally counts what a run did, so that one that did nothing is noticed.
type tally struct {
	mu       sync.Mutex
	faults   map[Fault]int
	endings  map[Ending]int
	answers  map[string]int
	requests int
	// issuedTo is what the store last said was issued to each account.
	issuedTo map[string]int64
}

func newTally() *tally {
	return &tally{faults: map[Fault]int{}, endings: map[Ending]int{}, answers: map[string]int{}, issuedTo: map[string]int64{}}
}

func (t *tally) fault(f Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults[f]++
}

func (t *tally) ending(e Ending) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endings[e]++
}

func (t *tally) issued(account string, tokens int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.issuedTo[account] = tokens
}

func (t *tally) answer(a Answer) {
	claims := [...]string{Cut: "cut", Unframed: "unframed", Complete: "complete"}
	kind := strconv.Itoa(a.Status) + " " + claims[a.Claim]
	switch {
	case a.Left:
		kind = "caller left"
	case a.Status == 0:
		kind = "no answer"
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests++
	t.answers[kind]++
}
