package lab

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"runtime"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"github.com/gaplink/gaplink/admin"
	"github.com/gaplink/gaplink/backend"
	"github.com/gaplink/gaplink/budget"
	"github.com/gaplink/gaplink/controller/members"
	"github.com/gaplink/gaplink/lab/loopback"
	"github.com/gaplink/gaplink/lab/policy"
	"github.com/gaplink/gaplink/ledger"
	"github.com/gaplink/gaplink/membership"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/route"
	"github.com/gaplink/gaplink/router"
	"github.com/gaplink/gaplink/settings"
	"github.com/gaplink/gaplink/store"
	"github.com/gaplink/gaplink/store/standin"
	"github.com/gaplink/gaplink/table"
)

func slopesCommand() *cobra.Command {
	var only string
	parts := map[string]func(io.Writer) error{"state": stateSlopes, "time": timeSlopes, "fleet": fleetSlopes, "change": changeSlopes}
	cmd := &cobra.Command{
		Use: "slopes", Short: "Measure what grows with what, for docs/CAPACITY.md", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			for _, name := range []string{"state", "time", "fleet", "change"} {
				if only != "" && only != name {
					continue
				}
				if err := parts[name](cmd.OutOrStdout()); err != nil {
					return err
				}
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&only, "only", "", "state, time, fleet or change")
	return cmd
}

// point is a size and the figure measured at it.
type point struct {
	size   float64
	figure float64
}

// fitLine fits a least-squares line through points. It returns the slope and the intercept.
func fitLine(points []point) (perUnit, at0 float64) {
	var n, sx, sy, sxx, sxy float64
	for _, p := range points {
		n++
		sx += p.size
		sy += p.figure
		sxx += p.size * p.size
		sxy += p.size * p.figure
	}
	perUnit = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return perUnit, (sy - perUnit*sx) / n
}

// measure prints a row with the figure at each size, the slope and the intercept.
func measure(out io.Writer, name, unit string, sizes []int, figure func(size int) float64) {
	var points []point
	for _, n := range sizes {
		points = append(points, point{float64(n), figure(n)})
	}
	perUnit, at0 := fitLine(points)
	_, _ = fmt.Fprintf(out, "%-46s", name)
	for _, p := range points {
		_, _ = fmt.Fprintf(out, " %g: %.4g;", p.size, p.figure)
	}
	_, _ = fmt.Fprintf(out, " slope %.4g %s, at 0 %.4g\n", perUnit, unit, at0)
}

// heapBytes returns the size on the heap, in bytes, of the value that build returns.
func heapBytes(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

func agentWith(budgets, pages int) *budget.Agent {
	cfg := budget.DefaultConfig()
	cfg.Pages = pages
	cfg.Self = budget.Peer{ID: "r0", Incarnation: "r0/x"}
	cfg.Owner = func(time.Time, string) string { return "r1" }
	a := budget.NewAgent(cfg)
	now := time.Unix(1000, 0)
	for i := range budgets {
		id := fmt.Sprintf("b%05d", i)
		a.Reserve(now, id, 100)
		a.Receive(now, budget.Message{Kind: budget.Grant, Budget: id, From: budget.Peer{ID: "r1", Incarnation: "r1/x"}, To: cfg.Self, Total: 1000, Delta: 1000})
	}
	return a
}

func shardWith(records int) *ledger.Shard {
	cfg := ledger.DefaultConfig()
	cfg.Owner = "r0/x"
	s := ledger.NewShard(cfg)
	now := time.Unix(1000, 0)
	s.Submit(now, ledger.Op{Kind: ledger.Claim, Request: "first"}, 0)
	s.Loaded(now, nil, 0, ledger.Done)
	for i := range records {
		request := fmt.Sprintf("k/account-%d/3f0e7c1a-%08d", i%230, i)
		s.Submit(now, ledger.Op{
			Kind: ledger.Claim, Request: request, Claim: fmt.Sprintf("7b0c11f2-4a1e-4c55-9b1c-%012d", i),
			Holder: "r0/7b0c11f2-4a1e-4c55-9b1c-000000000000", Instance: "r0", Account: "account", Budget: "budget", Target: "model", MaxTokens: 400,
		}, uint64(i+1))
	}
	return s
}

// memberList is a platform's list of the given number of routers.
type memberList int

// Instances implements members.Lister.
func (n memberList) Instances(context.Context) ([]membership.Member, error) {
	var list []membership.Member
	for i := range int(n) {
		list = append(list, membership.Member{
			ID: fmt.Sprintf("r%03d", i), Kind: "router", Addr: fmt.Sprintf("10.0.%d.%d:7100", i/250, i%250),
			Domain: fmt.Sprintf("domain-%d", i%14), State: membership.Live,
		})
	}
	return list, nil
}

func viewWith(n int) *membership.View {
	v := membership.NewView(membership.Member{ID: "r000", Kind: "router", State: membership.Live})
	list, _ := memberList(n).Instances(context.Background())
	v.SetList(list)
	return v
}

func stateWith(accounts int) *table.State {
	s := table.NewState()
	rev := int64(0)
	apply := func(e table.Edit) {
		rev++
		s, _ = s.Apply(table.Change{Revision: rev, Status: table.Committed, Edits: []table.Edit{e}})
	}
	for i := range accounts {
		id := fmt.Sprintf("account-%d", i)
		apply(table.NewEdit(table.KindAccount, id, 0, table.Account{ID: id, KeyHashes: []string{operatorKeyHash()}, Budget: id, Budgets: []string{id}}))
		row := table.Row{Account: id, Target: fmt.Sprintf("model-%d", i%36), Site: "new", Weight: 10}
		apply(table.RowEdit(row, 0))
	}
	return s
}

func routesWith(servers int) *route.Routes {
	pools := map[string]table.Pool{}
	for i := range servers {
		name := fmt.Sprintf("pool-%d", i%36)
		p := pools[name]
		p.Name, p.Target, p.Site, p.Kind = name, fmt.Sprintf("model-%d", i%36), "new", table.Model
		p.Servers = append(p.Servers, table.Server{ID: fmt.Sprintf("e%04d", i), Addr: fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250)})
		pools[name] = p
	}
	r := route.New()
	r.SetPools(pools)
	return r
}

func stateSlopes(out io.Writer) error {
	measure(out, "state of a used budget in a router", "bytes", []int{1000, 4000, 14000}, func(n int) float64 {
		return heapBytes(func() any { return agentWith(n, 256) })
	})
	measure(out, "ledger record in a shard owner", "bytes", []int{5000, 20000, 60000}, func(n int) float64 {
		return heapBytes(func() any { return shardWith(n) })
	})
	measure(out, "member in a router's view", "bytes", []int{100, 200, 390}, func(n int) float64 {
		return heapBytes(func() any { return viewWith(n) })
	})
	measure(out, "client account with one row", "bytes", []int{60, 120, 230}, func(n int) float64 {
		return heapBytes(func() any { return stateWith(n) })
	})
	measure(out, "backend server in the routes", "bytes", []int{325, 650, 1300}, func(n int) float64 {
		return heapBytes(func() any { return routesWith(n) })
	})
	measure(out, "budget in a store page, encoded", "bytes", []int{10, 55, 200}, func(n int) float64 {
		p := budget.NewPage()
		for i := range n {
			p.Budgets[fmt.Sprintf("b%05d", i)] = &budget.Record{Account: "account-17", Limit: 10_000_000, Settled: 4_000_000, Holders: map[string]int64{"r17/7b0c11f2-4a1e-4c55-9b1c-000000000000": 90000, "r18/7b0c11f2-4a1e-4c55-9b1c-000000000000": 90000}}
		}
		return float64(len(p.Encode()))
	})
	return nil
}

// meanMicros returns the mean duration of many calls of fn, in microseconds.
func meanMicros(fn func(i int)) float64 {
	const calls = 20000
	began := time.Now()
	for i := range calls {
		fn(i)
	}
	return float64(time.Since(began).Microseconds()) / calls
}

func timeSlopes(out io.Writer) error {
	now := time.Unix(2000, 0)
	measure(out, "ranking a home, microseconds", "us/member", []int{100, 200, 390}, func(n int) float64 {
		v := viewWith(n)
		return meanMicros(func(i int) { v.First(now, "budget/b") })
	})
	measure(out, "the home found lately, microseconds", "us/member", []int{100, 200, 390}, func(n int) float64 {
		c := members.New(membership.Member{ID: "r000", Kind: "router", State: membership.Live}, memberList(n), time.Hour, zap.NewNop())
		c.Refresh(context.Background())
		return meanMicros(func(int) { c.First(time.Now(), "budgets/1") })
	})
	measure(out, "reserve and settle locally, microseconds", "us/budget", []int{1000, 4000, 14000}, func(n int) float64 {
		a := agentWith(n, 256)
		return meanMicros(func(i int) {
			id := fmt.Sprintf("b%05d", i%n)
			a.Reserve(now, id, 10)
			a.Settle(now, id, 10, 5)
		})
	})
	measure(out, "tick of an agent, microseconds", "us/budget", []int{500, 1000, 2000}, func(n int) float64 {
		a := agentWith(n, 256)
		began := time.Now()
		for range 50 {
			a.Tick(time.Unix(1001, 0))
		}
		return float64(time.Since(began).Microseconds()) / 50
	})
	measure(out, "pick of a backend server, microseconds", "us/server", []int{325, 650, 1300}, func(n int) float64 {
		r := routesWith(n)
		rng := rand.New(rand.NewPCG(1, 1))
		return meanMicros(func(i int) { r.Pick(now, rng, route.Request{Target: fmt.Sprintf("model-%d", i%36), Prefix: uint64(i)}) })
	})
	_, _ = fmt.Fprintf(out, "%-46s %.1f us, both sides\n", "one call between routers over loopback", callMicros())
	return nil
}

func callMicros() float64 {
	mux := peer.NewMux()
	peer.Handle(mux, peer.MethodWho, func(context.Context, *peer.Empty) (*peer.WhoAnswer, error) {
		return &peer.WhoAnswer{Incarnation: "r0/7b0c11f2"}, nil
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = peer.Serve(ctx, listener, mux) }()
	c := peer.NewClient(peer.Options{DialTimeout: time.Second})
	defer func() { _ = c.Close() }()
	return meanMicros(func(int) {
		_, _ = peer.Call[peer.Empty, peer.WhoAnswer](ctx, c, listener.Addr().String(), peer.MethodWho, &peer.Empty{})
	})
}

// requestsPerRouter is the load of one router at the target fleet size, in requests per second,
// and budgetsPerRouter the number of budgets per router.
const (
	requestsPerRouter = 20.8
	budgetsPerRouter  = 36
)

// fleetSlopes runs the chosen policy at growing fleet sizes with proportional load, budgets
// and pages.
func fleetSlopes(out io.Writer) error {
	results := map[int]policy.Result{}
	sizes := []int{8, 39, 130, 390}
	for _, n := range sizes {
		s := policy.Base(14, 5*time.Millisecond)
		s.Name = fmt.Sprintf("%d routers", n)
		s.Routers = n
		s.PerSecond = requestsPerRouter * float64(n)
		s.Budgets = budgetsPerRouter * n
		s.Pages = max(16, n*256/390)
		s.Hold = 10 * time.Second
		s.Fill = 300
		s.Length = 60 * time.Second
		s.Warm = 40 * time.Second
		results[n] = policy.Run(s, "chosen", policy.Chosen)
		printResult(out, results[n])
	}
	for _, row := range []struct {
		name string
		get  func(policy.Result) float64
	}{
		{"store writes a second, grants", func(r policy.Result) float64 { return r.WritesPerSecond }},
		{"store reads a second, grants", func(r policy.Result) float64 { return r.ReadsPerSecond }},
		{"budget messages for 1,000 requests", func(r policy.Result) float64 { return r.MessagesPerK }},
		{"budget bytes for 1,000 requests", func(r policy.Result) float64 { return r.BytesPerK }},
	} {
		measure(out, row.name, "a router", sizes, func(n int) float64 { return row.get(results[n]) })
	}
	return nil
}

// changeSlopes measures table changes on real routers that run in this process.
func changeSlopes(out io.Writer) error {
	sizes := []int{2, 4, 8, 16}
	costs := map[int]changeCost{}
	for _, n := range sizes {
		cost, err := changeCostAt(n)
		if err != nil {
			return err
		}
		costs[n] = cost
	}
	rows := []struct {
		name string
		get  func(changeCost) float64
	}{
		{"store writes for a change", func(c changeCost) float64 { return c.writes }},
		{"store reads for a change", func(c changeCost) float64 { return c.reads }},
		{"store watches for a change", func(c changeCost) float64 { return c.watches }},
		{"peer bytes of the proposer for a change", func(c changeCost) float64 { return c.bytes }},
		{"idle fleet: store reads a second", func(c changeCost) float64 { return c.idleReads }},
		{"idle fleet: store watches a second", func(c changeCost) float64 { return c.idleWatches }},
		{"idle fleet: peer bytes a second", func(c changeCost) float64 { return c.idleBytes }},
		{"time of a change, ms", func(c changeCost) float64 { return c.millis }},
	}
	for _, row := range rows {
		measure(out, row.name, "a member", sizes, func(n int) float64 { return row.get(costs[n]) })
	}
	return nil
}

type changeCost struct {
	writes, reads, watches, bytes, millis float64
	// The idle figures are per second, for the whole fleet.
	idleReads, idleWatches, idleBytes float64
}

const (
	changes    = 20
	idlePeriod = 6 * time.Second
)

func changeCostAt(n int) (changeCost, error) {
	platform := standin.New(standin.Limits{}, 1)
	addr, err := serveLocal(platform)
	if err != nil {
		return changeCost{}, err
	}
	var routers []*router.Router
	for i := range n {
		r, err := startLocalRouter(platform, addr, i)
		if err != nil {
			return changeCost{}, err
		}
		defer r.Kill()
		routers = append(routers, r)
	}
	op := newOperator("slopes", routers[0].PeersAddr())
	engineAddr, err := serveLocal(backend.NewEngine(0))
	if err != nil {
		return changeCost{}, err
	}
	pool := table.Pool{Name: "m", Kind: table.Model, Target: "m", Site: "new", Servers: []table.Server{{ID: "e1", Addr: engineAddr}}}
	if err := op.do(admin.PoolSet, admin.PoolArgs{Pool: pool}, nil); err != nil {
		return changeCost{}, err
	}
	background := countsDuring(platform, routers, func() error { time.Sleep(idlePeriod); return nil })
	if background.err != nil {
		return changeCost{}, background.err
	}
	during := countsDuring(platform, routers[:1], func() error { return editRow(op) })
	cost := during.costPerChange(background)
	seconds := background.span.Seconds()
	cost.idleReads = float64(background.counts.Reads) / seconds
	cost.idleWatches = float64(background.counts.Watches) / seconds
	cost.idleBytes = float64(background.bytes) / seconds
	return cost, during.err
}

func editRow(op *operator) error {
	for i := range changes {
		args := admin.TableSetArgs{Row: "*/m/new", Assignments: []string{fmt.Sprintf("weight=%d", i+1)}}
		if err := op.do(admin.TableSet, args, nil); err != nil {
			return err
		}
	}
	return nil
}

// sample is the traffic during a period.
type sample struct {
	counts store.Counts
	bytes  int64
	span   time.Duration
	err    error
}

func countsDuring(p *standin.Platform, routers []*router.Router, do func() error) sample {
	sum := func() (n int64) {
		for _, r := range routers {
			n += r.PeerBytes()
		}
		return n
	}
	before, bytes, began := p.Counts(), sum(), time.Now()
	err := do()
	after := p.Counts()
	return sample{
		counts: store.Counts{Reads: after.Reads - before.Reads, Writes: after.Writes - before.Writes, Watches: after.Watches - before.Watches},
		bytes:  sum() - bytes,
		span:   time.Since(began),
		err:    err,
	}
}

// costPerChange subtracts the background traffic of the same duration and returns the cost of
// one change.
func (s sample) costPerChange(background sample) changeCost {
	share := s.span.Seconds() / background.span.Seconds()
	background.bytes = 0 // counted over all routers; the idle traffic of the proposer alone is negligible
	one := func(during, idle int64) float64 { return (float64(during) - share*float64(idle)) / changes }
	return changeCost{
		writes:  one(s.counts.Writes, background.counts.Writes),
		reads:   one(s.counts.Reads, background.counts.Reads),
		watches: one(s.counts.Watches, background.counts.Watches),
		bytes:   one(s.bytes, background.bytes),
		millis:  s.span.Seconds() * 1000 / changes,
	}
}

// startLocalRouter starts a router in this process, without logs and on free ports.
func startLocalRouter(p *standin.Platform, platform string, i int) (*router.Router, error) {
	s := settings.Default()
	s.Instance.ID, s.Instance.Domain = fmt.Sprintf("r%d", i), "local"
	s.Platform.URL = "http://" + platform
	s.Operator.KeyHash = operatorKeyHash()
	var err error
	if s.Listen.Callers, err = loopback.FreeAddr("127.0.0.1"); err != nil {
		return nil, err
	}
	if s.Listen.Peers, err = loopback.FreeAddr("127.0.0.1"); err != nil {
		return nil, err
	}
	p.SetInstance(membership.Member{ID: s.Instance.ID, Kind: "router", Addr: s.Listen.Peers, State: membership.Live})
	r, err := router.New(s, zap.NewNop())
	if err != nil {
		return nil, err
	}
	if err := r.Start(); err != nil {
		return nil, err
	}
	return r, waitFor(readyTimeout, r.Ready)
}
