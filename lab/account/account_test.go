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

// fleet are logs of two routers: the store is empty from 4 s on, a loses what it held at 5 s, and
// requests are refused before and after.
const fleet = `built in 3 s
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
	all := read(t, fleet).Refusals()
	if len(all) != 3 {
		t.Fatalf("%d reasons: %+v", len(all), all)
	}
	want := account.Refusal{
		Name: "BudgetExhausted", Cause: "budget … cannot cover the request", Count: 2,
		First: 2500 * time.Millisecond, Last: 6500 * time.Millisecond, Median: 6 * time.Millisecond,
		Router: "a", AtRouter: 1,
	}
	if all[0] != want {
		t.Errorf("got %+v\nwant %+v", all[0], want)
	}
}

// Guards against tokens that are counted at a process which has ended, and against a store that
// counts as empty before it stays so.
func TestTokensByPlace(t *testing.T) {
	all := read(t, fleet).Tokens()
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
		if acme.Course[i] != at {
			t.Errorf("got %+v, want %+v", acme.Course[i], at)
		}
	}
	if n := acme.Course[3].Elsewhere(); n != 480 {
		t.Errorf("%d tokens elsewhere", n)
	}
	if acme.Emptied != 4*time.Second || acme.Exhausted != 2 || acme.Early != 1 || acme.Unreachable != 1 {
		t.Errorf("emptied at %v; %d exhausted, %d early, %d unreachable", acme.Emptied, acme.Exhausted, acme.Early, acme.Unreachable)
	}
	if all[1].Emptied >= 0 {
		t.Error("a full budget counts as empty")
	}
}

func TestRoutersInTrouble(t *testing.T) {
	all := read(t, fleet).Routers()
	if len(all) != 2 || all[0] != (account.Router{Name: "b", Starts: 1, Full: 1, Behind: 1}) || all[1].Starts != 2 {
		t.Errorf("%+v", all)
	}
}

func TestRefusalsPerSecond(t *testing.T) {
	first, byName := read(t, fleet).PerSecond()
	if first != 2 || len(byName["BudgetExhausted"]) != 5 || byName["BudgetExhausted"][0] != 1 || byName["BudgetExhausted"][4] != 1 {
		t.Errorf("from second %d: %v", first, byName)
	}
}

// Guards against a run of a single router, whose log has no prefix, that is taken for none.
func TestLogOfOneRouter(t *testing.T) {
	run := read(t, `{"level":"info","ts":"2026-01-01T00:00:00Z","msg":"started","instance":"a"}
{"level":"info","ts":"2026-01-01T00:00:01.5Z","msg":"request NotAccepted","cause":"3004 NotAccepted: the router is behind"}
`)
	if len(run.Requests) != 1 || run.Requests[0].Router != "a" || run.Requests[0].At != 1500*time.Millisecond {
		t.Errorf("%+v", run.Requests)
	}
}

// Guards against files that are taken for a run although they are none, or a part of one.
func TestFilesThatAreNoRun(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		want error
	}{
		"empty":          {"", account.ErrForeign},
		"prose":          {"a report\nof something else\n", account.ErrForeign},
		"other objects":  {"{\"a\":1}\n{\"b\":2}\n", account.ErrForeign},
		"cut off":        {fleet[:strings.Index(fleet, `"msg":"link load"`)], account.ErrCut},
		"cut in one log": {`{"level":"info","ts":"2026-01-01T00:00:00Z","msg":"star`, account.ErrCut},
	} {
		if _, err := account.Read(strings.NewReader(c.text)); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", name, err, c.want)
		}
	}
	if _, err := account.Read(strings.NewReader(strings.Repeat("x", 5<<20))); err == nil {
		t.Error("a line of 5 MB is read")
	}
	far := "   1.0 a {\"msg\":\"request NotAccepted\"}\n999999999999 a {\"msg\":\"request NotAccepted\"}\n"
	if _, byName := read(t, far).PerSecond(); len(byName["NotAccepted"]) != 1 {
		t.Errorf("a run of %d seconds", len(byName["NotAccepted"]))
	}
	merged := strings.Replace(fleet, `"msg":"request OK","account"`, `"msg":"requ{"level":"info`, 1)
	run := read(t, merged)
	if run.Unreadable != 1 || len(run.Requests) != 4 {
		t.Errorf("%d unreadable lines, %d requests", run.Unreadable, len(run.Requests))
	}
}

// Every cut of a fleet's logs is read as what stands before it, or is an error.
func TestEveryCut(t *testing.T) {
	whole := len(read(t, fleet).Requests)
	for n := range len(fleet) {
		run, err := account.Read(strings.NewReader(fleet[:n]))
		switch {
		case err != nil && !errors.Is(err, account.ErrCut) && !errors.Is(err, account.ErrForeign):
			t.Fatalf("cut at %d: %v", n, err)
		case err == nil && len(run.Requests) > whole:
			t.Fatalf("cut at %d: %d requests of %d", n, len(run.Requests), whole)
		}
	}
}

func TestTablesAndPlots(t *testing.T) {
	run := read(t, fleet)
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
			t.Errorf("%s: a format that is not known is written", name)
		}
		if err := plot(filepath.Join(dir, "no", "such", "folder.png")); err == nil {
			t.Errorf("%s: a folder that is not there is written to", name)
		}
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(fleet))
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
	line := strings.Split(fleet, "\n")[4] + "\n"
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
