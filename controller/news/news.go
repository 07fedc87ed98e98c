// Package news brings the configuration and the servers' registrations from
// other routers to one that does not watch the store: because the store does
// not answer it, or because in a large fleet few routers watch for all.
package news

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/controller/configs"
	"github.com/gaplink/gaplink/controller/follow"
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
	// fetchTimeout bounds the fetching of a configuration: a large one, compressed,
	// takes half a second on a small router's link that serves several.
	fetchTimeout = 2 * time.Second
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
	// Lost tells whether the store does not answer this router, and Fresh whether
	// it answered just now.
	Lost, Fresh func() bool
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

	fetching atomic.Bool // a configuration is being fetched
}

// New returns a controller.
func New(o Options) *Controller { return &Controller{Options: o} }

// Part tells whether this router follows the store: all do in a small fleet,
// else the first of each failure domain, and whoever hears no news.
func (c *Controller) Part() follow.Part {
	if !c.Large() || c.isWatcher() {
		return follow.Follows
	}
	if !c.Heard() {
		return follow.Deputy
	}
	return follow.Rests
}

// Heard tells whether another router has told lately what it knows from the
// store.
func (c *Controller) Heard() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.current) <= trust
}

func (c *Controller) isWatcher() bool {
	for _, id := range c.watchers(c.Domain) {
		if id == c.Members.Self().ID {
			return true
		}
	}
	return false
}

// watchers are the routers of a failure domain that watch the store.
func (c *Controller) watchers(domain string) []string {
	ranked := c.Members.RankIn(time.Now(), watchRole, domain)
	return ranked[:min(len(ranked), watchersEach)]
}

// Run asks another router every so often while it is not this one's task to
// watch the store, or the store does not answer.
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

// candidates are the routers to ask: all others in a small fleet, else those
// that watch the store, the ones of this failure domain first.
func (c *Controller) candidates() []string {
	if !c.Large() {
		return c.Members.Others(time.Now())
	}
	ids := c.watchers(c.Domain)
	for _, domain := range c.Members.Domains() {
		if domain != c.Domain {
			ids = append(ids, c.watchers(domain)...)
		}
	}
	return slices.DeleteFunc(ids, func(id string) bool { return id == c.Members.Self().ID })
}

func (c *Controller) ask(ctx context.Context) {
	ids := c.candidates()
	if len(ids) == 0 {
		return
	}
	c.mu.Lock()
	id := ids[c.next%len(ids)]
	req := &peer.NewsRequest{Source: c.source, Seq: c.seq}
	c.mu.Unlock()
	addr, ok := c.Members.Addr(id)
	if !ok {
		c.failed()
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := peer.Call[peer.NewsRequest, peer.NewsAnswer](callCtx, c.Peers, addr, peer.MethodNews, req)
	if err != nil {
		c.Members.Failed(id, err)
		c.failed()
		return
	}
	c.Members.Reached(id)
	c.take(ctx, id, answer)
}

// failed turns to the next router.
func (c *Controller) failed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	c.told = false
}

func (c *Controller) take(ctx context.Context, id string, answer *peer.NewsAnswer) {
	newer := answer.Config > c.Configs.Version()
	if newer {
		c.fetchOnce(ctx, id)
	}
	if !answer.Current {
		c.failed()
		return
	}
	if !newer {
		c.Configs.Confirmed()
	}
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

// fetchOnce fetches the configuration of another router in the background,
// unless that is under way already.
func (c *Controller) fetchOnce(ctx context.Context, id string) {
	if !c.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer c.fetching.Store(false)
		if err := c.fetch(ctx, id); err != nil {
			c.Log.Info("configuration not fetched", zap.String("router", id), zap.Error(err))
			c.failed()
		}
	}()
}

func (c *Controller) fetch(ctx context.Context, id string) error {
	addr, ok := c.Members.Addr(id)
	if !ok {
		return peer.ErrNotSent
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	answer, err := peer.Call[peer.Empty, peer.ConfigAnswer](ctx, c.Peers, addr, peer.MethodConfig, &peer.Empty{})
	if err != nil {
		return err
	}
	return c.Configs.TakePacked(answer.Packed, id)
}

// Config answers another router that fetches the configuration.
func (c *Controller) Config(context.Context, *peer.Empty) (*peer.ConfigAnswer, error) {
	packed, err := c.Configs.Packed()
	return &peer.ConfigAnswer{Packed: packed}, err
}

// Answer answers another router's question.
func (c *Controller) Answer(_ context.Context, req *peer.NewsRequest) (*peer.NewsAnswer, error) {
	answer := &peer.NewsAnswer{Current: c.Fresh() && c.Servers.Ready(), Config: c.Configs.Version(), Source: c.Self}
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
