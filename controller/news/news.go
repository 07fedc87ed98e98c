// Package news brings the configuration and the servers' registrations from
// other routers to one that does not watch the store: because the store does
// not answer it, or because in a large fleet few routers watch for all.
package news

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/controller/configs"
	"github.com/gaplink/gaplink/controller/members"
	"github.com/gaplink/gaplink/controller/registry"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/store"
)

const (
	// askEvery is how often another router is asked.
	askEvery = 250 * time.Millisecond
	// callTimeout bounds the question.
	callTimeout = 400 * time.Millisecond
	// trust is how long a router goes by news before it watches the store
	// itself: three questions.
	trust = 800 * time.Millisecond
	// watchersEach is how many routers of a failure domain watch the store in a
	// large fleet: one more than is needed.
	watchersEach = 2
	// watchRole is the role by which they are ranked.
	watchRole = "watch"
)

// Options are what a controller works with.
type Options struct {
	Configs *configs.Controller
	Servers *registry.Controller
	Members *members.Controller
	Peers   *peer.Client
	// Self is this process.
	Self string
	// Domain is this router's failure domain.
	Domain string
	// Lost tells whether the store does not answer this router.
	Lost func() bool
	// Large tells whether the fleet is so large that few watch for all.
	Large func() bool
	Log   *zap.Logger
}

// Controller asks and answers. It is safe for concurrent use.
type Controller struct {
	Options

	mu      sync.Mutex
	source  string // whose registrations were taken last
	seq     int64
	current time.Time // when a watching router last answered
	next    int       // which of the ranked routers is asked
	told    bool      // the log has the present source of news
}

// New returns a controller.
func New(o Options) *Controller { return &Controller{Options: o} }

// Watches tells whether this router should watch the store: all do in a small
// fleet, else the first of each failure domain, and whoever hears no news.
func (c *Controller) Watches() bool {
	if !c.Large() {
		return true
	}
	c.mu.Lock()
	heard := c.current
	c.mu.Unlock()
	return time.Since(heard) > trust || c.isWatcher()
}

func (c *Controller) isWatcher() bool {
	for _, id := range c.watchers() {
		if id == c.Members.Self().ID {
			return true
		}
	}
	return false
}

// watchers are the routers of this failure domain that watch the store.
func (c *Controller) watchers() []string {
	ranked := c.Members.RankIn(time.Now(), watchRole, c.Domain)
	return ranked[:min(len(ranked), watchersEach)]
}

// Run asks another router every so often while this one does not watch the
// store, or the store does not answer.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(askEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if c.Lost() || c.Large() && !c.isWatcher() {
				c.ask(ctx)
			}
		case <-ctx.Done():
			return
		}
	}
}

// candidates are the routers to ask: in a large fleet the watchers of this
// failure domain, and all others while the store is lost.
func (c *Controller) candidates() []string {
	if c.Large() && !c.Lost() {
		return c.watchers()
	}
	return c.Members.Others(time.Now())
}

func (c *Controller) ask(ctx context.Context) {
	ids := c.candidates()
	if len(ids) == 0 {
		return
	}
	c.mu.Lock()
	id := ids[c.next%len(ids)]
	req := &peer.NewsRequest{Config: c.Configs.Version(), Source: c.source, Seq: c.seq}
	c.mu.Unlock()
	addr, ok := c.Members.Addr(id)
	if !ok || id == c.Members.Self().ID {
		c.failed()
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := peer.Call[peer.NewsRequest, peer.NewsAnswer](ctx, c.Peers, addr, peer.MethodNews, req)
	if err != nil {
		c.Members.Failed(id)
		c.failed()
		return
	}
	c.Members.Reached(id)
	c.take(id, answer)
}

// failed turns to the next router.
func (c *Controller) failed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	c.told = false
}

func (c *Controller) take(id string, answer *peer.NewsAnswer) {
	if answer.Config != nil {
		c.Configs.Take(answer.Config, id)
	}
	if !answer.Current {
		c.failed()
		return
	}
	c.Configs.Confirmed()
	if answer.Full {
		c.Servers.Listed(objects(answer.Servers))
	} else if len(answer.Servers) > 0 {
		c.Servers.Changed(objects(answer.Servers))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.source, c.seq, c.current = answer.Source, answer.Seq, time.Now()
	if !c.told {
		c.told = true
		c.Log.Info("news through another router", zap.String("router", id))
	}
}

// Answer answers another router's question.
func (c *Controller) Answer(_ context.Context, req *peer.NewsRequest) (*peer.NewsAnswer, error) {
	answer := &peer.NewsAnswer{Current: !c.Lost() && c.Watches() && c.Servers.Ready(), Source: c.Self}
	if c.Configs.Version() > req.Config {
		answer.Config = c.Configs.Raw()
	}
	if !answer.Current {
		return answer, nil
	}
	seq := req.Seq
	if req.Source != c.Self {
		seq = 0
	}
	changed, last, full := c.Servers.Since(seq)
	answer.Servers, answer.Seq, answer.Full = registrations(changed), last, full
	return answer, nil
}

func registrations(entries []store.Object) []peer.Registration {
	list := make([]peer.Registration, 0, len(entries))
	for _, e := range entries {
		list = append(list, peer.Registration(e))
	}
	return list
}

func objects(list []peer.Registration) []store.Object {
	objects := make([]store.Object, 0, len(list))
	for _, r := range list {
		objects = append(objects, store.Object(r))
	}
	return objects
}
