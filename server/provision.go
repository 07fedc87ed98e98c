package server

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/bound"
	"github.com/gaplink/gaplink/budget"
	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/controller/budgets"
	"github.com/gaplink/gaplink/controller/configs"
	"github.com/gaplink/gaplink/controller/evacuations"
	"github.com/gaplink/gaplink/controller/follow"
	"github.com/gaplink/gaplink/controller/members"
	"github.com/gaplink/gaplink/controller/origins"
	"github.com/gaplink/gaplink/controller/registry"
	"github.com/gaplink/gaplink/controller/roster"
	"github.com/gaplink/gaplink/controller/updates"
	"github.com/gaplink/gaplink/controller/verdicts"
	"github.com/gaplink/gaplink/gateway"
	"github.com/gaplink/gaplink/link"
	"github.com/gaplink/gaplink/membership"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/retry"
	"github.com/gaplink/gaplink/sockets"
	"github.com/gaplink/gaplink/store"
	"github.com/gaplink/gaplink/upstream"
)

// routerListBound bounds the propagation of a change in the registrations of routers. Correctness
// doesn't depend on it: calls to a router that is gone fail.
const routerListBound = 12 * time.Second

// provision creates the controllers and the gateway.
func (s *Server) provision() {
	s.store = store.NewCounting(s.platform.Store)
	s.shares = sockets.Divide(s.settings.Files.Limit)
	s.callerLimit = callerLimit(s.settings.Memory.LimitMB, s.shares.Callers)
	s.descriptors = &descriptors{open: s.openSockets, log: s.log}
	s.meter = link.New(s.settings.Link.Mbps*bytesPerMbit, clock.Now())
	if st, counts := s.platform.Store.(interface{ SetCounter(*link.Counter) }); counts {
		st.SetCounter(s.meter.Of(link.Store))
	}
	if st, reports := s.platform.Store.(interface{ SetLog(*zap.Logger) }); reports {
		st.SetLog(s.log)
	}
	s.backlog = newBacklog(s.settings.Memory.LimitMB, s.log)
	s.paths = s.newPaths()
	s.pool = upstream.New(upstream.Options{
		DialTimeout:   s.settings.Servers.DialTimeout.Std(),
		Source:        net.ParseIP(s.settings.Servers.Source),
		IdleTimeout:   s.settings.Servers.IdleTimeout.Std(),
		Counter:       s.meter.Of(link.Servers),
		Backlog:       s.backlog,
		LinkSaturated: s.link.Saturated,
		MaxOpen:       s.shares.Backends,
		Heard:         func(in placement.Incarnation) { s.servers.Heard(in) },
		Paths:         s.paths,

		SaturatedDialTimeout: saturatedDialTimeout,
	})
	s.servers = registry.New(s.platform.DecodeServer, s.pool, newRand(), s.log)
	s.servers.SetHealthPath(s.healthPath)
	s.servers.SetPredictions(s.settings.Load.Servers)
	s.servers.SetUnknownFields(s.platform.UnknownServerFields)
	s.provisionPeers()
	s.tunnels = s.newTunnels()
	s.limits = s.newLimits()
	s.servers.SetLimits(s.limits)
	s.slots = s.newSlots()
	s.servers.SetLender(s.slots)
	s.verdicts = verdicts.New(verdicts.Options{
		Checker: s.pool,
		Servers: s.servers,
		Fleet:   verdicts.PeerFleet{Recipients: s.recipients(), Client: s.peers},
		Store:   s.store,
		Stale:   s.largeFleet,
		Updated: s.updatedByRelays,
		Log:     s.log,

		Informed:           s.informedByRelays,
		ReadsForOthers:     func() bool { return s.updates.IsWatcher() },
		OwnerDetectsPauses: true,
	})
	s.origins = origins.New(origins.Options{
		Servers: s.servers,
		Fleet:   &origins.PeerFleet{Recipients: s.recipients(), Client: s.peers, Unpooled: s.helloClient, IsLarge: s.largeFleet},
		Self:    s.settings.Instance.ID,
		Store:   s.store,
		Current: s.serversCurrent,
		Log:     s.log,

		FirstStart: s.settings.Fleet.FirstStart,
	})
	s.budgets = budgets.New(s.budgetConfig(), s.store, s.members, s.peers, s.log, func() {})
	s.configs = configs.New(s.platform.ConfigKey, s.platform.DecodeConfig, s.configChanged, s.log)
	retries := retry.NewBudgets(s.startedAt, s.retryLimits)
	s.servers.SetAttempts(retries)
	s.gateway = gateway.New(gateway.Options{
		Domain:  s.settings.Instance.Domain,
		Regions: s.settings.Regions,
		Config:  activeConfig{s.configs, s},

		ConfigBound: s.settings.Bounds.Apply.Std(),

		Servers:       s.servers,
		Budgets:       s.budgets,
		Protocol:      s.platform.Protocol,
		Pool:          s.pool,
		Verdicts:      s.verdicts,
		Origins:       s.origins,
		Limits:        s.limits,
		Retries:       retries,
		Logs:          s.logs,
		Metrics:       gateway.NewMetrics(s.registry),
		Paths:         s.paths,
		Routers:       s.knownRouters,
		LinkSaturated: s.link.Saturated,
		LinkDelay:     s.linkDelay,
		Meter:         s.meter,
		Backlog:       s.backlog,
		TokenDelay:    s.entryDelay,
		Stale:         s.stale,

		CloseConnections: s.closeConnections,

		RegistrationAge: func() time.Duration { return s.updates.Ages().Servers },

		Returns:        s.settings.Load.Returns,
		StoreLost:      s.storeUnreachable,
		StoreElsewhere: s.storeReachableElsewhere,
	})
	s.budgets.SetStoreRemaining(s.gateway.StoreRemaining)
	s.gauge("gaplink_requests_held", "Requests that wait for predicted room.", func() float64 { return float64(s.gateway.Held()) })
	s.evacuations = evacuations.New(evacuations.Options{
		Changed: s.servers.SetEvacuated,
		Log:     s.log,
	})
	s.updates = updates.New(updates.Options{
		Configs: s.configs,
		Servers: s.servers,
		Routers: s.roster,
		Members: s.members,

		Evacuations: s.evacuations,

		Verdicts: s.verdicts,
		Limits:   s.limits,

		Calls:           updates.NewPeerCalls(s.peers),
		Self:            s.incarnation,
		Domain:          s.settings.Instance.Domain,
		StoreCallFailed: s.lastStoreCallFailed,
		StoreFresh:      s.storeFresh,
		Large:           s.largeFleet,
		Log:             s.log,

		AsOf:            s.storeAsOf,
		StaleAfter:      s.staleAfter,
		RequestInterval: s.updateInterval,
		Answered:        s.store.LastResponse,
		OnFailure:       s.peerCallFailed,
		Timeout:         s.peers.Timeout,
		LinkDelay:       func() (time.Duration, bool) { return s.entryDelay(), s.entrySaturated() },

		ObserveDuration: func(d time.Duration) { s.queue.Observe(clock.Now(), d) },
	})
	s.loads = s.newLoads()
	s.link.LinkLoads = s.loads.LinkLoads
	servers := s.followerOptions(s.platform.ServerKind, s.servers, s.settings.Bounds.Leave.Std())
	servers.ReceivedRevision = s.servers.Revision
	s.followServers = follow.New(servers)
	configs := s.followerOptions(s.platform.ConfigKind, s.configs, s.settings.Bounds.Apply.Std())
	configs.ProbedElsewhere = s.followServers.StoreFresh
	s.followConfigs = follow.New(configs)
	routers := s.followerOptions(roster.Kind, s.roster, routerListBound)
	routers.Role = s.updates.RosterRole
	routers.ReceivedRevision = s.roster.Revision
	s.followRouters = follow.New(routers)
	if within := s.settings.Bounds.Evacuate.Std(); within > 0 {
		evacuations := s.followerOptions(s.platform.EvacuationKind, s.evacuations, within)
		evacuations.ProbedElsewhere = s.followServers.StoreFresh
		s.followEvacuations = follow.New(evacuations)
	}
}

