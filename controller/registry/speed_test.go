package registry_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gaplink/gaplink/controller/registry"
	"github.com/gaplink/gaplink/placement"
)

// streamAt records the events of a stream at a server.
func streamAt(c *registry.Controller, id string, interval time.Duration) {
	for range 9 {
		c.RecordEventInterval(placement.Incarnation{ID: id}, interval)
	}
}

// Guards against servers that are chosen by predicted times though the operator has turned that off.
func TestPredictionsAreOffUnlessSet(t *testing.T) {
	for _, enabled := range []bool{false, true} {
		run(t, func(c *registry.Controller) {
			c.SetPredictions(enabled)
			c.Listed(registered(6, 1), newest)
			for i := range 6 {
				streamAt(c, fmt.Sprintf("s%d", i), 30*time.Millisecond)
			}
			q := placement.Query{Service: "svc", Affinity: 7, Tokens: 800, Prompt: 800, FirstObjective: time.Second, EventObjective: time.Second}
			if _, ok := c.Pick(q); !ok {
				t.Fatal("no server")
			}
			if byLimits := c.Choices()["limits"] == 1; byLimits == enabled {
				t.Errorf("predictions enabled: %v, choices %v", enabled, c.Choices())
			}
		})
	}
}

// Guards against a log that is filled by servers whose speed changes often, and against changes of class
// that are logged nowhere.
func TestSpeedChangesAreLoggedAtMostOnceASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, lines := newLogged()
		c.Listed(registered(60, 1), newest)
		interval := 30 * time.Millisecond
		for n := range 50 {
			for i := range 60 {
				own := interval
				if i < 20 && n/5%2 == 1 {
					own *= 3
				}
				streamAt(c, fmt.Sprintf("s%d", i), own)
			}
			time.Sleep(100 * time.Millisecond)
			c.Tick(t.Context(), time.Now())
		}
		changes := lines.FilterMessage("speed class of servers changed").All()
		if len(changes) < 2 || len(changes) > 6 {
			t.Fatalf("%d lines in five seconds", len(changes))
		}
		fields := changes[0].ContextMap()
		slow, _ := fields["slow"].([]any)
		if leftOut, _ := fields["left_out"].(int64); len(slow) != 16 || leftOut != 4 {
			t.Errorf("first line %v, want 16 of 20 slow servers and 4 left out", fields)
		}
	})
}
