package lab

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"sort"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/spf13/cobra"

	"github.com/gaplink/gaplink/backend"
	"github.com/gaplink/gaplink/router"
	"github.com/gaplink/gaplink/store/standin"
	"github.com/gaplink/gaplink/table"
)

const (
	latencyRouters = 3
	latencyStreams = 200
	latencyTokens  = 200
	maxMicros      = 10_000_000
)

func latencyCommand() *cobra.Command {
	return &cobra.Command{
		Use: "latency", Short: "Measure what a router adds to a streamed answer, against calling the backend server", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return latency(cmd.OutOrStdout()) },
	}
}

// streamFigures contains the latencies and allocations of many streams.
type streamFigures struct {
	first, whole *hdrhistogram.Histogram // microseconds
	allocs       float64                 // per token
}

func latency(out io.Writer) error {
	platform := standin.New(standin.Limits{}, 1)
	addr, err := serveLocal(platform)
	if err != nil {
		return err
	}
	var r *router.Router
	for i := range latencyRouters {
		if r, err = startLocalRouter(platform, addr, i); err != nil {
			return err
		}
		defer r.Kill()
	}
	engineAddr, err := serveLocal(backend.NewEngine(0))
	if err != nil {
		return err
	}
	keys, err := newOperator("latency", r.PeersAddr()).setUp(
		[]accountSpec{{ID: "a", Budgets: map[string]int64{"a": 1 << 40}}},
		[]table.Pool{{Name: "m", Kind: table.Model, Target: "m", Site: "old", Servers: []table.Server{{ID: "e1", Addr: engineAddr}}}},
	)
	if err != nil {
		return err
	}
	direct, err := streams(engineAddr, "")
	if err != nil {
		return err
	}
	routed, err := streams(r.CallersAddr(), keys["a"])
	if err != nil {
		return err
	}
	printLatency(out, "direct", direct)
	printLatency(out, "through gaplink", routed)
	_, _ = fmt.Fprintf(out, "added: first event p50 %d us p99 %d us; whole answer p50 %d us p99 %d us; allocations a token %.1f\n",
		routed.first.ValueAtQuantile(50)-direct.first.ValueAtQuantile(50),
		routed.first.ValueAtQuantile(99)-direct.first.ValueAtQuantile(99),
		routed.whole.ValueAtQuantile(50)-direct.whole.ValueAtQuantile(50),
		routed.whole.ValueAtQuantile(99)-direct.whole.ValueAtQuantile(99),
		routed.allocs-direct.allocs)
	return nil
}

func printLatency(out io.Writer, name string, f streamFigures) {
	_, _ = fmt.Fprintf(out, "%-16s first event p50 %d us p99 %d us; whole answer p50 %d us p99 %d us; allocations a token %.1f\n",
		name, f.first.ValueAtQuantile(50), f.first.ValueAtQuantile(99), f.whole.ValueAtQuantile(50), f.whole.ValueAtQuantile(99), f.allocs)
}

// streams sends requests for streamed answers one after the other and measures them.
func streams(addr, key string) (streamFigures, error) {
	f := streamFigures{first: hdrhistogram.New(1, maxMicros, 3), whole: hdrhistogram.New(1, maxMicros, 3)}
	prompt := longPrompt()
	var before, after runtime.MemStats
	tokens := 0
	for i := range latencyStreams + 20 {
		if i == 20 { // warm-up is over
			f.first.Reset()
			f.whole.Reset()
			tokens = 0
			runtime.ReadMemStats(&before)
		}
		n, err := oneStream(f, addr, key, prompt)
		if err != nil {
			return f, err
		}
		tokens += n
	}
	runtime.ReadMemStats(&after)
	f.allocs = float64(after.Mallocs-before.Mallocs) / float64(tokens)
	return f, nil
}

// longPrompt returns the prompt, of 50 candidates, with the longest answer.
func longPrompt() string {
	type candidate struct {
		prompt string
		tokens int64
	}
	var list []candidate
	for i := range 50 {
		p := fmt.Sprintf("p%d", i)
		_, n := backend.Answer(p, latencyTokens)
		list = append(list, candidate{p, n})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].tokens > list[j].tokens })
	return list[0].prompt
}

func oneStream(f streamFigures, addr, key, prompt string) (int, error) {
	body := fmt.Sprintf(`{"model":"m","max_tokens":%d,"stream":true,"messages":[{"role":"user","content":%q}]}`, latencyTokens, prompt)
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/v1/chat/completions", bytes.NewBufferString(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	began := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	tokens := 0
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if !strings.HasPrefix(lines.Text(), "data: ") {
			continue
		}
		if tokens == 0 {
			_ = f.first.RecordValue(time.Since(began).Microseconds())
		}
		tokens++
	}
	_ = f.whole.RecordValue(time.Since(began).Microseconds())
	return tokens, lines.Err()
}
