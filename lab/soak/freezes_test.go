package soak_test

import (
	"reflect"
	"testing"
	"time"

	"github.com/gaplink/gaplink/lab/soak"
)

// TestFreezePeriodIsDrawnFromTheSeed guards against a seed that draws another period each time, and against periods in which no
// server freezes, or one goes on only after the period.
func TestFreezePeriodIsDrawnFromTheSeed(t *testing.T) {
	const servers = 6
	patterns := map[int]bool{}
	links, kills := 0, 0
	for seed := range uint64(100) {
		p := soak.DrawFreezePeriod(seed, 36*time.Second, servers)
		if !reflect.DeepEqual(p, soak.DrawFreezePeriod(seed, 36*time.Second, servers)) {
			t.Fatalf("seed %d draws two periods", seed)
		}
		for _, f := range p.Freezes {
			if f.At < p.At || f.At+f.Duration > p.At+p.Duration || f.Duration <= 0 {
				t.Errorf("seed %d: %+v in a period from %s for %s", seed, f, p.At, p.Duration)
			}
			if f.AtLink {
				links++
			}
		}
		patterns[len(p.Freezes)] = true
		kills += len(p.Kills)
	}
	if want := map[int]bool{1: true, 3: true, 5: true, 6: true}; !reflect.DeepEqual(patterns, want) || links == 0 || kills == 0 {
		t.Errorf("numbers of frozen servers %v, %d links, %d kills", patterns, links, kills)
	}
}
