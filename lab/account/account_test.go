package account_test

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/gaplink/gaplink/lab/account"
)

// fleetLogs contains the logs of two routers: the store is empty from 4 s on, a loses its tokens in a
// restart at 5 s, and requests are refused before and after.
const fleetLogs = `built in 3 s
  -1.0000 a {"level":"info","ts":"2026-01-01T00:00:00Z","msg":"started","instance":"a"}
  -0.9000 b {"level":"info","ts":"2026-01-01T00:00:00.1Z","msg":"started","instance":"b"}
   1.0000 a {"level":"info","ts":"2026-01-01T00:00:02Z","msg":"budget page written","version":2,"budgets":"acme=300+100/600/1000 other=0+0/50/50 "}
   2.0000 b {"level":"info","ts":"2026-01-01T00:00:03Z","msg":"budget page written","version":3,"budgets":"acme=200+0/400/1000 other=0+0/50/50 "}
   2.5000 a {"level":"info","ts":"2026-01-01T00:00:03.5Z","msg":"request BudgetExhausted","account":"acme","after_ms":6,"cause":"2003 BudgetExhausted: budget acme7 cannot cover the request: 12 of 40"}
   3.0000 a {"level":"info","ts":"2026-01-01T00:00:04Z","msg":"request OK","account":"acme","after_ms":800,"spent":70}
   4.0000 b {"level":"info","ts":"2026-01-01T00:00:05Z","msg":"budget page written","version":4,"budgets":"acme=500+20/5/1000 other=0+0/50/50 "}
   5.0000 a {"level":"info","ts":"2026-01-01T00:00:06Z","msg":"started","instance":"a"}
   6.0000 b {"level":"info","ts":"2026-01-01T00:00:07Z","msg":"budget page written","version":5,"budgets":"acme=500+20/0/1000 other=0+0/50/50 "}
   6.5000 b {"level":"info","ts":"2026-01-01T00:00:07.5Z","msg":"request BudgetExhausted","account":"acme","after_ms":4,"cause":"2003 BudgetExhausted: budget acme7 cannot cover the request: 1 of 40"}
   6.6000 b {"level":"info","ts":"2026-01-01T00:00:07.6Z","msg":"request BudgetUnreachable","account":"acme","after_ms":200,"cause":"2005 BudgetUnreachable: budget acme7"}
   6.7000 b {"level":"info","ts":"2026-01-01T00:00:07.7Z","msg":"request NotAccepted","after_ms":0,"cause":"3004 NotAccepted: the router is behind"}
   6.8000 b {"level":"info","ts":"2026-01-01T00:00:07.8Z","msg":"link load","full":true}
   6.9000 b {"level":"info","ts":"2026-01-01T00:00:07.9Z","msg":"request held back","request":"x"}
not served, last try '402': 2
`