// followerOptions returns the options of a follower of an object kind whose changes must take
// effect at every router within the given time.
func (s *Server) followerOptions(kind string, h follow.Handler, within time.Duration) follow.Options {
	return follow.Options{
		Store:       s.store,
		Prefix:      kind,
		Handler:     h,
		Role:        s.updates.Role,
		Fleet:       s.roster.Size,
		IsRelay:     s.updates.IsRelay,
		Bound:       func() bound.Parts { return s.parts(within) },
		RoleChanged: s.updates.RoleChanged,
		Answered:    s.updates.StoreAnswered,
		Probe:       s.probeStore,
		Log:         s.log,

		AnsweredElsewhere: s.updates.RecentlyUpdated,
	}
}

// probeStore checks that the store answers, by reading this router's registration, which is
// small. A missing registration counts as an answer.
func (s *Server) probeStore(ctx context.Context) error {
	_, err := store.GetStale(ctx, s.store, roster.Kind+"/"+s.settings.Instance.ID)
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	return err
}

// provisionPeers creates the clients, the membership view and the roster of routers.
func (s *Server) provisionPeers() {
	self := peer.Router{
		ID:          s.settings.Instance.ID,
		Addr:        s.settings.Listen.Peers,
		Domain:      s.settings.Instance.Domain,
		Incarnation: s.incarnation,
		LinkMbps:    s.settings.Link.Mbps,
	}
	helloSockets := s.shares.PeersOut / helloSocketsDivisor
	s.peers = peer.NewClient(peer.Options{DialTimeout: peerDialTimeout, From: self.Addr, MaxOpen: s.shares.PeersOut - helloSockets, LinkSaturated: s.entrySaturated, Counter: s.meter.Of(link.Routers)})
	s.helloClient = peer.NewUnpooledClient(peer.Options{DialTimeout: peerDialTimeout, From: self.Addr, MaxOpen: helloSockets, LinkSaturated: s.entrySaturated, Counter: s.meter.Of(link.Routers)})
	s.members = members.New(membership.Member{ID: self.ID, Kind: "router", Addr: self.Addr, Domain: self.Domain, State: membership.Live, LinkMbps: self.LinkMbps}, nil, 0, s.log)
	s.members.SetIgnoreFailures(s.link.Saturated)
	s.roster = roster.New(roster.Options{
		Self:       self,
		Seeds:      s.seeds,
		Contacts:   func(domain string) []string { return s.updates.ContactIDs(domain) },
		FirstStart: s.settings.Fleet.FirstStart,
		Store:      s.store,
		Members:    s.members,
		Calls:      roster.NewPeerCalls(s.helloClient),
		Log:        s.log,
	})
}

