package origins

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/origin"
	"github.com/gaplink/gaplink/peer"
)

// Finding is what is known of the origin of a stream.
type Finding struct {
	// Known is set if Origin began the stream.
	Known  bool
	Origin origin.Version
	// Source says where the finding comes from: "here", the ID of a router, "sole version", or "unknown".
	Source string
	// Watched is how long this process has watched the versions that serve. Current is the number of other routers that
	// answered with current registrations, Silent that of those that did not answer.
	Watched         time.Duration
	Current, Silent int
	// sole holds the services of which one version alone has served since the stream can have begun.
	sole map[string]bool
}

// Sole reports whether a stream of a service can have begun at one version alone.
func (f Finding) Sole(service string) bool { return f.sole[service] }

// Find finds out which version began the stream that a try of an account names, given the services at
// which it may have run. It asks other routers, even if this one knows of a single version: its registrations may
// be older than the stream.
func (c *Controller) Find(ctx context.Context, account, try string, services []string) Finding {
	for _, service := range services {
		c.observe(service)
	}
	key := origin.KeyOf(account, try)
	s := survey{named: try != "", services: services, served: c.servedHere(services)}
	s.add("here", c.known(key))
	if !s.origin.Known || !allSole(s.served) {
		c.ask(ctx, key, &s)
	}
	f := s.finding(c.isCurrent())
	f.Watched, f.Current, f.Silent = clock.Since(c.started), s.current, s.missing
	c.count(f)
	return f
}

func (c *Controller) count(f Finding) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case f.Known:
		c.counts.Found++
	case f.Source == "unknown":
		c.counts.Unknown++
	}
}

func allSole(served [][]string) bool {
	return !slices.ContainsFunc(served, func(versions []string) bool { return len(versions) > 1 })
}

// servedHere returns the versions of services that have served as seen by this router.
func (c *Controller) servedHere(services []string) (served [][]string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, service := range services {
		served = append(served, c.history.Served(service))
	}
	return served
}

func (c *Controller) known(key origin.Key) origin.Knowledge {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Known(clock.Now(), key)
}

// isCurrent reports whether this router's registrations of servers are current.
func (c *Controller) isCurrent() bool { return c.Current == nil || c.Current() }

// reply is a router's answer to the question for an origin; nil: none.
type reply struct {
	router string
	answer *peer.OriginAnswer
}

// survey is what this router and those that it asks know of a stream.
type survey struct {
	// named is set if the caller names the stream. Otherwise only the versions that have served count.
	named    bool
	services []string
	origin   origin.Knowledge
	// source is the router that knew the origin, and sources the number of those that did.
	source  string
	sources int
	// served are the versions of each service that have served.
	served [][]string
	// current counts the routers that answered with current registrations, and missing those that did not
	// answer.
	current, missing int
}

// add adds what a router knows of the origin.
func (s *survey) add(router string, k origin.Knowledge) {
	if !s.named || !k.Known && !k.Ambiguous {
		return
	}
	if s.sources++; s.sources == 1 || k.Attempt > s.origin.Attempt {
		s.source = router
	}
	s.origin = s.origin.Merge(k)
}

// addReply adds the answer of a router.
func (s *survey) addReply(r reply) {
	if r.answer == nil {
		s.missing++
		return
	}
	a := r.answer
	s.add(r.router, origin.Knowledge{Known: a.Known, Ambiguous: a.Ambiguous, Origin: a.Origin, Attempt: a.Attempt})
	if a.Current {
		s.current++
	}
	for i := range min(len(s.served), len(a.Served)) {
		s.served[i] = union(s.served[i], a.Served[i])
	}
}

// settled reports whether further answers would change nothing that matters.
func (s *survey) settled() bool {
	return s.origin.Ambiguous || s.sources > copies || s.sources == 0 && s.current >= copies && allSole(s.served)
}

// finding returns what follows for the stream. Without an origin nothing does if neither this router nor another one
// has current registrations and some router did not answer: a version may have come that all of them have
// missed. If all answer, none has heard of it, so nobody has begun a stream there.
func (s *survey) finding(isCurrent bool) Finding {
	f := Finding{Source: "unknown", sole: map[string]bool{}}
	switch {
	case s.origin.Known:
		return Finding{Known: true, Origin: s.origin.Origin, Source: s.source}
	case s.origin.Ambiguous, !isCurrent && s.current == 0 && s.missing > 0:
		return f
	}
	for i, service := range s.services {
		f.sole[service] = len(s.served[i]) <= 1
	}
	if allSole(s.served) {
		f.Source = "sole version"
	}
	return f
}

// ask asks the routers that may keep the origin of a stream. Once one of them has it, the others have a short time to
// tell of a later attempt.
func (c *Controller) ask(ctx context.Context, key origin.Key, s *survey) {
	if c.Fleet == nil {
		return
	}
	keepers := c.Fleet.Keepers(key, maxKeepers)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	replies := c.askEach(ctx, keepers, &peer.OriginRequest{Key: key, Services: s.services})
	var expired <-chan time.Time
	for range keepers {
		if s.sources > 0 && expired == nil {
			expired = time.After(conflictWait)
		}
		select {
		case r := <-replies:
			s.addReply(r)
		case <-expired:
			return
		}
		if s.settled() {
			return
		}
	}
}

// askEach asks routers at once, and returns the channel of their replies.
func (c *Controller) askEach(ctx context.Context, routers []string, req *peer.OriginRequest) <-chan reply {
	replies := make(chan reply, len(routers))
	for _, id := range routers {
		go func() {
			answer, err := c.Fleet.Find(ctx, id, req)
			if err != nil {
				c.Log.Debug("cannot ask for the origin of a stream", zap.String("router", id), zap.Error(err))
				answer = nil
			}
			replies <- reply{id, answer}
		}()
	}
	return replies
}

// union returns the distinct elements of two sorted lists.
func union(a, b []string) []string {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}

// OnFind handles the question of another router for the origin of a stream.
func (c *Controller) OnFind(_ context.Context, req *peer.OriginRequest) (*peer.OriginAnswer, error) {
	for _, service := range req.Services {
		c.observe(service)
	}
	k := c.known(req.Key)
	return &peer.OriginAnswer{
		Known: k.Known, Ambiguous: k.Ambiguous, Origin: k.Origin, Attempt: k.Attempt, Served: c.servedHere(req.Services), Current: c.isCurrent(),
	}, nil
}
