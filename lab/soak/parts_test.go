package soak_test

import (
	"reflect"
	"testing"
	"time"

	"github.com/gaplink/gaplink/lab/soak"
)

// Guards against a seed that draws another period each time, and against periods without kills, or all with them.
func TestPartPeriodIsDrawnFromTheSeed(t *testing.T) {
	kills, without := 0, 0
	for seed := range uint64(50) {
		p := soak.DrawPartPeriod(seed, 30*time.Second)
		if !reflect.DeepEqual(p, soak.DrawPartPeriod(seed, 30*time.Second)) {
			t.Fatalf("seed %d draws two periods", seed)
		}
		kills += len(p.Kills)
		if len(p.Kills) == 0 {
			without++
		}
	}
	if kills == 0 || without == 0 {
		t.Errorf("%d kills, %d periods without one", kills, without)
	}
}
