// Package router is the gaplink router as a library: the filter chain for
// requests and the controllers for state, with an explicit life cycle.
//
//	r, err := router.New(settings, logger) // provision and validate
//	err = r.Start()
//	r.Stop(ctx) // a planned stop
//
// cmd/gaplinkd is a thin daemon over it.
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
	"github.com/gaplink/gaplink/settings"
	"github.com/gaplink/gaplink/store"
	"github.com/gaplink/gaplink/store/httpstore"
	"github.com/gaplink/gaplink/table"
	"github.com/gaplink/gaplink/upstream"
	"github.com/gaplink/gaplink/wait"
)

const (
	// peerDialTimeout bounds a connection to another router.
	peerDialTimeout = 300 * time.Millisecond
	// flushWithin bounds the return of grants and bills at a planned stop.
	flushWithin = 10 * time.Second
	// callersWithin bounds the sending of the last bytes to callers.
	callersWithin = 3 * time.Second
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

	members  *members.Controller
	tables   *tables.Controller
	budgets  *budgets.Controller
	ledgers  *ledgers.Controller
	health   *health.Controller
	reclaims *reclaims.Controller
	verdicts *verdicts.Controller
	probes   *upstream.Pool
	admin    *admin.Server
	chain    filter.Handler
	pauses   *pauseWatch

	callers  net.Listener
	peerSide net.Listener
	http     *http.Server
	cancel   context.CancelFunc
	inFlight atomic.Int64
	leaving  atomic.Bool
	refusing atomic.Bool
	joined   atomic.Bool
	stopped  sync.Once
	fenced   chan struct{}
}

// New builds a router from checked settings. It binds no address and starts
// nothing.
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

// provision builds the controllers and the chain.
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
		Servers: staying{r.health},
		Fleet:   verdicts.Over{Audience: spread.Audience{Members: r.members}, Client: r.peers},
		Store:   r.store,
		Log:     r.log,
	})
	r.admin = admin.New(s.Operator.KeyHash, s.Budgets.Pages, s.Ledger.Shards, r.store, r.members, r.tables, r.budgets, r.verdicts, r.peers)
	r.tables.OnChange(r.health.SetState)
	r.tables.OnChange(func(st *table.State) { r.metrics.Revision.Set(float64(st.Revision)) })
	r.members.OnList(r.health.SetList)
	r.pauses = newPauseWatch(r.tables.Confirm)
	r.chain = r.buildChain()
	r.registerCounters()
}

// probeTimeout bounds the connection by which a server's process is looked for, and how
// long it is kept: the engines' client has connections of its own.
const probeTimeout = 250 * time.Millisecond

// staying tells which backend servers are not leaving.
type staying struct{ health *health.Controller }

// TakesWork implements verdicts.Servers.
func (s staying) TakesWork(in placement.Incarnation) bool {
	return !slices.Contains(s.health.Leaving(), in.ID)
}

func newRand() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

func (r *Router) budgetConfig() budget.Config {
	cfg := budget.DefaultConfig()
	cfg.Self = budget.Peer{ID: r.settings.Instance.ID, Incarnation: r.incarnation}
	cfg.Pages = r.settings.Budgets.Pages
	cfg.HomeHorizon = r.settings.Budgets.Hold.Std()
	cfg.EntryHorizon = r.settings.Budgets.EntryHold.Std()
	return cfg
}

func (r *Router) ledgerConfig() ledger.Config {
	cfg := ledger.DefaultConfig()
	cfg.Owner = r.incarnation
	cfg.Spacing = r.settings.Ledger.Spacing.Std()
	cfg.Linger = r.settings.Ledger.Linger.Std()
	cfg.Retention = r.settings.Ledger.Retention.Std()
	return cfg
}

