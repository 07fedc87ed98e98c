// Package router implements the gaplink router as a library: the filter chain for
// requests and the controllers for state, with an explicit life cycle.
//
//	r, err := router.New(settings, logger) // provision and validate
//	err = r.Start()
//	r.Stop(ctx) // graceful shutdown
//
// cmd/gaplinkd is a thin daemon around this package.
package router

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/gaplink/gaplink/admin"
	"github.com/gaplink/gaplink/budget"
	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/controller/budgets"
	"github.com/gaplink/gaplink/controller/health"
	"github.com/gaplink/gaplink/controller/ledgers"
	"github.com/gaplink/gaplink/controller/members"
	"github.com/gaplink/gaplink/controller/reclaims"
	"github.com/gaplink/gaplink/controller/spread"
	"github.com/gaplink/gaplink/controller/tables"
	"github.com/gaplink/gaplink/controller/verdicts"
	"github.com/gaplink/gaplink/engine"
	"github.com/gaplink/gaplink/filter"
	"github.com/gaplink/gaplink/filter/authenticate"
	"github.com/gaplink/gaplink/filter/decode"
	"github.com/gaplink/gaplink/filter/deduplicate"
	"github.com/gaplink/gaplink/filter/forward"
	"github.com/gaplink/gaplink/filter/limit"
	"github.com/gaplink/gaplink/filter/reserve"
	"github.com/gaplink/gaplink/ledger"
	"github.com/gaplink/gaplink/membership"
	"github.com/gaplink/gaplink/metrics"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/retry"
	"github.com/gaplink/gaplink/settings"
	"github.com/gaplink/gaplink/store"
	"github.com/gaplink/gaplink/store/httpstore"
	"github.com/gaplink/gaplink/table"
	"github.com/gaplink/gaplink/upstream"
	"github.com/gaplink/gaplink/wait"
)

const (
	// peerDialTimeout limits connecting to another router.
	peerDialTimeout = 300 * time.Millisecond
	// flushTimeout limits returning grants and writing billing records at shutdown.
	flushTimeout = 10 * time.Second
	// callerShutdownTimeout limits sending the last bytes of responses to callers.
	callerShutdownTimeout = 3 * time.Second
)

// Router is one router process. Use New.
type Router struct {
	settings    settings.Settings
	log         *zap.Logger
	incarnation string

	store   *store.Counting
	metrics *metrics.Metrics
	engines *engine.Client
	peers   *peer.Client

	members       *members.Controller
	tables        *tables.Controller
	budgets       *budgets.Controller
	ledgers       *ledgers.Controller
	health        *health.Controller
	reclaims      *reclaims.Controller
	verdicts      *verdicts.Controller
	probes        *upstream.Pool
	admin         *admin.Server
	retries       *retry.Budgets
	chain         filter.Handler
	pauseDetector *pauseDetector

	callerListener net.Listener
	peerListener   net.Listener
	http           *http.Server
	cancel         context.CancelFunc
	inFlight       atomic.Int64
	leaving        atomic.Bool
	refusing       atomic.Bool
	joined         atomic.Bool
	stopped        sync.Once
	fenced         chan struct{}
}

// New returns a router for validated settings. It binds no address and starts no
// work.
func New(s settings.Settings, log *zap.Logger) (*Router, error) {
	r := &Router{
		settings:    s,
		log:         log.With(zap.String("instance", s.Instance.ID)),
		incarnation: s.Instance.ID + "/" + uuid.NewString(),
		metrics:     metrics.New(),
		engines:     engine.NewClient(),
		peers:       peer.NewClient(peer.Options{DialTimeout: peerDialTimeout, From: s.Listen.Peers}),
		fenced:      make(chan struct{}),
	}
	r.provision()
	return r, nil
}

