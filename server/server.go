// Package server assembles a router process and runs it from start to planned stop:
//
//	s, err := server.New(settings, platform, writer) // provision and validate
//	err = s.Start()
//	s.Stop() // a planned stop
//
// cmd/gaplink-gateway is a thin daemon around this package.
package server

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
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
	"github.com/gaplink/gaplink/controller/loads"
	"github.com/gaplink/gaplink/controller/members"
	"github.com/gaplink/gaplink/controller/origins"
	"github.com/gaplink/gaplink/controller/paths"
	"github.com/gaplink/gaplink/controller/registry"
	"github.com/gaplink/gaplink/controller/roster"
	"github.com/gaplink/gaplink/controller/slots"
	"github.com/gaplink/gaplink/controller/updates"
	"github.com/gaplink/gaplink/controller/verdicts"
	"github.com/gaplink/gaplink/exchange"
	"github.com/gaplink/gaplink/gateway"
	"github.com/gaplink/gaplink/link"
	"github.com/gaplink/gaplink/logs"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/result"
	"github.com/gaplink/gaplink/retry"
	"github.com/gaplink/gaplink/settings"
	"github.com/gaplink/gaplink/sockets"
	"github.com/gaplink/gaplink/store"
	"github.com/gaplink/gaplink/tunnel"
	"github.com/gaplink/gaplink/upstream"
)

const (
	// idleTimeout is how long an idle caller connection is kept open. It exceeds the
	// operator's idle limit, by which callers close their connections.
	idleTimeout = 60 * time.Second
	// headerTimeout bounds the time to receive the headers of a request.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes exceeds every header limit that an operator sets for callers.
	maxHeaderBytes = 64 << 10
	// returnReserve is the part of the grace period reserved for returning tokens of
	// interrupted requests to the store: two writes to a slow store.
	returnReserve = time.Second
	// exitReserve is the part of the grace period reserved for process exit.
	exitReserve = 300 * time.Millisecond
	// gcPercent is the heap growth, in percent, that triggers a garbage collection. It
	// is below Go's default because peak memory costs more than CPU time.
	gcPercent = 50
	// minRouters is the smallest fleet size assumed when a fleet-wide limit is divided
	// among routers, since lists of routers may be incomplete.
	minRouters = 6
	// finalReserveShare and finalReserveTime reserve the last 1/200 of a budget for 15 seconds of
	// small requests, which still serves a few percent of the requests when most budgets are
	// spent. A share of 1/50 served no more requests and left accounts refused while tokens were
	// unused.
	finalReserveShare = 0.005
	finalReserveTime  = 15 * time.Second
	// initialDrawShare is the fraction of a budget that is drawn before its first
	// request: about a dozen requests of a large account.
	initialDrawShare = 0.01
	// scarceHorizon is the time for which the tokens left in the store must cover the
	// demand; below it they count as scarce. Routers hold no spare tokens while tokens
	// are scarce, so a larger value would leave them without any in a store outage.
	scarceHorizon = 2 * time.Second
	// entryHorizon is the time of demand for which a router that is not the budget's
	// owner holds tokens, and entryMinRequests the least number of requests that this
	// must cover: a router with fewer asks the owner for each request. With 87 routers
	// and 24 budgets nearly all have fewer, and tokens held by all of them would add up
	// to a quarter of the budgets.
	entryHorizon     = 3 * time.Second
	entryMinRequests = 4
	// drawTimeout is how long the owner of a budget may take to answer a request for
	// tokens that it has received before another router is asked. The owner may be
	// waiting for a slow store; if it is dead, sending the message fails.
	drawTimeout = 1500 * time.Millisecond
	// peerDialTimeout bounds opening a connection to another router.
	peerDialTimeout = 200 * time.Millisecond
	// pageWriteInterval is the minimum time between two budget page writes that no
	// request waits for. Each write is a billed store call, and usually needs a second
	// one because another router has written in between; held tokens last far longer.
	pageWriteInterval = 2 * time.Second
	// drawBatchInterval is how long the owner of a budget collects draws of other
	// routers between two writes.
	drawBatchInterval = 100 * time.Millisecond
)

// Platform holds the parts that a deployment supplies.
type Platform struct {
	Store    store.Store
	Protocol exchange.Protocol
	// ReadyPath is the path of the load balancer's readiness check.
	ReadyPath string
	// ConfigKind and ConfigKey locate the configuration in the store, ServerKind the
	// registrations of backend servers, and EvacuationKind the evacuated failure domains.
	ConfigKind, ConfigKey, ServerKind, EvacuationKind string
	DecodeConfig                                      configs.Decode
	DecodeServer                                      registry.Decode
	// UnknownServerFields returns the fields of a server's registration that DecodeServer does not
	// know.
	UnknownServerFields func(value []byte) []string
}

