package budget_test

import (
	"testing"

	"github.com/gaplink/gaplink/budget"
)

// TestDecodePageRejectsPartialPages guards against values without budgets, such as null,
// that were decoded as an empty page, to which the next write would have truncated the
// stored one. A null record of a budget made the process panic. Encode always writes the
// budgets.
func TestDecodePageRejectsPartialPages(t *testing.T) {
	page := budget.NewPage()
	page.Budgets["b"] = &budget.Record{Account: "a", Limit: 900, Settled: 40, WrittenOff: 1, Holders: map[string]int64{"r/1": 200}}
	page.Ops["r/1"] = 7
	page.Fenced["r/0"] = true
	whole := page.Encode()
	for n := range len(whole) {
		if _, err := budget.DecodePage(whole[:n]); err == nil {
			t.Fatalf("cut at %d: %s", n, whole[:n])
		}
	}
	for _, other := range []string{`null`, `{}`, `{"budgets":null}`, `{"budgets":{"b":null}}`, `{"ops":{}}`, string(whole) + "{}"} {
		if got, err := budget.DecodePage([]byte(other)); err == nil {
			t.Errorf("%s is accepted as a page: %+v", other, got)
		}
	}
	for _, p := range []*budget.Page{page, budget.NewPage()} {
		if got, err := budget.DecodePage(p.Encode()); err != nil || len(got.Budgets) != len(p.Budgets) {
			t.Errorf("%s: %+v, %v", p.Encode(), got, err)
		}
	}
}
