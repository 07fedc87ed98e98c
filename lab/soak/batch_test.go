package soak

import (
	"reflect"
	"testing"
	"time"
)

// Guards against batches that differ between two runs of a seed, and against a run whose budget is not used up after
// the last kill of the router that draws it: an overspend shows only then.
func TestBatchesUseTheBudgetUpAfterTheKills(t *testing.T) {
	const length = 30 * time.Second
	kills := 0
	for seed := range uint64(20) {
		list := Batches(seed, length)
		if !reflect.DeepEqual(list, Batches(seed, length)) {
			t.Fatalf("seed %d: two draws differ", seed)
		}
		var after int64
		for _, b := range list {
			if b.KillHolder {
				kills++
			} else if kills > int(seed) {
				after += int64(b.Requests) * batchTokens
			}
		}
		if after < batchAccount.budget {
			t.Fatalf("seed %d: batches of %d tokens after the kill, the budget is %d", seed, after, batchAccount.budget)
		}
	}
	if kills != 20 {
		t.Fatalf("%d kills in 20 runs", kills)
	}
}
