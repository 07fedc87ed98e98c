// Package server is the gateway as a library with a life cycle:
//
//	s, err := server.New(settings, platform, writer) // provision and validate
//	err = s.Start()
//	s.Stop() // a planned stop
//
// cmd/gaplink-gateway is a thin daemon over it.
package server

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/gaplink/gaplink/budget"
	"github.com/gaplink/gaplink/catalog"
	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/controller/budgets"
	"github.com/gaplink/gaplink/controller/configs"
	"github.com/gaplink/gaplink/controller/evacuations"
	"github.com/gaplink/gaplink/controller/follow"
	"github.com/gaplink/gaplink/controller/limits"
	"github.com/gaplink/gaplink/controller/members"
	"github.com/gaplink/gaplink/controller/registry"
	"github.com/gaplink/gaplink/controller/roster"
	"github.com/gaplink/gaplink/controller/updates"
	"github.com/gaplink/gaplink/controller/verdicts"
	"github.com/gaplink/gaplink/exchange"
	"github.com/gaplink/gaplink/gateway"
	"github.com/gaplink/gaplink/link"
	"github.com/gaplink/gaplink/logs"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/result"
	"github.com/gaplink/gaplink/settings"
	"github.com/gaplink/gaplink/sockets"
	"github.com/gaplink/gaplink/store"
	"github.com/gaplink/gaplink/upstream"
)

const (
	// idleTimeout is how long a caller's unused connection is kept. Callers
	// give theirs up earlier, by the operator's limit.
	idleTimeout = 60 * time.Second
	// headerTimeout bounds the arrival of a request's head.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes is above every limit that an operator sets for callers.
	maxHeaderBytes = 64 << 10
	// returnReserve is kept of the grace time for returning what cut requests
	// leave of the budgets: two writes at a store that is slow.
	returnReserve = time.Second
	// exitReserve is kept of the grace time for the end of the process.
	exitReserve = 300 * time.Millisecond
	// collectAt makes the garbage collector run when the heap has grown by this
	// percentage: memory at its peak costs more than processor time.
	collectAt = 50
	// retryShare is the part of the operator's bound on repeats that the
	// routers plan with; the rest covers uneven shares and restarts.
	retryShare = 0.8
	// leastRouters is the size of fleet assumed before the others are met, when
	// shares of what the fleet may do together are worked out.
	leastRouters = 6
	// tailShare and tailTime keep the last two hundredth of a budget for a quarter
	// of a minute of small requests: that still serves a few in a hundred when most
	// budgets are spent. A fiftieth served no more and left accounts refused with
	// tokens lying still.
	tailShare = 0.005
	tailTime  = 15 * time.Second
	// starterShare is the part of a budget that is drawn before its first request:
	// about a dozen requests of a large account.
	starterShare = 0.01
	// scarceHorizon is how much demand the store must have left for tokens not to
	// be scarce. Routers that hold none ahead while they are meet an outage of the
	// store with nothing.
	scarceHorizon = 2 * time.Second
	// entryHold is how much demand a router holds that does not draw from the
	// store itself, and entryLeast how many requests that must be: a router that
	// has fewer asks the home for each. With 87 routers and 24 budgets nearly all
	// have fewer, and the holds of all of them would be a quarter of the budgets.
	entryHold  = 3 * time.Second
	entryLeast = 4
	// drawTimeout is how long a home that has taken a question for tokens may
	// leave it open before it is passed over. It may be waiting for a slow store;
	// one that is dead is noticed by the message itself.
	drawTimeout = 1500 * time.Millisecond
	// peerDialTimeout bounds a connection to another router.
	peerDialTimeout = 200 * time.Millisecond
	// pageSpacing is the least time between two writes of the budgets that nobody
	// waits for. Each is a priced call, and mostly a second one, since another router
	// has written meanwhile; what is held lasts far longer.
	pageSpacing = 2 * time.Second
	// drawSpacing is how long a home gathers draws of others between two writes.
	drawSpacing = 100 * time.Millisecond
)

// Platform is what a deployment gives the gateway.
type Platform struct {
	Store    store.Store
	Protocol exchange.Protocol
	// ReadyPath is asked by the balancer.
	ReadyPath string
	// ConfigKind and ConfigKey say where the configuration is stored, ServerKind
	// where backend servers register, and EvacuationKind where evacuated failure
	// domains are named.
	ConfigKind, ConfigKey, ServerKind, EvacuationKind string
	DecodeConfig                                      configs.Decode
	DecodeServer                                      registry.Decode
}

