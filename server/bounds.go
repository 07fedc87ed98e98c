package server

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/gaplink/gaplink/bound"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/settings"
	"github.com/gaplink/gaplink/store"
)

// parts divides a propagation bound into the time limits of its steps, by the current fleet size.
func (s *Server) parts(within time.Duration) bound.Parts { return bound.Divide(within, s.largeFleet()) }

// updateInterval returns how often this router requests updates from a relay, by the shortest bound.
func (s *Server) updateInterval() time.Duration {
	limits := s.current().Bounds
	within := min(limits.Apply.Std(), limits.Leave.Std())
	if evacuate := limits.Evacuate.Std(); evacuate > 0 {
		within = min(within, evacuate)
	}
	return s.parts(within).RequestInterval
}

// staleAfter returns the staleness bounds from which this router queries the store directly, for
// a relay and for other routers.
func (s *Server) staleAfter(relay bool) peer.Ages {
	age := func(within settings.Duration) time.Duration {
		switch p := s.parts(within.Std()); {
		case within == 0:
			return 0 // this kind is not followed
		case relay:
			return p.RelayStaleAfter()
		default:
			return p.StaleAfter()
		}
	}
	limits := s.current().Bounds
	return peer.Ages{Config: age(limits.Apply), Servers: age(limits.Leave), Evacuated: age(limits.Evacuate)}
}

// storeCalls formats the number of store calls by purpose.
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