// provision builds the controllers and the filter chain.
func (r *Router) provision() {
	s := r.settings
	platform := httpstore.New(s.Platform.URL, s.Platform.Timeout.Std())
	r.store = store.NewCounting(platform)
	self := membership.Member{
		ID:     s.Instance.ID,
		Kind:   "router",
		Addr:   s.Listen.Peers,
		Domain: s.Instance.Domain,
		State:  membership.Live,
	}
	r.members = members.New(self, platform, s.Platform.ListEvery.Std(), r.log)
	r.tables = tables.New(r.store, r.members, r.peers, r.log, tables.Options{
		DecideWithin: s.Table.DecideWithin.Std(),
		AckWithin:    s.Table.AckWithin.Std(),
	})
	r.budgets = budgets.New(r.budgetConfig(), r.store, r.members, r.peers, r.log, r.onFenced)
	r.ledgers = ledgers.New(r.ledgerConfig(), s.Ledger.Shards, r.store, r.members, r.peers, r.log, r.onFenced)
	r.reclaims = reclaims.New(r.incarnation, s.Budgets.Pages, s.Instance.FenceAfter.Std(), r.store, r.members, r.budgets, r.ledgers, r.tables, r.engines, r.peers, r.log)
	r.health = health.New(r.members, r.engines, r.peers, newRand(), r.log)
	r.probes = upstream.New(upstream.Options{DialTimeout: probeTimeout, IdleTimeout: probeTimeout})
	r.verdicts = verdicts.New(verdicts.Options{
		Checker: r.probes,
		Servers: activeServers{r.health},
		Fleet:   verdicts.PeerFleet{Recipients: spread.Recipients{Members: r.members}, Client: r.peers},
		Store:   r.store,
		Log:     r.log,
	})
	r.admin = admin.New(s.Operator.KeyHash, s.Budgets.Pages, s.Ledger.Shards, r.store, r.members, r.tables, r.budgets, r.verdicts, r.peers, r.log)
	r.tables.OnChange(r.health.SetState)
	r.tables.OnChange(func(st *table.State) { r.metrics.Revision.Set(float64(st.Revision)) })
	r.members.OnList(r.health.SetList)
	r.pauseDetector = newPauseDetector(r.tables.VerifyCurrent)
	r.retries = retry.NewBudgets(clock.Now(), r.retryLimits)
	r.chain = r.buildChain()
	r.registerCounters()
}

// probeTimeout limits both dialing a backend server to check that its process runs, and
// the idle time of that connection. Requests use the engine client's own connections.
const probeTimeout = 250 * time.Millisecond

// activeServers implements verdicts.Servers. It reports which backend servers are not
// draining.
type activeServers struct{ health *health.Controller }

// AcceptsRequests implements verdicts.Servers.
func (s activeServers) AcceptsRequests(in placement.Incarnation) bool {
	return !slices.Contains(s.health.Leaving(), in.ID)
}

// Crashed implements verdicts.Servers. Requests to a server that does not respond end its use by themselves.
func (s activeServers) Crashed(placement.Incarnation) {}

func newRand() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

func (r *Router) budgetConfig() budget.Config {
	cfg := budget.DefaultConfig()
	cfg.Self = budget.Peer{ID: r.settings.Instance.ID, Incarnation: r.incarnation}
	cfg.Pages = r.settings.Budgets.Pages
	cfg.OwnerHorizon = r.settings.Budgets.Hold.Std()
	cfg.EntryHorizon = r.settings.Budgets.EntryHold.Std()
	return cfg
}

// retryLimits returns the limits on the retries of all routers.
func (r *Router) retryLimits() retry.Limits {
	q := r.settings.Requests
	return retry.Limits{Ratio: q.RetryRatio, Slack: q.RetrySlack, Window: q.RetryWindow.Std(), Routers: r.members.Known()}
}

func (r *Router) ledgerConfig() ledger.Config {
	cfg := ledger.DefaultConfig()
	cfg.Owner = r.incarnation
	cfg.MinCommitInterval = r.settings.Ledger.Spacing.Std()
	cfg.MaxCommitDelay = r.settings.Ledger.Linger.Std()
	cfg.Retention = r.settings.Ledger.Retention.Std()
	return cfg
}

// buildChain links the filters from last to first.
func (r *Router) buildChain() filter.Handler {
	q := r.settings.Requests
	var h filter.Handler = forward.New(r.tables, r.health, r.engines, r.verdicts, r.metrics, newRand(), forward.Options{
		Attempts: q.Attempts,
		Retries:  r.retries,
	})
	h = reserve.New(h, r.budgets)
	h = limit.New(h, r.tables)
	h = deduplicate.New(h, r.ledgers)
	h = decode.New(h, r.tables, decode.Limits{
		MaxBodyBytes: q.MaxBodyBytes,
		MaxTokens:    q.MaxTokens,
		Deadline:     q.Deadline.Std(),
	})
	return authenticate.New(h, r.tables)
}

func (r *Router) registerCounters() {
	read := func(get func(store.Counts) int64) func() float64 {
		return func() float64 { return float64(get(r.store.Counts())) }
	}
	r.metrics.Counter("gaplink_store_reads_total", "Store reads.", read(func(c store.Counts) int64 { return c.Reads }))
	r.metrics.Counter("gaplink_store_writes_total", "Store writes.", read(func(c store.Counts) int64 { return c.Writes }))
	r.metrics.Counter("gaplink_store_watches_total", "Store watches.", read(func(c store.Counts) int64 { return c.Watches }))
	r.metrics.Counter("gaplink_peer_bytes_total", "Bytes exchanged with routers that this one called.", func() float64 { return float64(r.peers.Bytes()) })
	r.metrics.Counter("gaplink_peer_calls_total", "Calls to other routers.", func() float64 { return float64(r.peers.Calls()) })
}