// buildChain links the filters, last to first.
func (r *Router) buildChain() filter.Handler {
	q := r.settings.Requests
	var h filter.Handler = forward.New(r.tables, r.health, r.engines, r.verdicts, r.metrics, newRand(), forward.Options{
		Attempts:   q.Attempts,
		RetryRatio: q.RetryRatio,
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

// Start binds the addresses and starts serving. A router that finds no store
// starts all the same and refuses requests as "not run" until it has read its
// configuration.
func (r *Router) Start() error {
	var err error
	if r.callers, err = net.Listen("tcp", r.settings.Listen.Callers); err != nil {
		return trace.Wrap(err, "listen.callers")
	}
	if r.peerSide, err = net.Listen("tcp", r.settings.Listen.Peers); err != nil {
		_ = r.callers.Close()
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
	go r.pauses.run(ctx)
	if !clock.Known() {
		r.log.Warn("the kernel does not tell for how long the machine was suspended; ages leave that out")
	}
	go func() { _ = peer.Serve(ctx, r.peerSide, r.peerMux()) }()
	return r.serveCallers()
}

func (r *Router) serveCallers() error {
	app, err := r.callerApp()
	if err != nil {
		return trace.Wrap(err)
	}
	r.http = &http.Server{Handler: app}
	go func() {
		if err := r.http.Serve(r.callers); !errors.Is(err, http.ErrServerClosed) {
			r.log.Error("caller side ended", zap.Error(err))
		}
	}()
	r.log.Info("started", zap.String("callers", r.callers.Addr().String()), zap.String("peers", r.peerSide.Addr().String()))
	return nil
}

// CallersAddr returns the bound address of the caller side.
func (r *Router) CallersAddr() string { return r.callers.Addr().String() }

// PeersAddr returns the bound address of the peer side.
func (r *Router) PeersAddr() string { return r.peerSide.Addr().String() }

// Revision returns the configuration revision in force.
func (r *Router) Revision() int64 { return r.tables.State().Revision }

// PeerBytes returns the bytes exchanged with routers that this one called.
func (r *Router) PeerBytes() int64 { return r.peers.Bytes() }

// Ready tells whether the router has what it needs to take requests.
func (r *Router) Ready() bool { return r.joined.Load() && r.tables.Ready() }

// Stop is a planned stop: leave, keep serving while the balancer notices, then
// refuse new work, let running requests finish, return grants, flush bills.
func (r *Router) Stop(ctx context.Context) {
	r.leaving.Store(true)
	r.log.Info("leaving")
	health.Tell(r.members, r.peers, &peer.LeavingRequest{Kind: "router", ID: r.settings.Instance.ID})
	r.members.SetLeaving(r.settings.Instance.ID)
	_ = wait.For(ctx, r.settings.Requests.LeaveGrace.Std())
	r.refusing.Store(true)
	r.drain(ctx)
	flush, cancel := context.WithTimeout(ctx, flushWithin)
	defer cancel()
	r.ledgers.Flush(flush)
	r.budgets.Close(flush)
	r.reclaims.Deregister(flush)
	r.finishCallers(ctx)
	r.close()
	r.log.Info("stopped")
}

// onFenced ends a router that the fleet has taken to be dead: no new work;
// running requests finish.
func (r *Router) onFenced() {
	r.stopped.Do(func() {
		r.log.Error("fenced: this process was taken to be dead; its tokens are void")
		r.leaving.Store(true)
		r.refusing.Store(true)
		go func() {
			r.drain(context.Background())
			flush, cancel := context.WithTimeout(context.Background(), flushWithin)
			defer cancel()
			r.ledgers.Flush(flush)
			close(r.fenced)
		}()
	})
}

// Fenced is closed when the fleet has taken this process to be dead, its
// running requests have ended and their bills are recorded. The daemon then exits, to be started anew.
func (r *Router) Fenced() <-chan struct{} { return r.fenced }

// Close ends a fenced router. It has nothing left to return.
func (r *Router) Close() {
	r.finishCallers(context.Background())
	r.close()
}

// finishCallers lets answers that are written reach their callers. A request
// has ended for the router a little before its last bytes are sent.
func (r *Router) finishCallers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callersWithin)
	defer cancel()
	_ = r.http.Shutdown(ctx)
}

// drain waits until no request runs.
func (r *Router) drain(ctx context.Context) {
	for r.inFlight.Load() > 0 && ctx.Err() == nil {
		_ = wait.For(ctx, 10*time.Millisecond)
	}
}

// Kill ends the process's side at once, as a crash would: nothing is
// returned, flushed or told. It is for tests.
func (r *Router) Kill() { r.close() }

func (r *Router) close() {
	r.cancel()
	_ = r.http.Close()
	_ = r.peerSide.Close()
	_ = r.peers.Close()
	r.engines.Close()
}
