package soak

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// Options are the parameters of a run.
type Options struct {
	Seed    uint64
	Length  time.Duration
	Routers int
	Servers int
	// Brittle gives servers little room, and makes them brittle at times.
	Brittle bool
	// Batches adds batches of requests that use up a large budget, and a kill of the router that holds most of it.
	Batches bool
	// Refusals adds a time in which servers refuse most requests and all routers are killed together in series.
	Refusals bool
	// Parts has requests with a fatal part in their prompts sent at a rate that is drawn, while all routers are killed together in
	// series, in place of all other faults and of poison requests at random times.
	Parts bool
	// Freezes sends requests at a fixed rate, while servers fail most of them and some freeze, in place of all other faults.
	Freezes bool
	// Releases has servers replaced by ones of other software versions, while all routers are killed together in series,
	// or restarted in turn, some stand still and the store fails, in place of all other faults.
	Releases bool
	// Processes bounds the processes of a run, including this one.
	Processes int
}

// Summary is the result of a run. Faults, endings and answers are counted by kind.
type Summary struct {
	Seed            uint64            `json:"seed"`
	Seconds         float64           `json:"seconds"`
	Requests        int               `json:"requests"`
	Answers         map[string]int    `json:"answers"`
	Faults          map[Fault]int     `json:"faults"`
	Endings         map[Ending]int    `json:"endings"`
	TokensHandedOut map[string]int64  `json:"tokens_handed_out"`
	TokensIssued    map[string]int64  `json:"tokens_issued"`
	Checked         map[Guarantee]int `json:"checked"`
	// CutOff and Reaching count the tries during partitions of routers from all servers.
	CutOff   Tries `json:"cut_off"`
	Reaching Tries `json:"reaching"`
	// Streams counts the streams at several software versions.
	Streams StreamCounts `json:"streams"`
	// Releases counts the tries of a run with releases.
	Releases       *ReleaseCounts `json:"releases,omitempty"`
	ViolationCount int            `json:"breaches"`
	Violations     []Violation    `json:"broken,omitempty"`
	Logs           string         `json:"logs,omitempty"`
}

// The errors of a run.
var (
	// ErrViolation reports that a guarantee was violated.
	ErrViolation = errors.New("a promise is broken")
	// ErrInconclusive reports that no request was served completely or no fault occurred.
	ErrInconclusive = errors.New("the run served nothing or had no fault, and shows nothing")
	// ErrTooManyProcesses reports that the run needs more processes than it may have.
	ErrTooManyProcesses = errors.New("too many processes")
)

const (
	// callerCount is the number of concurrent callers.
	callerCount = 12
	// auditInterval is the time between two audits of the issued tokens.
	auditInterval = 200 * time.Millisecond
	// shutdownAllowance is how long child processes may run beyond the run's length. It covers
	// pending changes, the final stops and a busy machine.
	shutdownAllowance = time.Minute
	// maxReported bounds the violations listed in a summary.
	maxReported = 20
)

// Run executes one run. Canceling the context ends the run early.
func Run(ctx context.Context, o Options) (Summary, error) {
	if o.Routers+1 > o.Processes {
		return Summary{}, fmt.Errorf("%w: %d routers and this one, of %d", ErrTooManyProcesses, o.Routers, o.Processes)
	}
	dir, err := os.MkdirTemp("", "gaplink-soak-")
	if err != nil {
		return Summary{}, err
	}
	oracle, counters := NewOracle(time.Now(), DefaultBounds()), newRunCounters()
	oracle.SetRouters(o.Routers)
	oracle.SetAllLives(o.Parts)
	oracle.SetReleases(o.Releases)
	runCtx, cancel := context.WithTimeout(ctx, o.Length+shutdownAllowance)
	defer cancel()
	err = runFleet(runCtx, o, dir, oracle, counters)
	s := summarize(o, dir, oracle, counters)
	switch {
	case err != nil:
	case s.ViolationCount > 0:
		err = ErrViolation
	case len(s.Faults) == 0 && !o.Parts || s.Answers["200 complete"] == 0:
		err = ErrInconclusive
	default:
		s.Logs = ""
		_ = os.RemoveAll(dir) // best effort
	}
	return s, err
}

