package server

import (
	"time"

	"go.uber.org/zap"
)

// handleResume notifies the followers and the gateway that the machine was suspended: data received
// before is old, idle connections may be dead without notice, and deadlines of requests may have
// passed. Ages that are only compared need no handling, since they use package clock.
func (s *Server) handleResume(suspended time.Duration) {
	s.log.Warn("machine was suspended", zap.Duration("for_ms", suspended), zap.Int64("in_flight", s.gateway.InFlight()))
	for _, f := range s.followers() {
		f.Resumed()
	}
	s.gateway.Resumed()
}