// Server is one router process. Create it with New.
type Server struct {
	// settings are those that the process started with, and latest those that were loaded last.
	// Code that a reload affects reads current.
	settings    settings.Gateway
	latest      atomic.Pointer[settings.Gateway]
	platform    Platform
	logs        logs.Loggers
	log         *zap.Logger
	writer      *logs.Writer
	incarnation string
	// startedAt is when New was called.
	startedAt time.Time
	// boot is the boot ID of the machine; empty if unknown.
	boot string

	store    *store.Counting
	configs  *configs.Controller
	servers  *registry.Controller
	budgets  *budgets.Controller
	verdicts *verdicts.Controller
	origins  *origins.Controller
	limits   *limits.Controller
	slots    *slots.Controller
	loads    *loads.Controller
	paths    *paths.Controller
	tunnels  *tunnel.Server
	gateway  *gateway.Gateway
	pool     *upstream.Pool
	meter    *link.Meter
	link     linkState
	queue    link.QueueEstimator
	backlog  *upstream.Backlog
	// shares holds the maximum number of open sockets per purpose; callerLimit is the maximum
	// number of caller connections, bounded by memory as well.
	shares      sockets.Shares
	callerLimit int
	// callerListener and peerListener accept callers and other routers; nil before Start.
	callerListener, peerListener *sockets.Listener
	helloClient                  *peer.Client
	descriptors                  *descriptors
	registry                     *prometheus.Registry

	members       *members.Controller
	peers         *peer.Client
	roster        *roster.Controller
	updates       *updates.Controller
	followConfigs *follow.Follower
	followServers *follow.Follower
	// followRouters follows the registrations of routers for a large fleet.
	followRouters *follow.Follower

	evacuations *evacuations.Controller
	// followEvacuations is nil if evacuations are not configured.
	followEvacuations *follow.Follower

	callers  *http.Server
	ready    *http.Server
	metrics  *http.Server
	cancel   context.CancelFunc
	stopping chan struct{}

	// reloading serializes reloads.
	reloading sync.Mutex
}

// New creates a server from validated settings. It binds no address and starts no
// goroutine of its own.
func New(s settings.Gateway, p Platform, w *logs.Writer) (*Server, error) {
	level, err := zapcore.ParseLevel(s.Log.Level)
	if err != nil {
		return nil, result.New(result.BadSettings, "log.level: %v", err)
	}
	loggers := logs.New(w, level)
	srv := &Server{
		settings:    s,
		platform:    p,
		logs:        loggers,
		log:         loggers.All,
		writer:      w,
		incarnation: s.Instance.ID + "/" + uuid.NewString()[:8],
		registry:    prometheus.NewRegistry(),
		stopping:    make(chan struct{}),
		startedAt:   clock.Now(),
	}
	srv.latest.Store(&s)
	srv.provision()
	return srv, nil
}

// drawingRouters returns the number of routers that draw each budget from the store.
func (s *Server) drawingRouters() int {
	if s.largeFleet() {
		return 1
	}
	return s.roster.Size()
}

// largeFleet reports whether the fleet is, or may be, so large that a few routers access the store
// on behalf of the others. In a small fleet each router draws budgets from the store for itself, so
// that little is lost when one fails; in a large fleet most conditional updates of the same page
// would conflict.
func (s *Server) largeFleet() bool { return s.roster.IsLarge() }

// relayIDs returns the IDs of the relays of a large fleet; nil in a small fleet.
func (s *Server) relayIDs() []string {
	if !s.largeFleet() {
		return nil
	}
	return s.updates.RelayIDs()
}

// updatedByRelays reports whether this router receives updates from relays.
func (s *Server) updatedByRelays() bool { return s.largeFleet() && !s.updates.UpdatesOthers() }

// informedByRelays reports whether relays have sent this router what routers have reported.
func (s *Server) informedByRelays() bool { return s.updatedByRelays() && s.updates.RecentlyUpdated() }

// seeds returns the seed addresses of the current settings.
func (s *Server) seeds() []string { return s.current().Fleet.Seeds }

// current returns the settings as last loaded.
func (s *Server) current() settings.Gateway { return *s.latest.Load() }

// lastStoreCallFailed reports whether the store left this router's last call unanswered.
func (s *Server) lastStoreCallFailed() bool {
	for _, f := range s.followers() {
		if f.StoreLost() {
			return true
		}
	}
	return false
}

// storeUnreachable reports whether the store does not answer this router or, in a large
// fleet, its relays.
func (s *Server) storeUnreachable() bool { return s.updates.StoreLost() }

// storeFresh reports whether this router's copies of all followed objects are current.
func (s *Server) storeFresh() bool {
	for _, f := range s.followers() {
		if !f.StoreFresh() {
			return false
		}
	}
	return true
}

// storeAsOf returns the times up to which this router has read all changes from the store itself.
func (s *Server) storeAsOf() updates.Timestamps {
	t := updates.Timestamps{Config: s.followConfigs.AsOf(), Servers: s.followServers.AsOf()}
	if s.followEvacuations != nil {
		t.Evacuated = s.followEvacuations.AsOf()
	}
	return t
}

// followers returns the followers of the object kinds that have a staleness bound.
func (s *Server) followers() []*follow.Follower {
	all := []*follow.Follower{s.followConfigs, s.followServers}
	if s.followEvacuations != nil {
		all = append(all, s.followEvacuations)
	}
	return all
}

