package verdicts_test

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gaplink/gaplink/store/memory"
)

// Guards against one odd crash in the store that takes away all others, and against one that ends the
// routers which read it.
func TestOddCrashInTheStoreTakesNoOtherAway(t *testing.T) {
	odd := []string{`null`, `7`, `"x"`, `[]`, `{}`, `{"requests":["xyz"]}`, `{"requests":7}`, `{"atMs":1e999}`, `{"server":5}`,
		`{"server":"o","service":"llm","atMs":9999999999999,"requests":["00"],"parts":[],"holds":["/w=="]}`,
		strings.Repeat("[", 12_000) + strings.Repeat("]", 12_000)}
	for _, crash := range odd {
		t.Run(crash[:min(len(crash), 30)], func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				kept := memory.New()
				crashWhileRunning("k", 0, 2, newNetwork().join(t.Context(), "r0", kept))
				o, err := kept.Get(context.Background(), "verdicts/evidence")
				if err != nil || !json.Valid(o.Value) {
					t.Fatal(err)
				}
				value := bytes.Replace(o.Value, []byte(`"crashes":[`), []byte(`"crashes":[`+crash+`,`), 1)
				if _, err := kept.Update(context.Background(), o.Key, o.Version, value); err != nil || len(value) == len(o.Value) {
					t.Fatal(err)
				}
				next := newNetwork().join(t.Context(), "r1", kept)
				time.Sleep(time.Second)
				if n := next.Crashes(request("k")); n != 2 {
					t.Errorf("%d crashes are known, 2 are in the store", n)
				}
			})
		})
	}
}
