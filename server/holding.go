package server

import (
	"math/rand/v2"
	"os"
	"strings"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/gaplink/gaplink/budget"
)

const (
	// escrowAfter is how long after its last write of the budgets a router
	// leaves its escrow alone. It is a little longer than a process takes to be
	// started anew, and much shorter than an outage that the escrow is for.
	escrowAfter = 4 * time.Second
	// bootIDFile identifies the boot of the machine.
	bootIDFile = "/proc/sys/kernel/random/boot_id"
)

// escrowConfig sets what escrows need: the machine's boot and steady clock. A
// machine that tells neither has escrows that nobody takes back.
func (s *Server) escrowConfig(cfg *budget.Config) {
	started := time.Now()
	var clock unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &clock); err != nil {
		s.log.Warn("no steady clock; budgets are held without escrow", zap.Error(err))
		return
	}
	boot, err := os.ReadFile(bootIDFile)
	if err != nil {
		s.log.Warn("boot not known; escrows of earlier processes are not taken back", zap.Error(err))
	}
	s.boot = strings.TrimSpace(string(boot))
	atStart := time.Duration(clock.Nano())
	cfg.EscrowAfter = escrowAfter
	cfg.Boot = s.boot
	cfg.Started = started
	cfg.Uptime = func(now time.Time) time.Duration { return atStart + now.Sub(started) }
	cfg.Predecessor = func(holder string) bool { return strings.HasPrefix(holder, s.settings.Instance.ID+"/") }
}

// running returns the process that is known to run at an instance.
func (s *Server) running(id string) budget.Peer {
	return budget.Peer{ID: id, Incarnation: s.members.Incarnation(id)}
}

// lenders returns the other routers that may hold tokens, in a random order.
func (s *Server) lenders(now time.Time, id string) []budget.Peer {
	ids := s.members.Others(now)
	if s.large() {
		ids = s.heirs(now, homeRole(id))
	}
	var peers []budget.Peer
	for _, id := range ids {
		peers = append(peers, s.running(id))
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers
}
