package soak

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/gaplink/gaplink/platform/standin"
)

// PoisonEpisode is a period in which a caller repeatedly sends a poison request, which crashes each
// server that starts to run it, to random routers.
type PoisonEpisode struct {
	At, Duration time.Duration
	kind         requestKind
	// body is the body that all attempts share. If part is set they share a part of their prompts instead,
	// and body names it.
	body string
	part bool
	// first is set if the fatal part is the first of a prompt.
	first bool
	// interval is the time between two attempts.
	interval time.Duration
}

const (
	// meanEpisodeInterval is the mean time between the starts of two episodes; minEpisode and
	// maxEpisode bound the duration of one.
	meanEpisodeInterval = 15 * time.Second
	minEpisode          = 6 * time.Second
	maxEpisode          = 14 * time.Second
	// poisonInterval is the time between two attempts of an episode that is drawn with others.
	poisonInterval = 300 * time.Millisecond
	// crashDelay is the time from the start of a poison request to the crash of its server, and
	// restartDelay is how long the server's address is down after the crash.
	crashDelay   = 30 * time.Millisecond
	restartDelay = time.Second
)

// PoisonEpisodes draws the episodes of a run.
func PoisonEpisodes(seed uint64, length time.Duration) []PoisonEpisode {
	rng := rand.New(rand.NewPCG(seed, 0))
	var list []PoisonEpisode
	for at := quietMargin; at < length-quietMargin; at += time.Duration(rng.ExpFloat64() * float64(meanEpisodeInterval)) {
		e := PoisonEpisode{
			At:       at,
			Duration: minEpisode + time.Duration(rng.Int64N(int64(maxEpisode-minEpisode))),
			kind:     requestKinds[rng.IntN(len(requestKinds))],
			body:     fmt.Sprintf("poison %d of %d", len(list), seed),
			interval: poisonInterval,
		}
		e.part, e.first = e.kind.stream && rng.IntN(2) == 0, rng.IntN(2) == 0
		list = append(list, e)
	}
	return list
}

// poisonCaller is the caller of an episode.
type poisonCaller struct {
	caller
	episode PoisonEpisode
}

// runEpisodes sends the requests of all episodes at their times.
func (f *fleet) runEpisodes(ctx context.Context, seed uint64, list []PoisonEpisode) {
	start := time.Now()
	var running sync.WaitGroup
	for i, e := range list {
		p := &poisonCaller{*newCaller(callerCount+i, seed, f.routers, f.oracle, f.counters), e}
		running.Add(1)
		go func() {
			defer running.Done()
			p.run(ctx, start)
		}()
	}
	running.Wait()
}

// run sends attempts at a fixed interval without waiting for answers.
func (p *poisonCaller) run(ctx context.Context, start time.Time) {
	defer p.client.CloseIdleConnections()
	var pending sync.WaitGroup
	defer pending.Wait()
	begin := start.Add(p.episode.At)
	for n := 0; ; n++ {
		at := begin.Add(time.Duration(n) * p.episode.interval)
		if at.Sub(begin) > p.episode.Duration {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(at)):
		}
		t := p.draw(n)
		pending.Add(1)
		go func() {
			defer pending.Done()
			p.send(t)
		}()
	}
}

func (p *poisonCaller) draw(n int) plannedRequest {
	s := p.episode.kind
	account := accounts[0]
	id := fmt.Sprintf("%s, %d", p.episode.body, n)
	t := plannedRequest{router: p.routers[p.rng.IntN(len(p.routers))]}
	t.call = standin.Call{Path: "/" + s.route.Name + "/x", ID: id, Key: account.key(), Body: p.episode.body, Deadline: deadline}
	t.request = Request{ID: id, Once: s.runsOnce(), Account: account.name, Deadline: deadline, Poison: p.episode.body}
	if s.stream {
		t.request.Events, t.request.TokensIn, t.request.EventTokens = maxEvents, promptTokens, eventTokens
		t.call.TokensIn, t.call.MaxTokensOut = promptTokens, maxEvents*eventTokens
		t.call.Prefix = soundPrompt(id)
	}
	if p.episode.part {
		t.request.Part = true
		t.call.Body, t.call.Prefix = "body of "+id, fatalPrompt(id, p.episode)
	}
	return t
}

// soundPrompt returns the parts of a sound prompt: two that are shared by all, and its own.
func soundPrompt(id string) string { return "system:5,task:5," + partID(id) + ":10" }

// fatalPrompt returns the parts of a prompt of an episode with a fatal part, which has one part in common with
// sound ones.
func fatalPrompt(id string, e PoisonEpisode) string {
	if e.first {
		return partID(e.body) + ":5,task:5," + partID(id) + ":10"
	}
	return "system:5," + partID(e.body) + ":5," + partID(id) + ":10"
}

// partID returns the id of a part for a text.
func partID(text string) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text)) // never fails
	return strconv.FormatUint(h.Sum64(), 16)
}

// crashUnder crashes the server with the given id, which has started to run a poison request.
func (p *serverSlot) crashUnder(id, body string) {
	time.Sleep(crashDelay)
	p.crashServer(id, func() { p.oracle.CrashedUnder(body, time.Now()) }, restartDelay)
}
