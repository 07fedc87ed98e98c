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
	// Source says where the finding comes from: "here", the ID of a router, "store", "sole version", or
	// "unknown".
	Source string
	// Watched is how long this process has watched the versions that serve. Current is the number of other routers that
	// answered with current registrations, Silent that of those that did not answer.
	Watched         time.Duration
	Current, Silent int
	// sole holds the versions of the services of which no more than one has served since the stream can have begun.
	sole map[string][]string
}

// Sole reports whether a stream of a service can have begun at one version alone, and returns that version; nil if none
// has served. Further versions may have come since.
func (f Finding) Sole(service string) (version *string, ok bool) {
	versions, ok := f.sole[service]
	if len(versions) == 0 {
		return nil, ok
	}
	return &versions[0], ok
}

// Find finds out which version began the stream that a try of an account names, given the services at
// which it may have run. It asks other routers, even if this one knows of a single version: its registrations may
// be older than the stream. If none has the origin, the record in the store decides, which names the versions that have
// served: that neither this router nor those it asked have seen another one is no evidence.
func (c *Controller) Find(ctx context.Context, account, try string, services []string) Finding {
	for _, service := range services {
		c.observe(service)
	}
	key := origin.KeyOf(account, try)
	s := survey{copies: c.copies(), named: try != "", services: services, served: c.servedHere(services)}
	s.add("here", c.known(key))
	if s.origin.Known && allSole(s.served) {
		return c.finding(s)
	}
	var record *recordRead
	if allSole(s.served) {
		record = c.nextRead()
	}
	c.ask(ctx, key, &s, record)
	if s.isRefused() {
		s.add("store", c.findStored(ctx, key))
	}
	return c.finding(s)
}

// finding returns and counts what follows for a stream.
func (c *Controller) finding(s survey) Finding {
	f := s.finding()
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

// allSole reports whether no more than one version of one service has served, of all services at which a stream may have
// run.
func allSole(served [][]string) bool {
	all := 0
	for _, versions := range served {
		all += len(versions)
	}
	return all <= 1
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
	// copies is the number of other routers at which an origin is recorded.
	copies int
	// named is set if the caller names the stream. Otherwise only the versions that have served count.
	named    bool
	services []string
	origin   origin.Knowledge
	// source is the router that knew the origin, and sources the number of those that did.
	source  string
	sources int
	// served are the versions of each service that have served.
	served [][]string
	// current counts the routers that answered with current registrations, missing those that did not answer.
	current, missing int
	// record is set if the record of versions was read, and incomplete if that may lack some.
	record, incomplete bool
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

// addRecord adds the record of the versions that have served.
func (s *survey) addRecord(served origin.Served, err error) {
	if err != nil {
		return
	}
	s.record, s.incomplete = true, served.Incomplete
	s.served = unionServed(served, s.services, s.served)
}

// isUnknown reports whether no origin of the stream was found.
func (s *survey) isUnknown() bool { return !s.origin.Known && !s.origin.Ambiguous }

// isRefused reports whether a stream is refused since its origin is unknown.
func (s *survey) isRefused() bool {
	return s.named && s.isUnknown() && !(s.knowsAll() && allSole(s.served))
}

// settled reports whether further answers would change nothing that matters. The record alone settles nothing: while the
// store takes no writes, versions serve that are not on record.
func (s *survey) settled() bool { return s.origin.Ambiguous || s.sources > s.copies }

// knowsAll reports whether all versions that have served are known. Only the record in the store names them: one may have
// served at a router that has reached no other.
func (s *survey) knowsAll() bool { return s.record && !s.incomplete }

// finding returns what follows for the stream.
func (s *survey) finding() Finding {
	f := Finding{Source: "unknown", sole: map[string][]string{}}
	switch {
	case s.origin.Known:
		return Finding{Known: true, Origin: s.origin.Origin, Source: s.source}
	case s.origin.Ambiguous, !s.knowsAll():
		return f
	}
	if !allSole(s.served) {
		return f
	}
	for i, service := range s.services {
		f.sole[service] = s.served[i]
	}
	f.Source = "sole version"
	return f
}

// ask asks the routers that may keep the origin of a stream, and takes in the record of versions unless record is nil. Once
// a router has the origin, the others have a short time to send a later attempt.
func (c *Controller) ask(ctx context.Context, key origin.Key, s *survey, record *recordRead) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	var read, givenUp <-chan struct{}
	if record != nil {
		read, givenUp = record.done, ctx.Done()
	}
	replies, pending := c.askEach(ctx, &peer.OriginRequest{Key: key, Services: s.services})
	var expired <-chan time.Time
	for !s.settled() && (pending > 0 || read != nil && s.isUnknown() && allSole(s.served)) {
		if s.sources > 0 && expired == nil {
			expired = time.After(conflictWait)
		}
		select {
		case r := <-replies:
			pending--
			s.addReply(r)
		case <-read:
			read, givenUp = nil, nil
			s.addRecord(record.served, record.err)
		case <-givenUp:
			read, givenUp = nil, nil
		case <-expired:
			return
		}
	}
}

// askEach asks the routers that may keep the origin of a stream, and returns the channel of their replies and their
// number.
func (c *Controller) askEach(ctx context.Context, req *peer.OriginRequest) (<-chan reply, int) {
	if c.Fleet == nil {
		return nil, 0
	}
	routers := c.keepers(req.Key)
	replies := make(chan reply, len(routers))
	for _, id := range routers {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			answer, err := c.Fleet.Find(ctx, id, req)
			if err != nil {
				c.Log.Debug("cannot ask for the origin of a stream", zap.String("router", id), zap.Error(err))
				answer = nil
			}
			replies <- reply{id, answer}
		}()
	}
	return replies, len(routers)
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
		Known:     k.Known,
		Ambiguous: k.Ambiguous,
		Origin:    k.Origin,
		Attempt:   k.Attempt,
		Served:    c.servedHere(req.Services),
		Listed:    c.listedHere(req.Services),
		Current:   c.isCurrent(),
	}, nil
}
