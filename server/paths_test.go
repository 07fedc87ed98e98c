package server

import "testing"

// Guards against requests that are restricted to regions and pass through a router in another one.
func TestRegionsThroughWhichServersAreReached(t *testing.T) {
	regions := map[string]string{"a1": "a", "a2": "a", "b1": "b", "c1": "c"}
	for _, c := range []struct {
		from, to, through string
		want              bool
	}{
		{"a1", "a2", "a2", true}, {"a1", "a2", "b1", false}, {"a1", "b1", "b1", true}, {"a1", "b1", "c1", false},
		{"a1", "a2", "unknown", false}, {"x", "y", "z", true}, {"x", "a1", "z", false},
	} {
		if got := mayPassThrough(regions, c.from, c.to, c.through); got != c.want {
			t.Errorf("from %s to %s through %s: %v", c.from, c.to, c.through, got)
		}
	}
}
