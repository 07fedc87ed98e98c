package lab

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/spf13/cobra"

	"github.com/gaplink/gaplink/admin"
	"github.com/gaplink/gaplink/backend"
	"github.com/gaplink/gaplink/router"
	"github.com/gaplink/gaplink/store/standin"
	"github.com/gaplink/gaplink/table"
)

func movesCommand() *cobra.Command {
	var rounds int
	cmd := &cobra.Command{
		Use: "moves", Short: "Measure drains and planned stops, changes with a slow store, and retries with a pool down", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return moves(cmd.OutOrStdout(), rounds) },
	}
	cmd.Flags().IntVar(&rounds, "rounds", 50, "drains and planned stops")
	return cmd
}

func moves(out io.Writer, rounds int) error {
	if err := drains(out, rounds); err != nil {
		return err
	}
	if err := slowChanges(out); err != nil {
		return err
	}
	return amplification(out)
}

// localFleet runs routers and backend servers in this process.
type localFleet struct {
	platform   *standin.Platform
	addr       string
	mu         sync.Mutex
	routers    []*router.Router
	engines    []*backend.Engine
	servers    []table.Server
	key        string
	lastServer int
}

func newLocalFleet(routers, engines int) (*localFleet, error) {
	b := &localFleet{platform: standin.New(standin.Limits{}, 1)}
	var err error
	if b.addr, err = serveLocal(b.platform); err != nil {
		return nil, err
	}
	for i := range routers {
		r, err := startLocalRouter(b.platform, b.addr, i)
		if err != nil {
			return nil, err
		}
		b.routers = append(b.routers, r)
	}
	for range engines {
		if err := b.addEngine(); err != nil {
			return nil, err
		}
	}
	keys, err := b.operator().setUp([]accountSpec{{ID: "a", Budgets: map[string]int64{"a": 1 << 40}}}, []table.Pool{b.pool()})
	b.key = keys["a"]
	return b, err
}

func (b *localFleet) operator() *operator { return newOperator("bench", b.router(0).PeersAddr()) }

func (b *localFleet) pool() table.Pool {
	return table.Pool{Name: "m", Kind: table.Model, Target: "tagger", Site: "old", Servers: append([]table.Server(nil), b.servers...)}
}

// addEngine starts a backend server with a new name.
func (b *localFleet) addEngine() error {
	e := backend.NewEngine(3 * time.Millisecond)
	addr, err := serveLocal(e)
	if err != nil {
		return err
	}
	b.lastServer++
	b.engines = append(b.engines, e)
	b.servers = append(b.servers, table.Server{ID: fmt.Sprintf("e%d", b.lastServer), Addr: addr})
	return nil
}

func (b *localFleet) router(i int) *router.Router {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.routers[i]
}

func (b *localFleet) kill() {
	for i := range b.routers {
		b.router(i).Kill()
	}
}

// load counts the outcomes of streams that send sends one after the other until the
// context ends.
type load struct {
	sent, answered, cut, wrong, refused atomic.Int64
}

func (b *localFleet) send(ctx context.Context, l *load, worker int) {
	s := newSender(loadSpec{workers: 1}, map[string]int64{"a": 1 << 40})
	for i := 0; ctx.Err() == nil; i++ {
		o := outcome{job: job{nonce: fmt.Sprintf("w%d-%d", worker, i), key: b.key, budget: "a", maxTokens: maxCap, stream: true}, allRefused: true}
		l.sent.Add(1)
		for try := range maxTries {
			got := s.try(&o, b.router((worker+i+try)%len(b.routers)).CallersAddr())
			if got == tryAgain {
				l.refused.Add(1)
				time.Sleep(20 * time.Millisecond)
				continue
			}
			if got == answered {
				l.answered.Add(1)
			} else {
				l.wrong.Add(1)
			}
			break
		}
		l.cut.Add(int64(o.cutStreams))
	}
}

// drains alternates between replacing a backend server and gracefully restarting a
// router, under load.
func drains(out io.Writer, rounds int) error {
	b, err := newLocalFleet(3, 3)
	if err != nil {
		return err
	}
	defer b.kill()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var l load
	var wg sync.WaitGroup
	for w := range 12 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			b.send(ctx, &l, w)
		}()
	}
	for round := range rounds {
		if round%2 == 0 {
			err = b.replaceEngine(round / 2 % len(b.servers))
		} else {
			err = b.restartRouter(ctx, round/2%len(b.routers))
		}
		if err != nil {
			return err
		}
	}
	cancel()
	wg.Wait()
	late, repeated := b.audit()
	_, _ = fmt.Fprintf(out, "drains and planned stops: %d rounds, %d streams, answered %d, cut %d, wrong %d, tries refused as not run %d, work to a server more than 3 s after it began to leave %d, repeats %d\n",
		rounds, l.sent.Load(), l.answered.Load(), l.cut.Load(), l.wrong.Load(), l.refused.Load(), late, repeated)
	if l.cut.Load()+l.wrong.Load()+int64(late)+int64(repeated) > 0 {
		return errFailed
	}
	return nil
}

