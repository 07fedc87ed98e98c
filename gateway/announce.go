package gateway

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/exchange"
	"github.com/gaplink/gaplink/limiter"
)

// malformedLogInterval is the minimum time between two log lines about announcements that cannot
// be parsed.
const malformedLogInterval = time.Second

// observe applies what a response announces about the state of its server.
func (a *attempt) observe(sent time.Time, status int, h http.Header, info exchange.Answer) {
	if !fromServer(status, info) {
		return
	}
	a.g.logUnknown(a.server.ID, h)
	a.observeLimit(sent, info)
	if info.Leaving {
		a.g.Servers.AnnouncedLeaving(a.server.Incarnation())
	}
	if info.Brittle.Present {
		a.g.Servers.Brittle(a.service.Name, a.server.ID, info.Brittle.Rejections)
	}
	if info.NotRun && status == http.StatusServiceUnavailable {
		a.noRoom = true
		a.g.Servers.NoRoom(a.server.Incarnation(), a.loan != nil)
	}
	switch {
	case info.Backoff > 0:
		a.g.Servers.BackOff(a.server.Incarnation(), info.Backoff)
	case !info.NotRun && status < http.StatusInternalServerError:
		a.g.Servers.RecordAccepted(a.server.Incarnation())
	}
	if info.Malformed != nil {
		a.g.logMalformed(a.server.ID, info.Malformed)
	}
}

// fromServer reports whether a response was certainly produced by the server that the request was
// sent to. Only a success needs the signature, since only successes are signed in every case.
func fromServer(status int, info exchange.Answer) bool {
	return !info.WrongServer && (info.Signed || info.NotRun || status >= http.StatusMultipleChoices)
}

// observeLimit reports the rate limit that a response announces. Only the server itself can
// end a limit, so a response without its signature ends none.
func (a *attempt) observeLimit(sent time.Time, info exchange.Answer) {
	switch {
	case a.g.Limits == nil:
		return
	case info.Limit.Err != nil:
		a.g.logUnreadableLimit(a.server.ID, info.Limit.Err)
		return
	case !info.Limit.Present && !info.Signed:
		return
	}
	a.g.Limits.Observe(limiter.Observation{
		Server: a.server.Incarnation(), Named: info.Limit.Present, Rate: limiter.Rate(info.Limit.PerSecond),
		Sent: sent, Received: clock.Now(),
	})
}

// logUnreadableLimit logs a limit that could not be parsed, at most once per
// malformedLogInterval.
func (g *Gateway) logUnreadableLimit(server string, cause error) {
	if omitted, allowed := g.unreadableLimits.Allow(clock.Now(), malformedLogInterval); allowed {
		g.Logs.All.Warn("cannot parse server rate limit; ignoring it", zap.String("server", server),
			zap.Int64("lines_left_out", omitted), zap.Error(cause))
	}
}

// logMalformed logs an announcement that could not be parsed, at most once per
// malformedLogInterval.
func (g *Gateway) logMalformed(server string, cause error) {
	if omitted, allowed := g.malformed.Allow(clock.Now(), malformedLogInterval); allowed {
		g.Logs.All.Warn("cannot parse header of a server's response; ignoring it", zap.String("server", server),
			zap.Int64("lines_left_out", omitted), zap.Error(cause))
	}
}