// runFleet starts a fleet, injects faults under load and stops the fleet.
func runFleet(ctx context.Context, o Options, dir string, oracle *Oracle, counters *runCounters) error {
	kinds := requestKinds
	callers := callerCount
	switch {
	case o.Freezes:
		kinds = freezeKinds
	case o.Releases:
		kinds, callers = releaseKinds, releaseCallers
	}
	f, err := newFleet(oracle, counters, o.Batches, kinds)
	if err != nil {
		return err
	}
	defer f.close()
	defer f.stop()
	if err := f.start(ctx, o, dir); err != nil {
		return err
	}
	loadCtx, stopLoad := context.WithTimeout(ctx, o.Length)
	defer stopLoad()
	var workers sync.WaitGroup
	for i := range callers {
		c := newCaller(i, o.Seed, f.routers, oracle, counters)
		c.kinds = kinds
		if o.Refusals {
			c.thinkTime = meanLightThinkTime
		}
		workers.Go(func() {
			switch {
			case o.Freezes:
				c.runOpen(loadCtx, openRate/callerCount)
			case o.Releases:
				c.runReleases(loadCtx)
			default:
				c.run(loadCtx)
			}
		})
	}
	workers.Add(1)
	go func() {
		defer workers.Done()
		f.auditUntilDone(loadCtx)
	}()
	episodes, steps := PoisonEpisodes(o.Seed, o.Length), Schedule(o.Seed, o.Length, o.Routers, o.Servers)
	if o.Parts {
		period := DrawPartPeriod(o.Seed, o.Length)
		episodes, steps = []PoisonEpisode{period.Episode}, nil
		workers.Go(func() { f.killAllAt(loadCtx, time.Now(), period.Kills) })
	}
	if o.Freezes {
		episodes, steps = nil, nil
		workers.Go(func() { f.runFreezes(loadCtx, DrawFreezePeriod(o.Seed, o.Length, o.Servers)) })
	}
	if o.Releases {
		episodes, steps = nil, Releases(o.Seed, o.Length, o.Routers, o.Servers)
	}
	workers.Go(func() { f.runEpisodes(loadCtx, o.Seed, episodes) })
	if o.Brittle {
		workers.Add(1)
		go func() {
			defer workers.Done()
			f.runBrittlePeriods(loadCtx, BrittlePeriods(o.Seed, o.Length))
		}()
	}
	if o.Refusals {
		workers.Go(func() { f.runRefusals(loadCtx, DrawRefusalPeriod(o.Seed, o.Length)) })
	}
	if o.Batches {
		steps = calmBefore(o.Length/2, steps)
		workers.Go(func() { f.runBatches(loadCtx, o.Seed, Batches(o.Seed, o.Length)) })
	}
	f.runSchedule(loadCtx, steps)
	workers.Wait()
	f.stop()
	oracle.CheckCutOff(time.Now())
	oracle.CheckStreamsGoOn(time.Now())
	return errors.Join(f.err(), f.audit(), ctx.Err())
}

func (f *fleet) auditUntilDone(ctx context.Context) {
	for ; ctx.Err() == nil; time.Sleep(auditInterval) {
		if err := f.audit(); err != nil {
			f.fail(err)
			return
		}
	}
}

func summarize(o Options, dir string, oracle *Oracle, counters *runCounters) Summary {
	violations := oracle.Violations()
	cutOff, reaching := oracle.Partitions()
	var releases *ReleaseCounts
	if o.Releases {
		c := oracle.Releases()
		releases = &c
	}
	counters.mu.Lock()
	defer counters.mu.Unlock()
	return Summary{
		Seed: o.Seed, Seconds: o.Length.Seconds(), Requests: counters.requests, Answers: counters.answers, Faults: counters.faults,
		Endings: counters.endings, TokensHandedOut: oracle.HandedOut(), TokensIssued: counters.issuedTokens, Checked: oracle.Checked(), CutOff: cutOff, Reaching: reaching, Streams: oracle.Streams(), Releases: releases, ViolationCount: len(violations), Violations: violations[:min(len(violations), maxReported)], Logs: dir,
	}
}
