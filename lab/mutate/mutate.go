// Package mutate derives invalid input for tests from valid JSON by replacing single values.
package mutate

import (
	"encoding/json"
	"testing"
)

// replacements contains the values that replace valid ones.
var replacements = []any{nil, -1, 1.5, "x", []any{}, []any{nil}, map[string]any{}, map[string]any{"x": nil}}

// Each calls fn with every document that results from replacing one value of good, at any
// depth.
func Each(t testing.TB, good []byte, fn func(bad []byte)) {
	t.Helper()
	var root any
	if err := json.Unmarshal(good, &root); err != nil {
		t.Fatal(err)
	}
	emit := func() {
		bad, err := json.Marshal(root)
		if err != nil {
			t.Fatal(err)
		}
		fn(bad)
	}
	for _, s := range replacements {
		kept := root
		root = s
		emit()
		root = kept
	}
	eachBelow(root, emit)
}

// eachBelow calls emit after replacing each value below node in turn, and restores the value
// afterwards.
func eachBelow(node any, emit func()) {
	switch n := node.(type) {
	case map[string]any:
		for key, kept := range n {
			for _, s := range replacements {
				n[key] = s
				emit()
			}
			n[key] = kept
			eachBelow(kept, emit)
		}
	case []any:
		for i, kept := range n {
			for _, s := range replacements {
				n[i] = s
				emit()
			}
			n[i] = kept
			eachBelow(kept, emit)
		}
	}
}
