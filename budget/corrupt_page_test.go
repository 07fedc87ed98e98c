package budget

import (
	"testing"

	"github.com/gaplink/gaplink/guard"
	"github.com/gaplink/gaplink/lab/mutate"
)

// TestCorruptPagesDoNotPanic guards against stored pages that make a router panic: every
// router reads the page, and reads it again after a restart, so that such a page would end
// them all. A page that decodes must be usable for draws.
func TestCorruptPagesDoNotPanic(t *testing.T) {
	good := NewPage()
	good.Budgets["b"] = &Record{Account: "a", Limit: 100, Holders: map[string]int64{"r1/1": 10}}
	good.Ops["r1/1"] = 3
	good.Fenced["r0/1"] = true
	good.Escrows["r1/1"] = Escrow{}
	mutate.Each(t, good.Encode(), func(bad []byte) {
		_, err := guard.Call(func() (any, error) {
			p, err := DecodePage(bad)
			if err != nil {
				return nil, nil // the page is rejected
			}
			p = p.Clone()
			p.Ops["r2/1"] = 1
			p.Fenced["r2/1"] = true
			p.Escrows["r2/1"] = Escrow{}
			if p.Budgets["b"] != nil {
				p.issue("b", "r2/1", 5)
			}
			return p.Encode(), nil
		})
		if err != nil {
			t.Errorf("%s: %v", bad, err)
		}
	})
}
