package server

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/link"
	"github.com/gaplink/gaplink/settings"
	"github.com/gaplink/gaplink/store"
	"github.com/gaplink/gaplink/store/memory"
)

// Guards against calls of other routers that are abandoned before their answers have crossed the
// router's own saturated link: updates had 400 ms, messages on tokens 150 ms and connections 200 ms
// at links with a second of traffic queued.
func TestCallsOfRoutersHaveMoreTimeAtASaturatedLink(t *testing.T) {
	const normal = 150 * time.Millisecond
	for _, c := range []struct {
		entry    bool
		load     float64
		extended bool
	}{{true, 0.2, false}, {true, 1, true}, {false, 1, false}} {
		s := &Server{store: store.NewCounting(memory.New()), log: zap.NewNop()}
		s.latest.Store(&settings.Gateway{Load: settings.GatewayLoad{Entry: c.entry}})
		s.provisionPeers()
		s.link.observe(time.Now(), link.Load{In: c.load}, link.Window, nil)
		if got := s.peers.Timeout(normal); (got > normal) != c.extended {
			t.Errorf("entry %v, load %v: a call has %v", c.entry, c.load, got)
		}
		if got := s.helloClient.Timeout(normal); (got > normal) != c.extended {
			t.Errorf("entry %v, load %v: an introduction has %v", c.entry, c.load, got)
		}
	}
}
