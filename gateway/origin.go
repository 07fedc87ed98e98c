package gateway

import (
	"context"
	"slices"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/catalog"
	"github.com/gaplink/gaplink/controller/origins"
	"github.com/gaplink/gaplink/origin"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/result"
)

// resumable reports whether the response is a stream that may go on in another run.
func (c *call) resumable() bool { return c.route.Kind == catalog.Stream && c.route.MayRepeat() }

// takesUpStream reports whether the caller takes up a stream of which it has events.
func (c *call) takesUpStream() bool { return c.resumable() && c.LastEvent != "" }

// streamID returns what identifies the request's stream over all tries of its caller.
func (c *call) streamID() origins.Stream {
	s := origins.Stream{Tries: []string{c.ID}, Split: len(c.route.Split) > 1}
	if c.account != nil {
		s.Account = c.account.Name
	}
	if c.takesUpStream() && c.FirstTry != "" {
		s.Tries = append(s.Tries, c.FirstTry)
	}
	return s
}

// findOrigin finds out which software version began the stream that the caller takes up.
func (c *call) findOrigin(ctx context.Context) {
	if !c.takesUpStream() {
		return
	}
	services := make([]string, 0, len(c.route.Split))
	for _, s := range c.route.Split {
		services = append(services, s.Service)
	}
	c.origin = c.g.Origins.Find(ctx, c.streamID().Account, c.FirstTry, services)
}

// originService returns the service that began the stream, if the route leads there.
func (c *call) originService() (string, bool) {
	name := c.origin.Origin.Service
	return name, c.origin.Known && slices.ContainsFunc(c.route.Split, func(s catalog.WeightedService) bool {
		return s.Service == name && s.Weight > 0
	})
}

// pinVersion restricts a stream that is taken up to the version that began it. It returns an error if that
// version is unknown and there are several.
func (c *call) pinVersion() *result.Error {
	sole, isSole := c.origin.Sole(c.service.Name)
	switch {
	case !c.takesUpStream():
		return nil
	case c.origin.Known && c.origin.Origin.Service == c.service.Name:
		c.stream.version.Store(&c.origin.Origin.Name)
		return nil
	case c.origin.Known:
		return nil
	case isSole:
		c.stream.version.Store(sole) // another one may come while the request waits
		return nil
	default:
		return result.New(result.VersionUnavailable, "it is not known which software version of %s began the stream", c.service.Name).After(noServerRetryAfter)
	}
}

// recordOrigin has the version of the attempt's server recorded as the one that begins the stream.
func (a *attempt) recordOrigin() {
	if a.resumable() && (a.takesUpStream() || a.stream.version.Load() == nil) {
		a.recording = a.g.Origins.Begin(a.streamID(), origin.Version{Service: a.service.Name, Name: a.server.Version}, len(a.attempts)+1)
	}
}

// bindVersion binds the stream to the version of the attempt's server, which has sent its first event.
func (a *attempt) bindVersion() {
	if a.stream.version.Load() == nil {
		a.stream.version.Store(&a.server.Version)
	}
	if !a.stream.bound {
		a.stream.bound = true
		a.recording.Bind(a.r.Context())
	}
}

// endOrigin records that the stream has reached its end.
func (c *call) endOrigin() {
	if c.outcome == result.OK && c.stream.version.Load() != nil {
		c.g.Origins.End(c.streamID())
	}
}

// versionGone reports whether no server of the version that began the stream may be sent requests.
func (c *call) versionGone() bool { return c.stream.version.Load() != nil && !c.canGoOn(nil) }

// canGoOn reports whether there is a server at which the stream may go on, other than those tried.
func (c *call) canGoOn(tried map[placement.Incarnation]bool) bool {
	return c.g.Servers.CanRun(placement.Query{
		Service: c.service.Name, Version: c.stream.version.Load(), Tried: tried, InDomain: c.allowedDomains(),
	})
}

// originFields returns what the choice of the version was made from as log fields.
func (c *call) originFields() []zap.Field {
	if c.origin.Source == "" {
		return nil
	}
	fields := []zap.Field{
		zap.String("begun_at", c.origin.Origin.Name), zap.String("origin_from", c.origin.Source),
		zap.Duration("versions_watched_ms", c.origin.Watched),
		zap.Int("routers_current", c.origin.Current), zap.Int("routers_silent", c.origin.Silent),
	}
	if c.g.RegistrationAge != nil {
		fields = append(fields, zap.Duration("registrations_age_ms", c.g.RegistrationAge()))
	}
	return fields
}