// peerMux returns the handlers of the calls that other routers and operators make.
func (s *Server) peerMux() *peer.Mux {
	m := peer.NewMux()
	peer.Handle(m, peer.MethodHello, s.roster.Hello)
	peer.Handle(m, peer.MethodUpdates, s.updates.Answer)
	peer.Handle(m, peer.MethodConfig, s.updates.Config)
	peer.Handle(m, peer.MethodList, s.updates.List)
	peer.Handle(m, peer.MethodBudget, s.handleBudget)
	peer.Handle(m, peer.MethodVerdicts, s.verdicts.OnReport)
	peer.Handle(m, peer.MethodLimits, s.limits.OnReport)
	peer.Handle(m, peer.MethodPermit, s.limits.OnPermit)
	peer.Handle(m, peer.MethodLend, s.slots.OnLend)
	peer.Handle(m, peer.MethodReturn, s.slots.OnReturn)
	peer.Handle(m, peer.MethodOriginRecord, s.origins.OnRecord)
	peer.Handle(m, peer.MethodOriginFind, s.origins.OnFind)
	peer.Handle(m, peer.MethodLoad, s.loads.OnExchange)
	peer.Handle(m, peer.MethodReach, s.handleReach)
	peer.Handle(m, peer.MethodLeaving, s.handleLeaving)
	peer.Handle(m, peer.MethodAdmin, s.handleAdmin)
	return m
}

func (s *Server) handleBudget(_ context.Context, req *peer.BudgetMessage) (*peer.Empty, error) {
	return &peer.Empty{}, s.budgets.Receive(req.Message)
}

func (s *Server) budgetConfig() budget.Config {
	cfg := budget.DefaultConfig()
	cfg.Self = budget.Peer{ID: s.settings.Instance.ID, Incarnation: s.incarnation}
	cfg.Pages = 1
	cfg.Owner = s.ownerOf
	cfg.OwnerHorizon = s.settings.Budgets.Hold.Std()
	cfg.RefillBelow = s.settings.Budgets.Refill
	cfg.EntryHorizon = entryHorizon
	cfg.EntryMinRequests = entryMinRequests
	cfg.RateWindow = 10 * time.Second
	cfg.Surplus = 0.25
	cfg.HeldRequests = 1
	cfg.LowRequests = 0.5
	cfg.ScarceWithin = s.settings.Budgets.ScarceWithin.Std()
	cfg.Routers = s.drawingRouters
	cfg.InitialShare = initialDrawShare
	cfg.FinalReserveShare = finalReserveShare
	cfg.FinalReserveTime = finalReserveTime
	cfg.ScarceHorizon = scarceHorizon
	cfg.LookupInterval = 500 * time.Millisecond
	cfg.DrawInterval = drawBatchInterval
	cfg.PageWriteInterval = pageWriteInterval
	cfg.DrawTimeout = drawTimeout
	cfg.Running = s.running
	cfg.Lenders = s.lenders
	cfg.StoreLost = s.storeUnreachable
	if s.settings.Load.Budgets {
		cfg.SharedOwner = s.sharesOwners
		cfg.FirstInRank = s.firstInRank
		cfg.Holder = s.holder
		cfg.ByRank = true
	}
	s.escrowConfig(&cfg)
	return cfg
}

func newRand() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}