// Server is one gateway process. Use New.
type Server struct {
	settings    settings.Gateway
	platform    Platform
	logs        logs.Loggers
	log         *zap.Logger
	writer      *logs.Writer
	incarnation string
	// begun is when the process was built.
	begun time.Time
	// boot identifies the boot of the machine; empty if it is not known.
	boot string

	store    *store.Counting
	configs  *configs.Controller
	servers  *registry.Controller
	budgets  *budgets.Controller
	verdicts *verdicts.Controller
	limits   *limits.Controller
	gateway  *gateway.Gateway
	pool     *upstream.Pool
	meter    *link.Meter
	link     linkState
	queue    link.Queue
	// shares are how many sockets each purpose may have open, and callerLimit how many callers
	// may by the memory too.
	shares      sockets.Shares
	callerLimit int
	// callerSide and peerSide are where callers and other routers connect; nil before Start.
	callerSide, peerSide *sockets.Listener
	greeter              *peer.Client
	descriptors          *descriptors
	registry             *prometheus.Registry

	members       *members.Controller
	peers         *peer.Client
	roster        *roster.Controller
	updates       *updates.Controller
	followConfigs *follow.Follower
	followServers *follow.Follower
	// followRouters follows the registrations of routers for a large fleet.
	followRouters *follow.Follower

	evacuations *evacuations.Controller
	// followEvacuations is nil where the platform knows none.
	followEvacuations *follow.Follower

	callers  *http.Server
	ready    *http.Server
	metrics  *http.Server
	cancel   context.CancelFunc
	stopping chan struct{}

	reloading sync.Mutex
}

// New builds a server from checked settings. It binds no address and starts
// nothing.
func New(s settings.Gateway, p Platform, w *logs.Writer) (*Server, error) {
	level, err := zapcore.ParseLevel(s.Log.Level)
	if err != nil {
		return nil, result.New(result.BadSettings, "log.level: %v", err)
	}
	both := logs.New(w, level)
	srv := &Server{
		settings:    s,
		platform:    p,
		logs:        both,
		log:         both.All,
		writer:      w,
		incarnation: s.Instance.ID + "/" + uuid.NewString()[:8],
		registry:    prometheus.NewRegistry(),
		stopping:    make(chan struct{}),
		begun:       clock.Now(),
	}
	srv.provision()
	return srv, nil
}

// drawers returns the number of routers that draw each budget from the store.
func (s *Server) drawers() int {
	if s.large() {
		return 1
	}
	return s.roster.Size()
}

// large tells whether the fleet is so large, or may be, that few routers speak with the store for
// the others. With fewer routers each draws budgets from the store for itself, so that little is
// lost with one; with more, their conditional updates of the same page would mostly conflict.
func (s *Server) large() bool { return s.roster.IsLarge() }

// relayIDs returns the routers that update the others in a large fleet; nil in a small one.
func (s *Server) relayIDs() []string {
	if !s.large() {
		return nil
	}
	return s.updates.RelayIDs()
}

// updatedByRelays tells whether this router gets the updates of a large fleet from relays.
func (s *Server) updatedByRelays() bool { return s.large() && !s.updates.UpdatesOthers() }

// seeds returns the addresses of other routers as the settings name them now.
func (s *Server) seeds() []string { return s.current().Fleet.Seeds }

// current returns the settings as they were last read.
func (s *Server) current() settings.Gateway {
	s.reloading.Lock()
	defer s.reloading.Unlock()
	return s.settings
}

// callLost tells whether the store did not answer this router's last call.
func (s *Server) callLost() bool {
	for _, f := range s.followers() {
		if f.Lost() {
			return true
		}
	}
	return false
}

// storeLost tells whether the store does not answer this router, or those that
// watch it for the fleet.
func (s *Server) storeLost() bool { return s.updates.StoreLost() }

// storeFresh tells whether what this router knows from the store is the newest.
func (s *Server) storeFresh() bool {
	for _, f := range s.followers() {
		if !f.Fresh() {
			return false
		}
	}
	return true
}

// storeAsOf tells up to when the store itself has told this router all changes.
func (s *Server) storeAsOf() updates.Timestamps {
	m := updates.Timestamps{Config: s.followConfigs.AsOf(), Servers: s.followServers.AsOf()}
	if s.followEvacuations != nil {
		m.Evacuated = s.followEvacuations.AsOf()
	}
	return m
}

// followers are the followers of the kinds whose age is bounded.
func (s *Server) followers() []*follow.Follower {
	all := []*follow.Follower{s.followConfigs, s.followServers}
	if s.followEvacuations != nil {
		all = append(all, s.followEvacuations)
	}
	return all
}