// storeReachableElsewhere reports whether the store answers another router but not this one.
func (s *Server) storeReachableElsewhere() bool {
	return s.storeUnreachable() && s.updates.RecentlyUpdated()
}

// retryLimits returns the limits on the retries of all routers.
func (s *Server) retryLimits() retry.Limits {
	r := s.current().Retries
	routers := s.knownRouters()
	if routers > 0 {
		routers = max(routers, minRouters)
	}
	return retry.Limits{Ratio: r.Ratio, Slack: r.Slack, Window: r.Window.Std(), Routers: routers}
}

// knownRouters returns the number of routers among which a limit of the fleet is divided, or 0 before this one knows
// the others. Routers that do not answer count: they may only be cut off from this one.
func (s *Server) knownRouters() int {
	select {
	case <-s.roster.Introduced():
		return s.roster.Known()
	default:
		return 0
	}
}

// activeConfig is the configuration in force, with its age.
type activeConfig struct {
	*configs.Controller
	server *Server
}

// Age implements gateway.Config.
func (k activeConfig) Age() time.Duration { return k.server.updates.Ages().Config }

// configChanged applies the budget limits and warm-up rates of a new configuration before
// the configuration takes effect.
func (s *Server) configChanged(c *catalog.Catalog) {
	limits := map[string]budget.Limit{}
	for _, a := range c.Accounts {
		if a.HasBudget {
			limits[a.Name] = budget.Limit{Account: a.Name, Tokens: a.Budget, Version: c.Version}
		}
	}
	s.budgets.SetLimits(limits)
	s.servers.SetWarmups(warmups(c))
}

// Start binds the addresses and starts serving. It does not require the store: without it the
// server rejects requests as "not run" until it has received a configuration.
func (s *Server) Start() error {
	debug.SetGCPercent(gcPercent)
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
	listener, err := net.Listen("tcp", s.settings.Listen.Peers)
	if err != nil {
		return trace.Wrap(err, "listening at %s", s.settings.Listen.Peers)
	}
	s.peerListener = sockets.NewEvictingListener(sockets.TCPListener(listener), s.shares.PeersIn)
	s.peerListener.OnError = s.descriptors.handleError
	peers := tunnel.NewListener(s.meter.Of(link.Routers).Listener(s.peerListener), s.tunnels.Serve)
	if err := s.serveMetrics(); err != nil {
		return err
	}
	go func() {
		if err := peer.Serve(ctx, peers, s.peerMux()); err != nil && ctx.Err() == nil {
			s.log.Error("listener failed", zap.String("address", s.settings.Listen.Peers), zap.Error(err))
		}
	}()
	go s.roster.Run(ctx)
	go s.followStore(ctx)
	go s.budgets.Run(ctx)
	if !clock.SuspensionsKnown() {
		s.log.Warn("kernel does not report suspend time; ages exclude it")
	}
	go s.runTicks(ctx)
	s.log.Info("started", zap.String("boot", s.boot), zap.String("instance", s.settings.Instance.ID), zap.String("incarnation", s.incarnation),
		zap.String("domain", s.settings.Instance.Domain), zap.String("callers", s.settings.Listen.Callers))
	return nil
}

// followStore starts following the store or the relays once this router has determined the size of the
// fleet: how often it queries the store depends on that size.
func (s *Server) followStore(ctx context.Context) {
	select {
	case <-s.roster.Introduced():
	case <-ctx.Done():
		return
	}
	go s.verdicts.Run(ctx)
	go s.limits.Run(ctx)
	go s.loads.Run(ctx)
	for _, f := range s.followers() {
		go f.Run(ctx)
	}
	go s.followRouters.Run(ctx)
	s.updates.Run(ctx)
}

// listen serves h at addr; bound wraps the listener to limit its connections.
func (s *Server) listen(addr string, h *http.Server, bound func(net.Listener) net.Listener) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return trace.Wrap(err, "listening at %s", addr)
	}
	l = s.meter.Of(link.Callers).Listener(bound(l))
	go func() {
		if err := h.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			s.log.Error("listener failed", zap.String("address", addr), zap.Error(err))
		}
	}()
	return nil
}

// shedding reports whether new connections should go to other routers for a while.
func (s *Server) shedding() bool { return s.link.Shedding() || s.aboveHighWatermark() }

// closeConnections reports whether callers should open a new connection for their next request.
// A saturated link is no reason: the load balancer sends new connections elsewhere, and callers
// with a kept-alive connection would only move their load, with a handshake each, to routers that
// become as full.
func (s *Server) closeConnections() bool {
	return s.aboveHighWatermark() || !s.current().Load.Entry && s.link.Shedding()
}

// answerReady answers the load balancer's readiness check.
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

// Ready reports whether the server should receive new connections.
func (s *Server) Ready() bool {
	return !s.isStopping() && s.configs.Catalog() != nil && s.servers.Ready() && !s.shedding() && !s.stale()
}

// isStopping reports whether a planned stop has begun.
func (s *Server) isStopping() bool {
	select {
	case <-s.stopping:
		return true
	default:
		return false
	}
}
