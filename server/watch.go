package server

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/gaplink/gaplink/bound"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/store"
)

// parts divides a bound on changes for the fleet as it is now.
func (s *Server) parts(within time.Duration) bound.Parts { return bound.Divide(within, s.large()) }

// tooOld are the ages from which this router looks for the store itself.
func (s *Server) tooOld() peer.Ages {
	limits := s.settings.Bounds
	ages := peer.Ages{Config: s.parts(limits.Apply.Std()).TooOld(), Servers: s.parts(limits.Leave.Std()).TooOld()}
	if limits.Evacuate > 0 {
		ages.Emptied = s.parts(limits.Evacuate.Std()).TooOld()
	}
	return ages
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
