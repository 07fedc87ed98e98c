package server

import (
	"context"
	"errors"
	"net"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/controller/paths"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/reach"
	"github.com/gaplink/gaplink/sockets"
	"github.com/gaplink/gaplink/tunnel"
	"github.com/gaplink/gaplink/upstream"
)

// newPaths creates the controller of the paths to backend servers.
func (s *Server) newPaths() *paths.Controller {
	return paths.New(paths.Options{
		Servers:       lateServers{s},
		Fleet:         tunnelFleet{s},
		Ping:          s.ping,
		HealthPath:    s.healthPath,
		CutOff:        func(g reach.Group) { s.gateway.CutOff(g) },
		StoreAnswered: s.store.LastResponse,
		Log:           s.log,
	})
}

// ping checks a server over a direct connection.
func (s *Server) ping(ctx context.Context, target placement.Server, request upstream.PingRequest) error {
	return s.pool.Ping(ctx, target, request)
}

// healthPath returns the path of a service's health check; empty if it has none.
func (s *Server) healthPath(service string) string {
	c := s.configs.Catalog()
	if c == nil || c.Services[service] == nil {
		return ""
	}
	return c.Services[service].HealthPath
}

// lateServers implements paths.Servers by the registry, which is created later.
type lateServers struct{ server *Server }

// OfGroup implements paths.Servers.
func (l lateServers) OfGroup(g reach.Group, first placement.Incarnation, n int) []placement.Server {
	return l.server.servers.OfGroup(g, first, n)
}

// RestoreGroup implements paths.Servers.
func (l lateServers) RestoreGroup(g reach.Group) { l.server.servers.RestoreGroup(g) }

// tunnelFleet implements paths.Fleet by calls to the other routers.
type tunnelFleet struct{ server *Server }

// Others implements paths.Fleet. Requests pass through no region but that of this router and that of the
// server.
func (f tunnelFleet) Others(g reach.Group) []string {
	s := f.server
	return slices.DeleteFunc(s.members.Others(clock.Now()), func(id string) bool {
		m, _ := s.members.Get(id)
		return !mayPassThrough(s.settings.Regions, s.settings.Instance.Domain, g.Domain, m.Domain)
	})
}

// mayPassThrough reports whether a router of a failure domain may connect one of domain from to servers of
// domain to. Domains without a region are in none in common.
func mayPassThrough(regions map[string]string, from, to, through string) bool {
	region := regions[through]
	if region == "" {
		return through == from || through == to || regions[from] == "" && regions[to] == ""
	}
	return region == regions[from] || region == regions[to]
}

// errUnknownRouter is returned for a router that is not registered.
var errUnknownRouter = errors.New("the router is not known")

// Reach implements paths.Fleet.
func (f tunnelFleet) Reach(ctx context.Context, router string, g reach.Group) (bool, []string, error) {
	addr, ok := f.server.members.Addr(router)
	if !ok {
		return false, nil, errUnknownRouter
	}
	answer, err := peer.Call[peer.ReachRequest, peer.ReachAnswer](ctx, f.server.peers, addr, peer.MethodReach, &peer.ReachRequest{Service: g.Service, Domain: g.Domain})
	if err != nil {
		return false, nil, err
	}
	return answer.Direct, answer.Through, nil
}

// Open implements paths.Fleet.
func (f tunnelFleet) Open(ctx context.Context, router string, target placement.Server) (net.Conn, int, error) {
	addr, ok := f.server.members.Addr(router)
	if !ok {
		return nil, 0, &tunnel.RouterError{Router: router, Err: errUnknownRouter}
	}
	return tunnel.Open(ctx, f.server.tunnelDialer(), router, addr, target)
}

// tunnelDialer returns a dialer for tunnels, whose source is that of calls to other routers.
func (s *Server) tunnelDialer() *net.Dialer {
	d := s.pool.RouterDialer()
	sockets.SetSource(d, s.settings.Listen.Peers)
	return d
}

// handleReach answers whether this router reaches a group of servers, and would connect others to them.
func (s *Server) handleReach(_ context.Context, req *peer.ReachRequest) (*peer.ReachAnswer, error) {
	direct, through := s.paths.Reaches(reach.Group{Service: req.Service, Domain: req.Domain})
	if s.isStopping() || s.link.Saturated() {
		direct = false
	}
	return &peer.ReachAnswer{Direct: direct, Through: through}, nil
}

