package server

import (
	"net/http"
	"testing"
)

func TestCrowdFollowsMemory(t *testing.T) {
	small, large := newCrowd(184), newCrowd(536)
	if small.most < 1000 || small.most > 2500 {
		t.Fatalf("%d connections in 184 MB", small.most)
	}
	if large.most <= 2*small.most {
		t.Fatalf("%d connections in 536 MB, %d in 184 MB", large.most, small.most)
	}
}

func TestCrowdIsFullBeforeItsBound(t *testing.T) {
	c := newCrowd(16)
	for range c.most - 1 {
		c.changed(nil, http.StateNew)
	}
	if !c.full() {
		t.Fatalf("not full with %d of %d connections", c.open.Load(), c.most)
	}
	for range c.most / 2 {
		c.changed(nil, http.StateActive)
		c.changed(nil, http.StateClosed)
	}
	if c.full() {
		t.Fatalf("full with %d of %d connections", c.open.Load(), c.most)
	}
}
