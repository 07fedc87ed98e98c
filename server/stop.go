package server

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
)

// Stop shuts the server down gracefully. It fails readiness checks, keeps serving until the load
// balancer has noticed, returns its tokens while running requests finish, and answers the requests
// that are still running at the end of the grace period.
func (s *Server) Stop() {
	start := clock.Now()
	planned := s.current().Stop
	end := start.Add(planned.Grace.Std())
	s.log.Info("stopping", zap.Int64("in_flight", s.gateway.InFlight()))
	close(s.stopping)
	drained := end.Add(-returnReserve)
	s.gateway.Drain(drained)
	s.stopTunnels()
	time.Sleep(planned.Notice.Std())
	s.gateway.RefuseNew()
	s.budgets.StartClose()
	s.drain(drained)
	unfinished := s.gateway.InFlight()
	s.gateway.EndRequests()
	s.tunnels.Close()
	s.closeCallers()
	ctx, cancel := context.WithTimeout(context.Background(), clock.Until(end.Add(-exitReserve)))
	defer cancel()
	s.budgets.Close(ctx)
	s.roster.Leave(ctx)
	s.cancel()
	s.log.Info("store calls", zap.Stringer("calls", storeCalls(s.store.ByPurpose())))
	s.log.Info("stopped", zap.Int64("cut", unfinished), zap.Duration("after_ms", clock.Since(start)))
	_ = s.writer.Sync()
}

// flushTimeout bounds the wait at a stop for response data still in the buffers of net/http, some
// kilobytes per response. It is part of the reserve for returning budgets, most of which is left.
const flushTimeout = 200 * time.Millisecond

// closeCallers closes caller connections: idle ones at once, the others when their response is sent
// or flushTimeout has passed.
func (s *Server) closeCallers() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if err := s.callers.Shutdown(ctx); err != nil {
		s.log.Info("caller connections closed before their responses were sent", zap.Error(err))
	}
	_ = s.callers.Close() // closes the remaining connections; an error closing them is harmless
}

// drain waits until no request is in flight here, nor a request of another router in a tunnel, or the
// given time is reached.
func (s *Server) drain(until time.Time) {
	for s.gateway.InFlight()+int64(s.tunnels.Busy()) > 0 && clock.Now().Before(until) {
		time.Sleep(drainPollInterval)
	}
}

// drainPollInterval is how often drain checks for requests in flight.
const drainPollInterval = 20 * time.Millisecond
