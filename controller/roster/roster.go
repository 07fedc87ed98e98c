// Package roster registers this router in the store and learns of the others:
// from their registrations, from the seeds, and from one another.
//
// Nothing rests on the roster for safety. It serves borrowing, news and fair
// shares.
package roster

import (
	"context"
	"encoding/json"
	"errors"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/controller/members"
	"github.com/gaplink/gaplink/membership"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/store"
	"github.com/gaplink/gaplink/wait"
)

const (
	// Kind is the kind of the registrations in the store.
	Kind = "routers"
	// callTimeout bounds a call to another router.
	callTimeout = 500 * time.Millisecond
	// retryEvery is the pause after a failed registration.
	retryEvery = 500 * time.Millisecond
)

// Controller keeps this router registered.
type Controller struct {
	self    peer.Router
	seeds   func() []string
	store   store.Store
	members *members.Controller
	peers   *peer.Client
	log     *zap.Logger
}

// New returns a controller for the router self; seeds are asked when the store
// cannot be.
func New(self peer.Router, seeds func() []string, s store.Store, m *members.Controller, p *peer.Client, log *zap.Logger) *Controller {
	return &Controller{self: self, seeds: seeds, store: s, members: m, peers: p, log: log}
}

// Run registers the router and greets the others, until that is done once or
// the context ends. Later routers greet this one.
func (c *Controller) Run(ctx context.Context) {
	c.greetSeeds(ctx)
	for ctx.Err() == nil {
		err := c.join(ctx)
		if err == nil {
			return
		}
		c.log.Warn("not registered yet", zap.Error(err))
		_ = wait.For(ctx, retryEvery)
	}
}

// join writes the registration, then greets all that are registered. Of two
// routers that start together, the later writer sees the earlier one.
func (c *Controller) join(ctx context.Context) error {
	if err := c.register(ctx); err != nil {
		return err
	}
	objects, _, err := c.store.List(ctx, Kind)
	if err != nil {
		return err
	}
	for _, o := range objects {
		r, err := decode(o.Value)
		if err != nil {
			c.log.Error("registration of a router is not readable", zap.String("key", o.Key), zap.Error(err))
			continue
		}
		if r.ID != c.self.ID {
			go c.greet(ctx, r.Addr, false)
		}
	}
	return nil
}

// decode reads a router's registration. One without an id or an address to call is
// none.
func decode(value []byte) (peer.Router, error) {
	var r peer.Router
	if err := json.Unmarshal(value, &r); err != nil {
		return peer.Router{}, err
	}
	if r.ID == "" {
		return peer.Router{}, errNoID
	}
	if _, err := netip.ParseAddrPort(r.Addr); err != nil {
		return peer.Router{}, err
	}
	return r, nil
}

// errNoID is a registration that does not say whose it is.
var errNoID = errors.New("no id")

func (c *Controller) key() string { return Kind + "/" + c.self.ID }

func (c *Controller) register(ctx context.Context) error {
	value, err := json.Marshal(c.self)
	if err != nil {
		return err
	}
	_, err = c.store.Create(ctx, c.key(), value)
	if !errors.Is(err, store.ErrConflict) {
		return err
	}
	old, err := c.store.Get(ctx, c.key())
	if err != nil {
		return err
	}
	_, err = c.store.Update(ctx, c.key(), old.Version, value)
	return err
}

// Leave removes the registration.
func (c *Controller) Leave(ctx context.Context) {
	old, err := c.store.Get(ctx, c.key())
	if err == nil {
		err = c.store.Delete(ctx, c.key(), old.Version)
	}
	if err != nil {
		c.log.Info("registration not removed; others find out by calling", zap.Error(err))
	}
}

func (c *Controller) greetSeeds(ctx context.Context) {
	for _, addr := range c.seeds() {
		if addr != c.self.Addr {
			go c.greet(ctx, addr, true)
		}
	}
}

// greet tells the router at addr of this one, and meets it, or all that it
// knows.
func (c *Controller) greet(ctx context.Context, addr string, all bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := peer.Call[peer.HelloRequest, peer.HelloAnswer](ctx, c.peers, addr, peer.MethodHello, &peer.HelloRequest{Self: c.self, All: all})
	if err != nil {
		c.log.Info("router does not answer", zap.String("address", addr), zap.Error(err))
		return
	}
	for _, r := range answer.Routers {
		c.meet(r)
	}
}

// Hello answers another router's greeting.
func (c *Controller) Hello(_ context.Context, req *peer.HelloRequest) (*peer.HelloAnswer, error) {
	c.meet(req.Self)
	c.members.Reached(req.Self.ID)
	known := []peer.Router{c.self}
	if !req.All {
		return &peer.HelloAnswer{Routers: known}, nil
	}
	for _, m := range c.members.Members() {
		if m.ID != c.self.ID {
			known = append(known, peer.Router{ID: m.ID, Addr: m.Addr, Domain: m.Domain, Incarnation: m.Incarnation, LinkMbps: m.LinkMbps})
		}
	}
	return &peer.HelloAnswer{Routers: known}, nil
}

func (c *Controller) meet(r peer.Router) {
	if r.ID == c.self.ID {
		return
	}
	if _, known := c.members.Addr(r.ID); !known {
		c.log.Info("router met", zap.String("router", r.ID), zap.String("address", r.Addr))
	}
	c.members.Met(membership.Member{ID: r.ID, Kind: "router", Addr: r.Addr, Domain: r.Domain, State: membership.Live, Incarnation: r.Incarnation, LinkMbps: r.LinkMbps})
}
