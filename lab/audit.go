package lab

import (
	"context"
	"slices"
	"time"

	"github.com/gaplink/gaplink/backend"
	"github.com/gaplink/gaplink/ledger"
	"github.com/gaplink/gaplink/store/httpstore"
)

// count adds the outcomes to the report.
func (d *demoRun) count(outcomes []outcome) {
	r := &d.report
	r.Requests = len(outcomes)
	for _, o := range outcomes {
		switch o.end {
		case answered:
			r.Answered++
		case refused:
			r.Refused++
		case unknown:
			r.Unknown++
		case wrong:
			r.WrongAnswers++
		case gaveUp:
			r.GaveUp++
			d.addNote("%s gave up, last code %d", o.job.nonce, o.code)
		default:
			r.Failed++
			d.addNote("%s failed, code %d", o.job.nonce, o.code)
		}
		r.Retried += o.tries - 1
		r.FalseEnds += o.falseEnds
		r.CutStreams += o.cutStreams - o.cutByKill
		r.CutByKill += o.cutByKill
	}
}

// audit compares the requests that the stand-ins served with the ledger and the budget limits.
func (d *demoRun) audit(outcomes []outcome, limits map[string]int64) error {
	counts, err := d.fleet.counts()
	if err != nil {
		return err
	}
	d.report.StoreReads, d.report.StoreWrites, d.report.StoreWatches = counts.Reads, counts.Writes, counts.Watches
	d.report.PeerBytes = d.fleet.relays.bytes.Load()
	if err := d.auditRuns(outcomes, limits); err != nil {
		return err
	}
	d.checkRevisions()
	return d.auditBills(outcomes)
}

// maxWorkAfterLeave is the time after a server began to leave from which it must get no new requests.
const maxWorkAfterLeave = 3 * time.Second

func (d *demoRun) auditRuns(outcomes []outcome, limits map[string]int64) error {
	jobs := map[string]outcome{}
	for _, o := range outcomes {
		jobs[o.job.nonce] = o
	}
	served := map[string]int64{}
	unattributed := map[string]int64{}
	for _, o := range outcomes {
		unattributed[o.job.budget] -= o.knownSpent
	}
	ran := map[string]int{}
	runs, err := d.allRuns()
	if err != nil {
		return err
	}
	for _, r := range runs {
		served[jobs[r.Nonce].job.budget] += r.Tokens
		unattributed[jobs[r.Nonce].job.budget] += r.Tokens
		ran[r.Nonce]++
		if r.AfterLeaving > maxWorkAfterLeave.Milliseconds() {
			d.report.LateToLeaving++
		}
	}
	for id, tokens := range served {
		d.report.ServedTokens += tokens
		d.report.Overspend += max(tokens-limits[id], 0)
	}
	for nonce, o := range jobs {
		if o.noBudget && o.margin >= unattributed[o.job.budget] {
			d.report.FalseRefusals++
		}
		if o.job.notRepeatable && ran[nonce] > 1 {
			d.report.RanTwice++
		}
		if o.allRefused && ran[nonce] > 0 {
			d.report.NotRunButRan++
			d.addNote("%s was refused as not run (code %d) and ran %d times", nonce, o.code, ran[nonce])
		}
	}
	return nil
}

// allRuns returns the runs of all backend servers, including killed ones.
func (d *demoRun) allRuns() ([]backend.Run, error) {
	all := slices.Clone(d.killedServerRuns)
	for _, p := range append(slices.Clone(d.fleet.engines), d.fleet.service) {
		runs, err := d.fleet.runs(p)
		if err != nil {
			return nil, err
		}
		all = append(all, runs...)
	}
	return all, nil
}

// billsTimeout is the maximum time until buffered bills reach the store.
const billsTimeout = 8 * time.Second

func (d *demoRun) auditBills(outcomes []outcome) error {
	var bills map[string]map[string]int
	settled := func() bool {
		var err error
		bills, err = d.bills()
		return err == nil && len(unbilled(outcomes, bills)) == 0
	}
	_ = waitFor(billsTimeout, settled)
	for _, nonce := range unbilled(outcomes, bills) {
		d.report.Unbilled++
		d.addNote("%s answered and not billed", nonce)
	}
	for _, attempts := range bills {
		for _, n := range attempts {
			if n > 1 {
				d.report.BilledTwice++
			}
		}
	}
	return nil
}

func unbilled(outcomes []outcome, bills map[string]map[string]int) []string {
	var missing []string
	for _, o := range outcomes {
		if o.end == answered && len(bills["k/"+o.job.account+"/"+o.job.nonce]) == 0 {
			missing = append(missing, o.job.nonce)
		}
	}
	return missing
}

// bills reads the ledger from the store and returns the number of bills of each
// attempt, by request and claim.
func (d *demoRun) bills() (map[string]map[string]int, error) {
	s := httpstore.New("http://"+d.fleet.platform.addr, 5*time.Second)
	objects, _, err := s.List(context.Background(), "ledger/")
	if err != nil {
		return nil, err
	}
	bills := map[string]map[string]int{}
	d.report.BilledTokens = 0
	for _, o := range objects {
		seg, err := ledger.DecodeSegment(o.Value)
		if err != nil {
			return nil, err
		}
		for _, b := range seg.Batches {
			for _, op := range b.Ops {
				if op.Kind != ledger.Bill {
					continue
				}
				if bills[op.Request] == nil {
					bills[op.Request] = map[string]int{}
				}
				bills[op.Request][op.Claim]++
				d.report.BilledTokens += op.Tokens
			}
		}
	}
	return bills, nil
}

// checkRevisions records a failure if the routers do not converge to the same revision
// after the load has ended.
func (d *demoRun) checkRevisions() {
	if waitFor(readyTimeout, d.sameRevision) != nil {
		d.report.TableReverted++
		d.addNote("routers ended at different revisions")
	}
}