// handleLeaving applies the notice of a router that is stopping.
func (s *Server) handleLeaving(_ context.Context, req *peer.LeavingRequest) (*peer.Empty, error) {
	s.paths.RouterLeaving(req.ID)
	s.pool.DropThrough(req.ID)
	return &peer.Empty{}, nil
}

// newTunnels creates the server of tunnels for other routers.
func (s *Server) newTunnels() *tunnel.Server {
	return tunnel.NewServer(tunnel.Options{
		IsRouter: s.members.HasHost,
		Admit:    s.admitTunnel,
		Dial:     s.pool.OpenFor,
		Reserve:  s.reserveTunnel,
		Detach:   sockets.Detach,
		Log:      s.log,
	})
}

// Reasons for which this router provides no tunnel.
var (
	errLinkSaturated = errors.New("the link of the router is saturated")
	errStale         = errors.New("the router is behind")
)

// admitTunnel returns the server to which another router may be connected. This router passes nothing on
// to a third one.
func (s *Server) admitTunnel(in placement.Incarnation) (placement.Server, error) {
	target, ok := s.servers.ForOtherRouters(in)
	switch {
	case !ok:
		return target, tunnel.ErrNotInUse
	case s.paths.Path(reach.GroupOf(target)).Indirect:
		return target, tunnel.ErrNotReaching
	case s.link.Saturated():
		return target, errLinkSaturated
	case s.stale():
		return target, errStale
	}
	return target, nil
}

// tunnelShare is the share of the connections of callers that tunnels may take.
const tunnelShare = 0.5

// reserveTunnel reserves the place of a caller's connection: a tunnel needs what a request needs.
func (s *Server) reserveTunnel() (release func(), ok bool) {
	if float64(s.tunnels.Open()) >= tunnelShare*float64(s.callerLimit) || s.callerListener == nil {
		return nil, false
	}
	return s.callerListener.Reserve()
}

// registerPaths registers the metrics of the paths to servers.
func (s *Server) registerPaths() {
	s.gauge("gaplink_paths_cut_off", "Groups of servers, by service and failure domain, that this router reaches only through other routers.", func() float64 { return float64(len(s.paths.CutOffGroups())) })
	s.gauge("gaplink_tunnels_open", "Open connections to servers for other routers.", func() float64 { return float64(s.tunnels.Open()) })
	for name, c := range map[string]struct {
		help string
		read func() int64
	}{
		"gaplink_paths_cut_off_total":   {"Times that this router was cut off from a group of servers.", func() int64 { return s.paths.Counts().CutOffs }},
		"gaplink_paths_opened_total":    {"Connections to servers opened through other routers.", func() int64 { return s.paths.Counts().Opened }},
		"gaplink_paths_failed_total":    {"Attempts to open a connection to a server through another router that failed.", func() int64 { return s.paths.Counts().Failed }},
		"gaplink_tunnels_total":         {"Connections to servers opened for other routers.", s.tunnels.Opened},
		"gaplink_tunnels_refused_total": {"Connections to servers refused to other routers, or that could not be opened for them.", s.tunnels.Refused},
	} {
		read := c.read
		s.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: c.help}, func() float64 { return float64(read()) }))
	}
}

// leaveNoticeTimeout bounds the notice of a stop to a router that has tunnels through this one.
const leaveNoticeTimeout = 300 * time.Millisecond

// stopTunnels refuses further tunnels and tells the routers that have some.
func (s *Server) stopTunnels() {
	hosts := s.tunnels.Stop()
	for _, m := range s.members.Members() {
		if m.ID != s.settings.Instance.ID && slices.Contains(hosts, m.Host()) {
			go s.noticeLeaving(m.Addr)
		}
	}
}

func (s *Server) noticeLeaving(addr string) {
	ctx, cancel := context.WithTimeout(context.Background(), leaveNoticeTimeout)
	defer cancel()
	req := &peer.LeavingRequest{Kind: "router", ID: s.settings.Instance.ID}
	if _, err := peer.Call[peer.LeavingRequest, peer.Empty](ctx, s.peers, addr, peer.MethodLeaving, req); err != nil {
		s.log.Info("cannot announce the stop to a router with connections through this one", zap.String("router", addr), zap.Error(err))
	}
}
