package lab

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/gaplink/gaplink/admin"
	"github.com/gaplink/gaplink/backend"
	"github.com/gaplink/gaplink/membership"
	"github.com/gaplink/gaplink/store/standin"
	"github.com/gaplink/gaplink/table"
	"github.com/gaplink/gaplink/wait"
)

// errFailed makes a command exit with code 1 after it has printed its report.
var errFailed = errors.New("a figure that must be 0 is not")

// Report is the JSON line that the demo prints. All counts come from the stand-ins
// and the load sender.
type Report struct {
	Requests      int   `json:"requests"`
	Answered      int   `json:"answered"`
	Refused       int   `json:"refused"`
	Unknown       int   `json:"unknown"`
	GaveUp        int   `json:"gave_up"`
	Failed        int   `json:"failed"`
	Overspend     int64 `json:"overspend_tokens"`
	FalseRefusals int   `json:"false_refusals"`
	BilledTwice   int   `json:"billed_twice"`
	Unbilled      int   `json:"unbilled"`
	RanTwice      int   `json:"ran_twice"`
	NotRunButRan  int   `json:"not_run_but_ran"`
	WrongAnswers  int   `json:"wrong_answers"`
	FalseEnds     int   `json:"false_ends"`
	FaultsMissed  int   `json:"faults_missed"`
	CutStreams    int   `json:"cut_streams"`
	CutByKill     int   `json:"cut_by_kill"`
	LateToLeaving int   `json:"late_to_leaving"`
	TableReverted int   `json:"table_reverted"`
	RaceWinners   int   `json:"race_winners"`
	RaceLosers    int   `json:"race_losers"`
	Retried       int   `json:"caller_retries"`
	StoreReads    int64 `json:"store_reads"`
	StoreWrites   int64 `json:"store_writes"`
	StoreWatches  int64 `json:"store_watches"`
	PeerBytes     int64 `json:"peer_bytes"`
	ServedTokens  int64 `json:"served_tokens"`
	BilledTokens  int64 `json:"billed_tokens"`
	Millis        int64 `json:"millis"`
}

// mustBeZero returns the figures that must be 0 for exit code 0, by JSON name.
func (r *Report) mustBeZero() map[string]int64 {
	return map[string]int64{
		"overspend_tokens": r.Overspend,
		"billed_twice":     int64(r.BilledTwice),
		"unbilled":         int64(r.Unbilled),
		"ran_twice":        int64(r.RanTwice),
		"not_run_but_ran":  int64(r.NotRunButRan),
		"wrong_answers":    int64(r.WrongAnswers),
		"false_ends":       int64(r.FalseEnds),
		"faults_missed":    int64(r.FaultsMissed),
		"cut_streams":      int64(r.CutStreams),
		"late_to_leaving":  int64(r.LateToLeaving),
		"table_reverted":   int64(r.TableReverted),
		"gave_up":          int64(r.GaveUp),
		"failed":           int64(r.Failed),
	}
}

type demoOptions struct {
	requests, workers, routers, engines int
	seed                                uint64
	faults                              string
	keep                                bool
}

func demoCommand() *cobra.Command {
	var o demoOptions
	cmd := &cobra.Command{
		Use: "demo", Short: "Run a fleet of processes under a seeded load and faults", Args: cobra.NoArgs,
		Example: "  gaplink-lab demo --faults kill,freeze,outage,cut,race,drain",
		RunE:    func(cmd *cobra.Command, _ []string) error { return demo(cmd.OutOrStdout(), o) },
	}
	cmd.Flags().IntVar(&o.requests, "requests", 900, "requests to send")
	cmd.Flags().IntVar(&o.workers, "workers", 24, "requests in flight")
	cmd.Flags().IntVar(&o.routers, "routers", 3, "routers")
	cmd.Flags().IntVar(&o.engines, "engines", 4, "model backend servers")
	cmd.Flags().Uint64Var(&o.seed, "seed", 1, "decides the load")
	cmd.Flags().StringVar(&o.faults, "faults", "", "comma-separated: kill, freeze, outage, cut, race, drain, lost, short, engine")
	cmd.Flags().BoolVar(&o.keep, "keep", false, "keep the directory with settings and logs")
	return cmd
}