// Start opens the listeners and starts serving. If the store is unreachable, the router
// starts nevertheless and refuses requests as "not run" until it has read its
// configuration.
func (r *Router) Start() error {
	var err error
	if r.callerListener, err = net.Listen("tcp", r.settings.Listen.Callers); err != nil {
		return trace.Wrap(err, "listen.callers")
	}
	if r.peerListener, err = net.Listen("tcp", r.settings.Listen.Peers); err != nil {
		_ = r.callerListener.Close()
		return trace.Wrap(err, "listen.peers")
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	go r.join(ctx)
	go r.members.Run(ctx)
	go r.tables.Run(ctx)
	go r.budgets.Run(ctx)
	go r.ledgers.Run(ctx)
	go r.health.Run(ctx)
	go r.reclaims.Run(ctx)
	go r.pauseDetector.run(ctx)
	if !clock.SuspensionsKnown() {
		r.log.Warn("kernel does not report suspend time; ages exclude it")
	}
	go func() { _ = peer.Serve(ctx, r.peerListener, r.peerMux()) }()
	return r.serveCallers()
}

func (r *Router) serveCallers() error {
	app, err := r.callerHandler()
	if err != nil {
		return trace.Wrap(err)
	}
	r.http = &http.Server{Handler: app}
	go func() {
		if err := r.http.Serve(r.callerListener); !errors.Is(err, http.ErrServerClosed) {
			r.log.Error("HTTP server for callers failed", zap.Error(err))
		}
	}()
	r.log.Info("started", zap.String("callers", r.callerListener.Addr().String()), zap.String("peers", r.peerListener.Addr().String()))
	return nil
}

// CallersAddr returns the address of the listener for callers.
func (r *Router) CallersAddr() string { return r.callerListener.Addr().String() }

// PeersAddr returns the address of the listener for other routers.
func (r *Router) PeersAddr() string { return r.peerListener.Addr().String() }

// Revision returns the configuration revision in force.
func (r *Router) Revision() int64 { return r.tables.State().Revision }

// PeerBytes returns the bytes exchanged in calls that this router made to other routers.
func (r *Router) PeerBytes() int64 { return r.peers.Bytes() }

// Ready reports whether the router has joined the fleet and has a configuration.
func (r *Router) Ready() bool { return r.joined.Load() && r.tables.Ready() }

// Stop shuts the router down gracefully: it announces the drain, serves until the load
// balancer has noticed, then refuses new requests, waits for running ones, flushes
// billing records and returns grants.
func (r *Router) Stop(ctx context.Context) {
	r.leaving.Store(true)
	r.retries.Drain()
	r.log.Info("leaving")
	health.SendLeaving(r.members, r.peers, &peer.LeavingRequest{Kind: "router", ID: r.settings.Instance.ID})
	r.members.SetLeaving(r.settings.Instance.ID)
	_ = wait.For(ctx, r.settings.Requests.LeaveGrace.Std())
	r.refusing.Store(true)
	r.drain(ctx)
	flush, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	r.ledgers.Flush(flush)
	r.budgets.Close(flush)
	r.reclaims.Deregister(flush)
	r.shutdownCallerServer(ctx)
	r.close()
	r.log.Info("stopped")
}

// onFenced stops a router that the fleet has declared dead: it refuses new requests and
// lets running ones finish.
func (r *Router) onFenced() {
	r.stopped.Do(func() {
		r.log.Error("fenced: the fleet declared this process dead; its tokens are no longer valid")
		r.leaving.Store(true)
		r.retries.Drain()
		r.refusing.Store(true)
		go func() {
			r.drain(context.Background())
			flush, cancel := context.WithTimeout(context.Background(), flushTimeout)
			defer cancel()
			r.ledgers.Flush(flush)
			close(r.fenced)
		}()
	})
}

// Fenced returns a channel that is closed once the fleet has declared this process dead,
// its running requests have ended and their bills are recorded. The daemon then exits so
// that it can be restarted.
func (r *Router) Fenced() <-chan struct{} { return r.fenced }

// Close stops a fenced router, which has no grants left to return.
func (r *Router) Close() {
	r.shutdownCallerServer(context.Background())
	r.close()
}

// shutdownCallerServer waits until written responses have reached their callers. The router
// counts a request as finished shortly before its last bytes are sent.
func (r *Router) shutdownCallerServer(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callerShutdownTimeout)
	defer cancel()
	_ = r.http.Shutdown(ctx)
}

// drain waits until no request is in flight.
func (r *Router) drain(ctx context.Context) {
	for r.inFlight.Load() > 0 && ctx.Err() == nil {
		_ = wait.For(ctx, 10*time.Millisecond)
	}
}

// Kill stops the router at once, as a crash would: it returns no grants, flushes no
// billing records and sends no notice. It is for tests.
func (r *Router) Kill() { r.close() }

func (r *Router) close() {
	r.cancel()
	_ = r.http.Close()
	_ = r.peerListener.Close()
	_ = r.peers.Close()
	r.engines.Close()
}