func read(t *testing.T, text string) *account.Run {
	t.Helper()
	run, err := account.Read(strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	return run
}

func TestRefusalsByReason(t *testing.T) {
	all := read(t, fleetLogs).Refusals()
	if len(all) != 3 {
		t.Fatalf("%d reasons: %+v", len(all), all)
	}
	want := account.Refusal{
		Name: "BudgetExhausted", Cause: "budget … cannot cover the request", Count: 2,
		First: 2500 * time.Millisecond, Last: 6500 * time.Millisecond, MedianDuration: 6 * time.Millisecond,
		Router: "a", AtRouter: 1,
	}
	if all[0] != want {
		t.Errorf("got %+v\nwant %+v", all[0], want)
	}
}

// Guards against counting tokens of a process that has ended, and against reporting the store as
// empty from a time after which it still had tokens.
func TestTokensByLocation(t *testing.T) {
	all := read(t, fleetLogs).Tokens()
	if len(all) != 2 || all[0].Account != "acme" || all[1].Account != "other" {
		t.Fatalf("%+v", all)
	}
	acme := all[0]
	want := []account.Tokens{
		{At: time.Second, Free: 600, Held: 300, Reserved: 100, Limit: 1000},
		{At: 2 * time.Second, Free: 400, Held: 500, Reserved: 100, Limit: 1000},
		{At: 4 * time.Second, Free: 5, Held: 800, Reserved: 120, Limit: 1000},
		{At: 6 * time.Second, Free: 0, Held: 500, Reserved: 20, Limit: 1000},
	}
	for i, at := range want {
		if acme.History[i] != at {
			t.Errorf("got %+v, want %+v", acme.History[i], at)
		}
	}
	if n := acme.History[3].Elsewhere(); n != 480 {
		t.Errorf("%d tokens elsewhere", n)
	}
	if acme.EmptySince != 4*time.Second || acme.Exhausted != 2 || acme.Early != 1 || acme.Unreachable != 1 {
		t.Errorf("empty since %v; %d exhausted, %d early, %d unreachable", acme.EmptySince, acme.Exhausted, acme.Early, acme.Unreachable)
	}
	if all[1].EmptySince >= 0 {
		t.Error("an untouched budget is reported as empty")
	}
}

func TestRouterProblems(t *testing.T) {
	all := read(t, fleetLogs).Routers()
	if len(all) != 2 || all[0] != (account.Router{Name: "b", Starts: 1, LinkLoadChanges: 1, RefusedStale: 1}) || all[1].Starts != 2 {
		t.Errorf("%+v", all)
	}
}

func TestRefusalsPerSecond(t *testing.T) {
	first, byName := read(t, fleetLogs).PerSecond()
	if first != 2 || len(byName["BudgetExhausted"]) != 5 || byName["BudgetExhausted"][0] != 1 || byName["BudgetExhausted"][4] != 1 {
		t.Errorf("from second %d: %v", first, byName)
	}
}

// Guards against rejecting the log of a single router, which has no prefix.
func TestLogOfOneRouter(t *testing.T) {
	run := read(t, `{"level":"info","ts":"2026-01-01T00:00:00Z","msg":"started","instance":"a"}
{"level":"info","ts":"2026-01-01T00:00:01.5Z","msg":"request NotAccepted","cause":"3004 NotAccepted: the router is behind"}
`)
	if len(run.Requests) != 1 || run.Requests[0].Router != "a" || run.Requests[0].At != 1500*time.Millisecond {
		t.Errorf("%+v", run.Requests)
	}
}

// Guards against accepting files that are not the logs of a run, or that are truncated.
func TestInvalidFiles(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		want error
	}{
		"empty":          {"", account.ErrNoLogLine},
		"prose":          {"a report\nof something else\n", account.ErrNoLogLine},
		"other objects":  {"{\"a\":1}\n{\"b\":2}\n", account.ErrNoLogLine},
		"cut off":        {fleetLogs[:strings.Index(fleetLogs, `"msg":"link load"`)], account.ErrTruncated},
		"cut in one log": {`{"level":"info","ts":"2026-01-01T00:00:00Z","msg":"star`, account.ErrTruncated},
	} {
		if _, err := account.Read(strings.NewReader(c.text)); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", name, err, c.want)
		}
	}
	if _, err := account.Read(strings.NewReader(strings.Repeat("x", 5<<20))); err == nil {
		t.Error("Read accepted a line of 5 MB")
	}
	far := "   1.0 a {\"msg\":\"request NotAccepted\"}\n999999999999 a {\"msg\":\"request NotAccepted\"}\n"
	if _, byName := read(t, far).PerSecond(); len(byName["NotAccepted"]) != 1 {
		t.Errorf("a run of %d seconds", len(byName["NotAccepted"]))
	}
	merged := strings.Replace(fleetLogs, `"msg":"request OK","account"`, `"msg":"requ{"level":"info`, 1)
	run := read(t, merged)
	if run.Unreadable != 1 || len(run.Requests) != 4 {
		t.Errorf("%d unreadable lines, %d requests", run.Unreadable, len(run.Requests))
	}
}

// Logs that are truncated at any byte yield at most the complete lines, or an error.
func TestTruncatedLogs(t *testing.T) {
	whole := len(read(t, fleetLogs).Requests)
	for n := range len(fleetLogs) {
		run, err := account.Read(strings.NewReader(fleetLogs[:n]))
		switch {
		case err != nil && !errors.Is(err, account.ErrTruncated) && !errors.Is(err, account.ErrNoLogLine):
			t.Fatalf("cut at %d: %v", n, err)
		case err == nil && len(run.Requests) > whole:
			t.Fatalf("cut at %d: %d requests of %d", n, len(run.Requests), whole)
		}
	}
}

func TestTablesAndPlots(t *testing.T) {
	run := read(t, fleetLogs)
	var out bytes.Buffer
	if err := run.WriteTables(&out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"4 lines of requests that were not served, 1 of served ones", "budget … cannot cover the request", "4.0 s", "0.480", "the router is behind"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in:\n%s", want, out.String())
		}
	}
	dir := t.TempDir()
	for name, plot := range map[string]func(string) error{"refusals": run.PlotRefusals, "tokens": run.PlotTokens} {
		file := filepath.Join(dir, name+".png")
		if err := plot(file); err != nil {
			t.Fatal(err)
		}
		if info, err := os.Stat(file); err != nil || info.Size() < 1000 {
			t.Errorf("%s: %v", name, err)
		}
		if err := plot(filepath.Join(dir, name+".unknown")); err == nil {
			t.Errorf("%s: writing an unknown format succeeded", name)
		}
		if err := plot(filepath.Join(dir, "no", "such", "folder.png")); err == nil {
			t.Errorf("%s: writing to a missing directory succeeded", name)
		}
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(fleetLogs))
	f.Add([]byte("1.0 a {}\n"))
	f.Add([]byte(`9e999 a {"msg":"x"}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		run, err := account.Read(bytes.NewReader(text))
		if err != nil {
			return
		}
		if err := run.WriteTables(&bytes.Buffer{}); err != nil {
			t.Fatal(err)
		}
	})
}

func BenchmarkRead(b *testing.B) {
	line := strings.Split(fleetLogs, "\n")[4] + "\n"
	text := strings.Repeat(line, 10_000)
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		if _, err := account.Read(strings.NewReader(text)); err != nil {
			b.Fatal(err)
		}
	}
}

func ExampleRun_WriteTables() {
	run, err := account.Read(strings.NewReader(`   1.0 a {"msg":"request NotAccepted","cause":"3004 NotAccepted: the router is behind"}` + "\n"))
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(run.Refusals()[0].Cause)
	// Output: the router is behind
}
