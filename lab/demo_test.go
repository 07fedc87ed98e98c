package lab

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"testing"

	"github.com/gaplink/gaplink/backend"
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

// TestAuditCountsAKilledEngine: what a backend server had served before the
// demo ended it was in no count, so that an overspend there was not seen and
// refusals for want of the tokens counted as false. Its runs were asked for after
// the load, when it could not answer.
func TestAuditCountsAKilledEngine(t *testing.T) {
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode([]backend.Run{{Nonce: "n1", Tokens: 700}})
	}))
	t.Cleanup(engine.Close)
	idle := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode([]backend.Run{})
	}))
	t.Cleanup(idle.Close)
	p := &process{cmd: exec.Command("sleep", "60"), addr: engine.Listener.Addr().String()}
	if err := p.launch(); err != nil {
		t.Fatal(err)
	}
	f := newFleet(t.TempDir())
	f.engines, f.service = []*process{p}, &process{addr: idle.Listener.Addr().String()}
	d := &demoRun{fleet: f, killed: map[string]bool{}}
	if err := d.killEngine(); err != nil {
		t.Fatal(err)
	}
	if err := d.auditRuns([]outcome{{job: job{nonce: "n1", budget: "b"}}}, map[string]int64{"b": 500}); err != nil {
		t.Fatal(err)
	}
	if d.report.ServedTokens != 700 || d.report.Overspend != 200 {
		t.Errorf("served %d, overspend %d", d.report.ServedTokens, d.report.Overspend)
	}
}
