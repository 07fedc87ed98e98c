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

// Guards against a demo that passes although its load ended before all faults were
// injected, or although it was given an unknown fault. The notes about missed faults are
// printed only when a figure fails, so missed faults must themselves be such a figure.
func TestDemoFailsOnFaultsNotInjected(t *testing.T) {
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

// Guards against losing the runs of a backend server that the demo killed: its runs were
// read after the load, when it could no longer answer, so that an overspend there was not
// detected and refusals because of the spent tokens counted as false.
func TestAuditCountsKilledEngine(t *testing.T) {
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
