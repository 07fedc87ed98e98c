package lab

import (
	"context"
	"testing"
)

// TestDemoTellsOfFaultsThatWereNotInjected: a demo whose load had ended before
// its faults were through, or that was given a fault it does not know, passed like
// one that had withstood them. The notes that say so are printed only when another
// figure fails.
func TestDemoTellsOfFaultsThatWereNotInjected(t *testing.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	for name, c := range map[string]struct {
		ctx    context.Context
		faults string
		bad    bool
	}{
		"none asked for":   {ended, "", false},
		"load had ended":   {ended, "kill,freeze", true},
		"fault not known":  {context.Background(), "earthquake", true},
		"one of two known": {context.Background(), ",earthquake", true},
	} {
		d := &demoRun{options: demoOptions{faults: c.faults}, fleet: &fleet{routers: []*routerNode{{}}}}
		d.inject(c.ctx)
		var bad int64
		for _, n := range d.report.mustBeZero() {
			bad += n
		}
		if c.bad != (bad > 0) {
			t.Errorf("%s: %d figures are not 0", name, bad)
		}
	}
}
