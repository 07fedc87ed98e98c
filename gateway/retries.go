package gateway

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/logs"
)

// retryLogInterval is the minimum time between two log lines about a service's retry budget.
const retryLogInterval = 5 * time.Second

// retryLog counts the attempts by which servers received a request again, and limits the log lines about
// retry budgets. The zero value is ready to use. It is safe for concurrent use.
type retryLog struct {
	mu        sync.Mutex
	byService map[string]*serviceRetries
}

type serviceRetries struct {
	further int64
	lines   logs.RateLimit
}

func (l *retryLog) of(service string) *serviceRetries {
	if l.byService == nil {
		l.byService = map[string]*serviceRetries{}
	}
	s := l.byService[service]
	if s == nil {
		s = &serviceRetries{}
		l.byService[service] = s
	}
	return s
}

// add counts an attempt that a server received after an earlier one of the same request.
func (l *retryLog) add(service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.of(service).further++
}

// exhausted returns the number of further attempts, and whether a line about the service's budget may be
// written, with the number of lines suppressed since the last one.
func (l *retryLog) exhausted(service string) (further, suppressed int64, allowed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.of(service)
	suppressed, allowed = s.lines.Allow(clock.Now(), retryLogInterval)
	return s.further, suppressed, allowed
}

// recordArrival counts an attempt that may have reached its server, by the reason for which it followed an
// earlier one.
func (c *call) recordArrival(d disposition) {
	if d == notReached {
		return
	}
	if c.retryCause != "" {
		c.g.retryLog.add(c.service.Name)
		c.g.Metrics.retried(c.service.Name, c.retryCause)
	}
	switch d {
	case notRun:
		c.retryCause = "refused"
	default:
		c.retryCause = "failed"
	}
}

// logRetriesSpent logs that the service's retry budget is spent.
func (g *Gateway) logRetriesSpent(service string) {
	further, suppressed, allowed := g.retryLog.exhausted(service)
	if !allowed {
		return
	}
	s := g.Retries.Status(service)
	g.Logs.All.Info("retry budget exhausted", zap.String("service", service), zap.Int64("requests", s.Requests), zap.Int64("retries", s.Spent),
		zap.Int64("further_attempts", further), zap.Float64("tokens", s.Tokens), zap.Float64("capacity", s.Capacity),
		zap.Int("routers", g.Routers()), zap.Int64("suppressed", suppressed))
}
