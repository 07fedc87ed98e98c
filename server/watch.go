package server

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/gaplink/gaplink/controller/news"
	"github.com/gaplink/gaplink/store"
)

const (
	// deafSlack is what a bound on changes must leave beyond a watch that hears
	// nothing any more: the client's slack (0.4 s), a slow answer to the next call,
	// and the time until the change counts at requests.
	deafSlack = 800 * time.Millisecond
	// leastWatch keeps routers from asking all the time for bounds that they cannot
	// keep when a watch goes deaf.
	leastWatch = 500 * time.Millisecond
	// longestWatch is what the store allows, less a margin.
	longestWatch = 25 * time.Second
)

// watchWait is how long a watch of changes waits that must count at every router
// within bound: what is left of it after a deaf watch was noticed and, in a large
// fleet, the last router was told. With a bound of 4 s in a fleet of hundreds it is
// 2.4 s, with one of 2 s in a small fleet 1.2 s.
func (s *Server) watchWait(bound time.Duration) time.Duration {
	wait := bound - deafSlack
	if s.large() {
		wait -= news.TellingTime
	}
	return min(max(wait, leastWatch), longestWatch)
}

// storeCalls prints calls by purpose.
type storeCalls map[store.Purpose]int64

// String implements fmt.Stringer.
func (c storeCalls) String() string {
	parts := make([]string, 0, len(c))
	for p, n := range c {
		parts = append(parts, fmt.Sprintf("%s %s=%d", p.Kind, p.Call, n))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}