// replaceEngine lets a server leave and adds a new one in its place.
func (b *localFleet) replaceEngine(i int) error {
	leaving := b.engines[len(b.engines)-len(b.servers)+i]
	leaving.Leave()
	if err := b.addEngine(); err != nil {
		return err
	}
	last := len(b.servers) - 1
	b.servers[i] = b.servers[last]
	b.servers = b.servers[:last]
	if err := b.operator().do(admin.PoolSet, admin.PoolArgs{Pool: b.pool()}, nil); err != nil {
		return err
	}
	time.Sleep(100 * time.Millisecond)
	return nil
}

// restartRouter gracefully stops a router while streams run, and starts a new one in its
// place.
func (b *localFleet) restartRouter(ctx context.Context, i int) error {
	stopCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	b.router(i).Stop(stopCtx)
	fresh, err := startLocalRouter(b.platform, b.addr, i)
	if err != nil {
		return err
	}
	b.mu.Lock()
	b.routers[i] = fresh
	b.mu.Unlock()
	return nil
}

// audit counts requests that reached a server too long after it began to leave, and
// requests that ran more than once, from the records of the backend servers.
func (b *localFleet) audit() (late, repeated int) {
	ran := map[string]int{}
	for _, e := range b.engines {
		for _, r := range e.Runs() {
			ran[r.Nonce]++
			if r.AfterLeaving > maxWorkAfterLeave.Milliseconds() {
				late++
			}
		}
	}
	for _, n := range ran {
		if n > 1 {
			repeated++
		}
	}
	return late, repeated
}

const (
	slowStore   = 500 * time.Millisecond
	slowRouters = 8
	slowRounds  = 30
)

// slowChanges measures the time from an operator's command until the change is in force
// at all routers, with a slow store.
func slowChanges(out io.Writer) error {
	b, err := newLocalFleet(slowRouters, 1)
	if err != nil {
		return err
	}
	defer b.kill()
	b.platform.SetFaults(standin.Faults{DelayMillis: int(slowStore.Milliseconds())})
	times := hdrhistogram.New(1, 60_000, 3)
	for i := range slowRounds {
		began := time.Now()
		var final table.Change
		args := admin.TableSetArgs{Row: "*/tagger/old", Assignments: []string{fmt.Sprintf("weight=%d", i+1)}}
		if err := b.operator().do(admin.TableSet, args, &final); err != nil {
			return err
		}
		if err := waitFor(readyTimeout, func() bool { return b.allAt(final.Revision) }); err != nil {
			return err
		}
		_ = times.RecordValue(time.Since(began).Milliseconds())
	}
	_, _ = fmt.Fprintf(out, "changes with a store of %s a call, %d routers: %d changes, in force everywhere after p50 %d ms, p99 %d ms\n",
		slowStore, slowRouters, slowRounds, times.ValueAtQuantile(50), times.ValueAtQuantile(99))
	return nil
}

func (b *localFleet) allAt(revision int64) bool {
	for i := range b.routers {
		if b.router(i).Revision() < revision {
			return false
		}
	}
	return true
}

// amplification measures the attempts per request while all servers of a pool refuse.
func amplification(out io.Writer) error {
	b, err := newLocalFleet(1, 3)
	if err != nil {
		return err
	}
	defer b.kill()
	for _, e := range b.engines {
		e.SetFaults(backend.Faults{Kind: backend.Refuse, Every: 1})
	}
	const requests = 1000
	s := newSender(loadSpec{workers: 1}, map[string]int64{"a": 1 << 40})
	for i := range requests {
		o := outcome{job: job{nonce: fmt.Sprintf("x%d", i), key: b.key, budget: "a", maxTokens: 5}}
		s.try(&o, b.router(0).CallersAddr())
	}
	attempts := 0
	for _, e := range b.engines {
		attempts += e.Seen()
	}
	_, _ = fmt.Fprintf(out, "retries with the whole pool refusing: %d requests, %d attempts, amplification %.3f\n", requests, attempts, float64(attempts)/requests)
	return nil
}