// demoAccounts returns the client accounts. The budget "tagging" runs out, the others
// do not.
func demoAccounts() []accountSpec {
	return []accountSpec{
		{ID: "tsukushi", Budgets: map[string]int64{"reviews": 100000, "tagging": 2000}},
		{ID: "vladescu", Budgets: map[string]int64{"readings": 100000}},
	}
}

func demo(out io.Writer, o demoOptions) error {
	dir, err := os.MkdirTemp("", "gaplink-demo")
	if err != nil {
		return err
	}
	if !o.keep {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	f := newFleet(dir)
	defer f.stopAll()
	if err := f.startAll(o.routers, o.engines, o.seed); err != nil {
		return fmt.Errorf("start: %w", err)
	}
	d := &demoRun{fleet: f, options: o, killed: map[string]bool{}}
	report, err := d.run()
	if err != nil {
		return err
	}
	line, err := json.Marshal(report)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintln(out, string(line))
	return d.checkReport(out, report)
}

// demoRun is the state of one run of the demo command.
type demoRun struct {
	fleet   *fleet
	options demoOptions
	report  Report
	sender  *sender

	mu     sync.Mutex
	killed map[string]bool // caller addresses of killed routers
	notes  []string

	// killedServerRuns are the runs of killed backend servers.
	killedServerRuns []backend.Run
}

func (d *demoRun) addNote(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.notes = append(d.notes, fmt.Sprintf(format, args...))
}

func (d *demoRun) checkReport(out io.Writer, r *Report) error {
	var bad []string
	for name, v := range r.mustBeZero() {
		if v != 0 {
			bad = append(bad, fmt.Sprintf("%s=%d", name, v))
		}
	}
	if len(bad) == 0 {
		return nil
	}
	sort.Strings(bad)
	for _, n := range d.notes {
		_, _ = fmt.Fprintln(out, "note:", n)
	}
	if d.options.keep {
		_, _ = fmt.Fprintln(out, "logs:", d.fleet.dir)
	}
	return fmt.Errorf("%w: %s", errFailed, strings.Join(bad, ", "))
}

func (d *demoRun) run() (*Report, error) {
	accounts := demoAccounts()
	op := newOperator("setup", d.fleet.routers[0].settings.Listen.Peers)
	keys, err := op.setUp(accounts, d.fleet.pools())
	if err != nil {
		return nil, fmt.Errorf("set up: %w", err)
	}
	if err := waitFor(readyTimeout, func() bool { return d.sameRevision() }); err != nil {
		return nil, err
	}
	s := newSender(d.loadSpec(accounts, keys), limitsOf(accounts))
	d.sender = s
	began := time.Now()
	outcomes := d.load(s)
	d.report.Millis = time.Since(began).Milliseconds()
	for _, w := range s.wrongAnswers {
		d.addNote("%s", w)
	}
	d.count(outcomes)
	return &d.report, d.audit(outcomes, s.limits)
}

// load sends the requests in rounds until all faults have been injected, and lasts for a
// minute plus one round at most.
func (d *demoRun) load(s *sender) []outcome {
	ctx, cancel := context.WithTimeout(context.Background(), faultsTimeout)
	defer cancel()
	injected := make(chan struct{})
	go func() {
		defer close(injected)
		d.inject(ctx)
	}()
	var outcomes []outcome
	for round := 0; ; round++ {
		outcomes = append(outcomes, s.run(s.jobs(round))...)
		select {
		case <-injected:
			return outcomes
		default:
		}
	}
}

// faultsTimeout is the maximum time for the injection of all faults.
const faultsTimeout = time.Minute

func limitsOf(accounts []accountSpec) map[string]int64 {
	limits := map[string]int64{}
	for _, a := range accounts {
		for id, limit := range a.Budgets {
			limits[id] = limit
		}
	}
	return limits
}

func (d *demoRun) loadSpec(accounts []accountSpec, keys map[string]string) loadSpec {
	spec := loadSpec{
		requests: d.options.requests,
		workers:  d.options.workers,
		seed:     d.options.seed,
		keys:     keys,
		budgets:  map[string][]string{},
		mayCut:   d.wasKilled,
	}
	for _, r := range d.fleet.routers {
		spec.routers = append(spec.routers, r.settings.Listen.Callers)
	}
	for _, a := range accounts {
		spec.budgets[a.ID] = sortedKeys(a.Budgets)
	}
	return spec
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

func (d *demoRun) wasKilled(addr string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.killed[addr]
}

// revision returns the configuration revision in force at a router, and whether the
// router answered.
func (d *demoRun) revision(r *routerNode) (int64, bool) {
	var h struct {
		Revision int64 `json:"revision"`
	}
	err := d.fleet.get(r.settings.Listen.Callers, "/healthz", &h)
	return h.Revision, err == nil
}

func (d *demoRun) sameRevision() bool {
	first, ok := d.revision(d.fleet.routers[0])
	for _, r := range d.fleet.routers {
		rev, answered := d.revision(r)
		ok = ok && answered && rev == first
	}
	return ok
}

// inject injects the selected faults one after the other while the load runs.
func (d *demoRun) inject(ctx context.Context) {
	for _, name := range strings.Split(d.options.faults, ",") {
		if name == "" {
			continue
		}
		if wait.For(ctx, faultInterval) != nil {
			d.recordMissedFault(name, errLoadEnded)
			continue
		}
		if err := d.fault(ctx, name); err != nil {
			d.recordMissedFault(name, err)
		}
	}
}

// faultInterval is the pause before each fault.
const faultInterval = 300 * time.Millisecond

// errLoadEnded is the reason of a fault that was not injected in time.
var errLoadEnded = errors.New("the load had ended")

// recordMissedFault counts a fault that was not injected as requested. A demo run with fewer faults
// than requested must not pass.
func (d *demoRun) recordMissedFault(name string, err error) {
	d.addNote("fault %s: %v", name, err)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.report.FaultsMissed++
}

func (d *demoRun) fault(ctx context.Context, name string) error {
	last := d.fleet.routers[len(d.fleet.routers)-1]
	switch name {
	case "kill":
		return d.kill(ctx, last)
	case "freeze":
		last.process.signal(syscall.SIGSTOP)
		_ = wait.For(ctx, 4*time.Second)
		last.process.signal(syscall.SIGCONT)
		return nil
	case "outage":
		return d.during(ctx, standin.Faults{Outage: true}, 3*time.Second)
	case "lost":
		return d.during(ctx, standin.Faults{LoseAnswers: 0.3, DelayMillis: 5}, 3*time.Second)
	case "cut":
		return d.partition(ctx)
	case "race":
		return d.race()
	case "drain":
		return d.drain(ctx, last)
	case "short":
		return d.truncateAnswers(ctx)
	case "engine":
		return d.killEngine()
	default:
		return fmt.Errorf("unknown fault")
	}
}

func (d *demoRun) during(ctx context.Context, faults standin.Faults, span time.Duration) error {
	if err := d.fleet.faults(faults); err != nil {
		return err
	}
	_ = wait.For(ctx, span)
	return d.fleet.faults(standin.Faults{})
}

// kill ends a router with open streams and restarts it.
func (d *demoRun) kill(ctx context.Context, r *routerNode) error {
	d.mu.Lock()
	d.killed[r.settings.Listen.Callers] = true
	d.mu.Unlock()
	r.process.end()
	_ = wait.For(ctx, time.Second)
	return d.fleet.startRouter(r)
}

// partition partitions the first router from the others while a budget is topped up.
func (d *demoRun) partition(ctx context.Context) error {
	routers := d.fleet.routers
	alone := host(routers[0].settings.Listen.Peers)
	for _, r := range routers[1:] {
		d.fleet.relays.setCut(alone, host(r.settings.Listen.Peers), true)
	}
	_ = wait.For(ctx, time.Second)
	err := d.topUp(routers[1])
	_ = wait.For(ctx, 2*time.Second)
	for _, r := range routers[1:] {
		d.fleet.relays.setCut(alone, host(r.settings.Listen.Peers), false)
	}
	return err
}

// topUpTokens is the number of tokens added to the small budget during a network partition.
const topUpTokens = 300

// topUp raises the small budget through a router on one side of the partition. The
// sender learns the new limit only after the store has it, so that it does not count
// earlier refusals as false.
func (d *demoRun) topUp(r *routerNode) error {
	op := newOperator("topup", r.settings.Listen.Peers)
	if err := op.do(admin.BudgetTopUp, admin.BudgetArgs{ID: "tagging", Tokens: topUpTokens}, nil); err != nil {
		return err
	}
	d.sender.topUp("tagging", topUpTokens)
	return nil
}

// race lets two operators edit the same row concurrently through two routers.
func (d *demoRun) race() error {
	st := newOperator("look", d.fleet.routers[0].settings.Listen.Peers)
	const row = "*/tagger/new"
	for round := range 5 {
		var rows []table.RowRevision
		if err := st.do(admin.TableGet, struct{}{}, &rows); err != nil {
			return err
		}
		expect := revisionOf(rows, row)
		d.raceOnce(row, expect, round)
	}
	return nil
}

func revisionOf(rows []table.RowRevision, name string) int64 {
	for _, r := range rows {
		if r.Name() == name {
			return r.Revision
		}
	}
	return 0
}

func (d *demoRun) raceOnce(row string, expect int64, round int) {
	var wg sync.WaitGroup
	for i := range 2 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			op := newOperator(fmt.Sprintf("op%d", i), d.fleet.routers[i%len(d.fleet.routers)].settings.Listen.Peers)
			args := admin.TableSetArgs{Row: row, Assignments: []string{fmt.Sprintf("weight=%d", 10+10*round+i)}, Expect: &expect}
			err := op.do(admin.TableSet, args, nil)
			d.mu.Lock()
			defer d.mu.Unlock()
			if err == nil {
				d.report.RaceWinners++
			} else {
				d.report.RaceLosers++
			}
		}()
	}
	wg.Wait()
}

