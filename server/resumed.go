package server

import (
	"time"

	"go.uber.org/zap"
)

// woke tells all parts that the machine was suspended: what was heard before is old, the
// connections that were kept may be dead without a word, and the time of requests may be
// over. Ages that are only compared need nothing, since they go by package clock.
func (s *Server) woke(slept time.Duration) {
	s.log.Warn("machine was suspended", zap.Duration("for_ms", slept), zap.Int64("in_flight", s.gateway.InFlight()))
	for _, f := range s.followers() {
		f.Resumed()
	}
	s.gateway.Woke()
}
