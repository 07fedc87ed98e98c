package slots_test

import (
	"testing"
	"time"

	"github.com/gaplink/gaplink/limiter"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/placement"
)

// Guards against large messages: a request at a brittle server may cost two calls.
func TestMessagesAreSmall(t *testing.T) {
	server := placement.Incarnation{ID: "i-5f3db56642", Started: time.Now().UnixMilli()}
	borrower := limiter.Borrower{Router: "edge-fukuoka-hall-12", Process: "edge-fukuoka-hall-12/5f3db566"}
	for name, c := range map[string]struct {
		message any
		most    int
	}{
		"question": {&peer.LendRequest{Server: server, Borrower: borrower, Slots: 64, SaidAgo: time.Second}, 128},
		"answer":   {&peer.LendAnswer{Wait: 174 * time.Millisecond, SaidAgo: time.Second}, 32},
		"return":   {&peer.ReturnRequest{Server: server, Borrower: borrower, Rejected: true, Rejections: 4}, 128},
	} {
		text, err := peer.Marshal(c.message)
		if err != nil || len(text) > c.most {
			t.Errorf("%s: %d bytes, %v", name, len(text), err)
		}
		t.Logf("%s: %d bytes", name, len(text))
	}
}