// drain lets a backend server leave, and gracefully restarts a router.
func (d *demoRun) drain(ctx context.Context, r *routerNode) error {
	leaving := d.fleet.engines[len(d.fleet.engines)-1]
	if err := d.fleet.putTo(leaving.addr, "/standin/leave", struct{}{}); err != nil {
		return err
	}
	if err := d.fleet.list(r, membership.Leaving); err != nil {
		return err
	}
	r.process.signal(syscall.SIGTERM)
	<-r.process.done
	_ = wait.For(ctx, 200*time.Millisecond)
	return d.fleet.startRouter(r)
}

// One in truncateEvery answers of the backend servers is truncated. truncateFor is the
// duration of each kind of truncation.
const (
	truncateEvery = 5
	truncateFor   = 700 * time.Millisecond
)

// truncateAnswers lets the backend servers truncate some answers: by closing the connection,
// without framing, and with framing that marks the answer as complete.
func (d *demoRun) truncateAnswers(ctx context.Context) error {
	d.permitCuts()
	for _, kind := range []backend.Fault{backend.Cut, backend.Unframed, backend.Early} {
		if err := d.setFaults(backend.Faults{Kind: kind, Every: truncateEvery}); err != nil {
			return err
		}
		_ = wait.For(ctx, truncateFor)
	}
	return d.setFaults(backend.Faults{})
}

func (d *demoRun) setFaults(f backend.Faults) error {
	for _, p := range append(slices.Clone(d.fleet.engines), d.fleet.service) {
		if err := d.fleet.putTo(p.addr, "/standin/faults", f); err != nil {
			return err
		}
	}
	return nil
}

// permitCuts permits cut streams at every router from now on. A router cannot complete
// a stream that had begun when its backend server failed; the caller retries.
func (d *demoRun) permitCuts() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range d.fleet.routers {
		d.killed[r.settings.Listen.Callers] = true
	}
}

// killEngine kills a model backend server with open streams. It reads the server's runs
// just before, since no other process has this record.
func (d *demoRun) killEngine() error {
	d.permitCuts()
	last := d.fleet.engines[len(d.fleet.engines)-1]
	runs, err := d.fleet.runs(last)
	if err != nil {
		return err
	}
	d.killedServerRuns = append(d.killedServerRuns, runs...)
	last.end()
	d.fleet.engines = d.fleet.engines[:len(d.fleet.engines)-1]
	return nil
}
