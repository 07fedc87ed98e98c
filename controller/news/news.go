// Package news brings the configuration and the servers' registrations from
// other routers to one that the store does not answer.
package news

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/gaplink/gaplink/controller/configs"
	"github.com/gaplink/gaplink/controller/members"
	"github.com/gaplink/gaplink/controller/registry"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/store"
)

const (
	// askEvery is how often another router is asked while the store is away.
	askEvery = 250 * time.Millisecond
	// callTimeout bounds the question.
	callTimeout = 400 * time.Millisecond
)

// Controller asks and answers.
type Controller struct {
	configs *configs.Controller
	servers *registry.Controller
	members *members.Controller
	peers   *peer.Client
	// lost tells whether the store does not answer this router.
	lost   func() bool
	log    *zap.Logger
	taught atomic.Bool
}

// New returns a controller; lost tells whether the store is away.
func New(c *configs.Controller, s *registry.Controller, m *members.Controller, p *peer.Client, lost func() bool, log *zap.Logger) *Controller {
	return &Controller{configs: c, servers: s, members: m, peers: p, lost: lost, log: log}
}

// Run asks one other router every so often while the store is away.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(askEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if c.lost() {
				c.ask(ctx)
			} else {
				c.taught.Store(false)
			}
		case <-ctx.Done():
			return
		}
	}
}

// ask asks a router drawn at random among those that answered lately.
func (c *Controller) ask(ctx context.Context) {
	ids := c.members.Others(time.Now())
	if len(ids) == 0 {
		return
	}
	id := ids[rand.IntN(len(ids))]
	addr, ok := c.members.Addr(id)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req := &peer.NewsRequest{Config: c.configs.Version(), Servers: digest(c.servers.Entries())}
	answer, err := peer.Call[peer.NewsRequest, peer.NewsAnswer](ctx, c.peers, addr, peer.MethodNews, req)
	if err != nil {
		c.members.Failed(id)
		return
	}
	c.members.Reached(id)
	c.take(id, answer)
}

func (c *Controller) take(id string, answer *peer.NewsAnswer) {
	if answer.Config != nil {
		c.configs.Take(answer.Config, id)
	}
	if !answer.Current {
		return
	}
	c.configs.Confirmed()
	if !c.taught.Swap(true) {
		c.log.Info("news through another router", zap.String("router", id))
	}
	if answer.Differ {
		c.servers.Listed(objects(answer.Servers))
	}
}

// Answer answers another router's question.
func (c *Controller) Answer(_ context.Context, req *peer.NewsRequest) (*peer.NewsAnswer, error) {
	answer := &peer.NewsAnswer{Current: !c.lost() && c.servers.Ready()}
	if c.configs.Version() > req.Config {
		answer.Config = c.configs.Raw()
	}
	entries := c.servers.Entries()
	if answer.Current && digest(entries) != req.Servers {
		answer.Differ = true
		answer.Servers = registrations(entries)
	}
	return answer, nil
}

// digest is equal for equal registrations. Two sets with the same digest by
// chance would differ only until the next change.
func digest(entries []store.Object) uint64 {
	h := xxhash.New()
	for _, e := range entries {
		_, _ = h.WriteString(e.Key)
		_, _ = h.Write(e.Value)
	}
	return h.Sum64()
}

func registrations(entries []store.Object) []peer.Registration {
	list := make([]peer.Registration, 0, len(entries))
	for _, e := range entries {
		list = append(list, peer.Registration{Key: e.Key, Version: e.Version, Value: e.Value})
	}
	return list
}

func objects(list []peer.Registration) []store.Object {
	objects := make([]store.Object, 0, len(list))
	for _, r := range list {
		objects = append(objects, store.Object{Key: r.Key, Version: r.Version, Value: r.Value})
	}
	return objects
}
