package gateway

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/logs"
	"github.com/gaplink/gaplink/result"
	"github.com/gaplink/gaplink/retry"
	"github.com/gaplink/gaplink/retryafter"
	"github.com/gaplink/gaplink/upstream"
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
	further, unanswered int64
	lines               logs.RateLimit
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

// addUnanswered counts an attempt that ended without a byte of a response.
func (l *retryLog) addUnanswered(service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.of(service).unanswered++
}

// exhausted returns the numbers of further and of unanswered attempts, and whether a line about the service's budget may be
// written, with the number of lines suppressed since the last one.
func (l *retryLog) exhausted(service string) (further, unanswered, suppressed int64, allowed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.of(service)
	suppressed, allowed = s.lines.Allow(clock.Now(), retryLogInterval)
	return s.further, s.unanswered, suppressed, allowed
}

// payForRetry takes the retry for the request's next attempt from the service's budget, unless it is paid for. It
// returns the error that ends the request if the budget is exhausted. Every attempt passes here.
func (c *call) payForRetry() *result.Error {
	if !c.retries.Pay(clock.Now(), c.arrivals) {
		return c.retriesSpent()
	}
	return nil
}

// mayAbandon reports whether the attempt under way may be given up for another one. An attempt at a server that has not answered
// this process may not while those of earlier processes may arrive there.
func (a *attempt) mayAbandon() bool {
	if a.retries.Awaits() && a.g.Retries.Young(clock.Now()) && !a.g.Servers.WasHeard(a.server.Incarnation()) {
		return false
	}
	return a.retries.MayAbandon(clock.Now(), a.arrivals+1)
}

// mayRetry reports whether an attempt after the next one would be paid for.
func (c *call) mayRetry() bool { return c.retries.MayPay(clock.Now(), c.arrivals+1) }

// path returns how the attempt reached its server, through a router or directly.
func (a *attempt) path(router string) retry.Path {
	return retry.Path{Server: a.server.Incarnation(), Router: router}
}

// recordHeard records that a byte of an answer came.
func (a *attempt) recordHeard(router string) {
	a.g.Servers.Heard(a.server.Incarnation())
	a.retries.Answered(clock.Now(), a.path(router), a.sentAt)
}

// recordFailure records whether an attempt without a response head may still arrive at its server.
func (a *attempt) recordFailure(f *upstream.Failure) {
	switch {
	case f.Stage == upstream.NotSent:
		a.retries.NotSent()
	case f.Unanswered:
		a.unanswered = true
		a.retries.Unanswered(clock.Now(), a.path(f.Router), a.sentAt)
	default:
		a.recordHeard(f.Router)
	}
}

// recordArrival counts an attempt that its server may have received.
func (c *call) recordArrival(a *attempt, d disposition) {
	if d == notReached {
		return
	}
	if a.unanswered {
		c.g.retryLog.addUnanswered(c.service.Name)
		c.g.Metrics.unanswered(c.service.Name)
	}
	if c.arrivals > 0 {
		c.g.retryLog.add(c.service.Name)
		c.g.Metrics.retried(c.service.Name, c.lastArrival)
	}
	c.arrivals++
	c.lastArrival, c.lastArrivalErr = d, a.err
}

// retriesSpent returns the error for a request that may not be sent again because the service's retry
// budget is spent.
func (c *call) retriesSpent() *result.Error {
	c.g.logRetriesSpent(c.service.Name)
	code := result.BackendCut
	if c.lastArrival == notRun {
		code = result.NotAccepted
	}
	spent := result.New(code, "the retry budget is spent").After(busyRetryAfter)
	return c.temporary(spent, retryafter.RetriesSpent, 0).Wrap(c.lastArrivalErr)
}

// logRetriesSpent logs that the service's retry budget is spent.
func (g *Gateway) logRetriesSpent(service string) {
	further, unanswered, suppressed, allowed := g.retryLog.exhausted(service)
	if !allowed {
		return
	}
	s := g.Retries.Status(clock.Now(), service)
	g.Logs.All.Info("retry budget exhausted", zap.String("service", service), zap.Int64("requests", s.Requests), zap.Int64("retries", s.Spent),
		zap.Int64("further_attempts", further), zap.Int64("unanswered", unanswered), zap.Float64("tokens", s.Tokens), zap.Float64("capacity", s.Capacity),
		zap.Int("pending", s.Pending), zap.Int("abandoned", s.Abandoned), zap.Int("routers", s.Routers), zap.String("phase", s.Phase), zap.Int64("suppressed", suppressed))
}
