package soak_test

import (
	"reflect"
	"testing"
	"time"

	"github.com/gaplink/gaplink/lab/soak"
)

// TestRefusalPeriodIsDrawnFromTheSeed guards against a seed that draws another period each time, and against one without
// kills while servers refuse.
func TestRefusalPeriodIsDrawnFromTheSeed(t *testing.T) {
	for seed := range uint64(50) {
		p := soak.DrawRefusalPeriod(seed, 30*time.Second)
		if !reflect.DeepEqual(p, soak.DrawRefusalPeriod(seed, 30*time.Second)) {
			t.Fatalf("seed %d draws two periods", seed)
		}
		if len(p.Kills) < 3 || p.Kills[0].At <= p.At || p.Kills[len(p.Kills)-1].At >= p.At+p.Duration {
			t.Errorf("seed %d: %+v", seed, p)
		}
	}
}
