package limits_test

import (
	"testing"
	"time"

	"github.com/gaplink/gaplink/limiter"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/placement"
)

// Guards against large messages: permits and reports are part of a router's control traffic,
// which is limited to 2 KB a second in steady state.
func TestMessagesAreSmall(t *testing.T) {
	server := placement.Incarnation{ID: "i-5f3db56642", Started: time.Now().UnixMilli()}
	for name, c := range map[string]struct {
		message any
		most    int
	}{
		"request": {&peer.PermitRequest{Server: server, Rate: 1.2, Rank: 105}, 64},
		"answer":  {&peer.PermitAnswer{Wait: 833 * time.Millisecond}, 32},
		"report": {&peer.LimitsRequest{Report: limiter.Report{Observations: []limiter.Reported{
			{Server: server, Named: true, Rate: 1.2, Age: time.Second, ResponseTime: 80 * time.Millisecond},
		}}}, 128},
	} {
		text, err := peer.Marshal(c.message)
		if err != nil || len(text) > c.most {
			t.Errorf("%s: %d bytes, %v", name, len(text), err)
		}
		t.Logf("%s: %d bytes", name, len(text))
	}
}
