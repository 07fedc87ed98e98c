package server

import (
	"math/rand/v2"
	"os"
	"strings"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/gaplink/gaplink/budget"
	"github.com/gaplink/gaplink/clock"
)

const (
	// usableHorizon is the time of demand for which tokens stay usable after a budget write:
	// the time until the next write that releases more, plus a margin for bursts.
	usableHorizon = time.Second
	// releaseSpeed is the initial release rate of escrowed tokens, as a multiple of the
	// demand: it covers the demand, and little more is lost if the router fails.
	releaseSpeed = 1.5
	// slowReleasePeriod is how long the initial rate applies: a store that is reachable has
	// accepted another write by then. fullReleaseAfter is when all held tokens are usable, so
	// that a router can lend tokens that it does not need in an outage.
	slowReleasePeriod = 4 * time.Second
	fullReleaseAfter  = 9 * time.Second
	// escrowRewriteInterval is the minimum time between two writes that return released but
	// unused tokens to the escrow.
	escrowRewriteInterval = 1 * time.Second
	// bootIDFile contains the boot ID of the machine.
	bootIDFile = "/proc/sys/kernel/random/boot_id"
)

// escrowConfig sets the boot ID and the monotonic clock that escrows need. Without a monotonic
// clock there are no escrows; without a boot ID those of earlier processes are not reclaimed.
//
// The clock is CLOCK_MONOTONIC, which the budgets controller uses too and which stops while the
// machine is suspended. A process and its successor must compute released tokens from the same
// clock. That clock restarts after a power loss, so that no token that was used is reclaimed.
//
// The clock is read before the start time is taken. The uptimes that this process records are then
// never too late, and its recorded start is a time at which it was running, so that its
// predecessor had ended.
func (s *Server) escrowConfig(cfg *budget.Config) {
	var up unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &up); err != nil {
		s.log.Warn("monotonic clock not readable; budgets are held without escrow", zap.Error(err))
		return
	}
	started := time.Now()
	boot, err := os.ReadFile(bootIDFile)
	if err != nil {
		s.log.Warn("boot ID not readable; escrows of earlier processes are not reclaimed", zap.Error(err))
	}
	s.boot = strings.TrimSpace(string(boot))
	atStart := time.Duration(up.Nano())
	cfg.UsableHorizon = usableHorizon
	cfg.Release = budget.Schedule{Speed: releaseSpeed, Slow: slowReleasePeriod, Within: fullReleaseAfter}
	cfg.EscrowRewriteInterval = escrowRewriteInterval
	cfg.Boot = s.boot
	cfg.Started = started
	cfg.StartedWallClock = started
	cfg.WallClock = time.Now
	cfg.Uptime = func(now time.Time) time.Duration { return atStart + now.Sub(started) }
	cfg.Predecessor = func(holder string) bool { return strings.HasPrefix(holder, s.settings.Instance.ID+"/") }
}

// running returns the process that is known to run on an instance.
func (s *Server) running(id string) budget.Peer {
	return budget.Peer{ID: id, Incarnation: s.members.Incarnation(id)}
}

// holder returns the router process that a holder in a budget page is, and whether it may still run
// and be reached.
func (s *Server) holder(incarnation string) (budget.Peer, bool) {
	id := incarnation[:max(strings.LastIndexByte(incarnation, '/'), 0)]
	m, listed := s.members.Get(id)
	if !listed || m.Incarnation != "" && m.Incarnation != incarnation || s.members.Suspected(clock.Now(), id) {
		return budget.Peer{}, false
	}
	return budget.Peer{ID: id, Incarnation: incarnation}, true
}

// lenders returns the other routers that may hold tokens of a budget, in random order.
func (s *Server) lenders(_ time.Time, id string) []budget.Peer {
	ids := s.members.Others(clock.Now())
	if s.largeFleet() {
		ids = s.successors(ownerRole(id))
	}
	var peers []budget.Peer
	for _, id := range ids {
		peers = append(peers, s.running(id))
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers
}