// storeElsewhere tells whether the store does not answer this router but
// another one.
func (s *Server) storeElsewhere() bool { return s.storeLost() && s.updates.RecentlyUpdated() }

// retryBurst is this router's share of the repeats beyond the ratio.
func (s *Server) retryBurst() float64 {
	return s.current().Retries.Slack * retryShare / float64(max(s.roster.Size(), leastRouters))
}

// knownConfig is the configuration in force with its age.
type knownConfig struct {
	*configs.Controller
	server *Server
}

// Age implements gateway.Config.
func (k knownConfig) Age() time.Duration { return k.server.updates.Ages().Config }

// configChanged hands the budgets of a new configuration on before it is in
// force.
func (s *Server) configChanged(c *catalog.Catalog) {
	limits := map[string]budget.Limit{}
	for _, a := range c.Accounts {
		if a.Metered {
			limits[a.Name] = budget.Limit{Account: a.Name, Tokens: a.Budget, Version: c.Version}
		}
	}
	s.budgets.SetLimits(limits)
	s.servers.SetWarmups(warmups(c))
}

// Start binds the addresses and starts serving. A server that finds no store
// starts all the same and refuses requests as "not run" until it knows a
// configuration.
func (s *Server) Start() error {
	debug.SetGCPercent(collectAt)
	debug.SetMemoryLimit(s.settings.Memory.LimitMB << 20)
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.callers = &http.Server{
		Handler:           s.gateway,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       gateway.ConnContext,
		ErrorLog:          zap.NewStdLog(s.log),
	}
	s.ready = &http.Server{Handler: http.HandlerFunc(s.answerReady), ReadHeaderTimeout: headerTimeout}
	if err := s.listen(s.settings.Listen.Callers, s.callers, s.boundCallers); err != nil {
		return err
	}
	if err := s.listen(s.settings.Listen.Ready, s.ready, s.boundChecks); err != nil {
		return err
	}
	peerSide, err := net.Listen("tcp", s.settings.Listen.Peers)
	if err != nil {
		return trace.Wrap(err, "listening at %s", s.settings.Listen.Peers)
	}
	s.peerSide = sockets.BoundEvicting(peerSide, s.shares.PeersIn)
	s.peerSide.Failed = s.descriptors.failed
	if err := s.serveMetrics(); err != nil {
		return err
	}
	go func() {
		if err := peer.Serve(ctx, s.peerSide, s.peerMux()); err != nil && ctx.Err() == nil {
			s.log.Error("listener ended", zap.String("address", s.settings.Listen.Peers), zap.Error(err))
		}
	}()
	go s.roster.Run(ctx)
	go s.followStore(ctx)
	go s.budgets.Run(ctx)
	if !clock.Known() {
		s.log.Warn("the kernel does not tell for how long the machine was suspended; ages leave that out")
	}
	go s.runBeats(ctx)
	s.log.Info("started", zap.String("boot", s.boot), zap.String("instance", s.settings.Instance.ID), zap.String("incarnation", s.incarnation),
		zap.String("domain", s.settings.Instance.Domain), zap.String("callers", s.settings.Listen.Callers))
	return nil
}

// followStore follows the store, or those that do, once this router has met the
// others: how much it asks the store for depends on how many they are.
func (s *Server) followStore(ctx context.Context) {
	select {
	case <-s.roster.Introduced():
	case <-ctx.Done():
		return
	}
	go s.verdicts.Run(ctx)
	go s.limits.Run(ctx)
	for _, f := range s.followers() {
		go f.Run(ctx)
	}
	go s.followRouters.Run(ctx)
	s.updates.Run(ctx)
}

// listen serves h at addr; bound may bound the connections.
func (s *Server) listen(addr string, h *http.Server, bound func(net.Listener) net.Listener) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return trace.Wrap(err, "listening at %s", addr)
	}
	l = s.meter.Listener(bound(l))
	go func() {
		if err := h.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			s.log.Error("listener ended", zap.String("address", addr), zap.Error(err))
		}
	}()
	return nil
}

// away tells whether callers should go to other routers for a while.
func (s *Server) away() bool { return s.link.Away() || s.crowded() }

// answerReady tells the balancer whether to send connections here.
func (s *Server) answerReady(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path != s.platform.ReadyPath:
		http.NotFound(w, r)
	case s.Ready():
		w.WriteHeader(http.StatusOK)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Ready tells whether the server takes new connections.
func (s *Server) Ready() bool {
	select {
	case <-s.stopping:
		return false
	default:
		return s.configs.Catalog() != nil && s.servers.Ready() && !s.away() && !s.stale()
	}
}
