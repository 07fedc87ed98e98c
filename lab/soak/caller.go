package soak

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gaplink/gaplink/framing"
	"github.com/gaplink/gaplink/platform/standin"
	"github.com/gaplink/gaplink/result"
	"github.com/gaplink/gaplink/sockets"
)

const (
	// eventTokens and promptTokens are the numbers of tokens of an event and of a prompt.
	eventTokens  = 5
	promptTokens = 20
	// maxEvents bounds the events of a stream.
	maxEvents = 12
	// deadline is the deadline that callers send, and answerMargin is how much longer they wait for
	// an answer.
	deadline     = 2500 * time.Millisecond
	answerMargin = 2 * time.Second
	// meanThinkTime is the mean pause of a caller between two requests. It is meanLightThinkTime in runs whose traffic
	// is small against the slack of the retry limits.
	meanThinkTime      = 25 * time.Millisecond
	meanLightThinkTime = 400 * time.Millisecond
	// cancelProbability is the probability that a caller cancels a request early, and
	// resumeProbability that a request for a resumable stream starts in the middle.
	cancelProbability = 0.03
	resumeProbability = 0.1
	// maxTakeUps bounds how often a caller takes up a stream.
	maxTakeUps = 3
	// markerProbability is the probability that a request uses a key or route of a recent
	// configuration version.
	markerProbability = 0.15
)

// requestKind is a route together with whether its answer is a stream.
type requestKind struct {
	route  standin.Route
	stream bool
	// deadline is the deadline that callers send; 0 means deadline.
	deadline time.Duration
}

// requestKinds are the kinds of requests to the routes that every configuration version has.
var requestKinds = []requestKind{
	{route: standin.Route{Name: "stream", Type: standin.Streaming, Attempts: 2, Resume: true}, stream: true},
	{route: standin.Route{Name: "once-stream", Type: standin.Streaming, Attempts: 1}, stream: true},
	{route: standin.Route{Name: "safe", Type: standin.Repeatable, Attempts: 2}, stream: false},
	{route: standin.Route{Name: "once", Type: standin.Once, Attempts: 1}, stream: false},
}

// runsOnce reports whether a request may be executed at most once.
func (s requestKind) runsOnce() bool {
	return s.route.Type == standin.Once || s.stream && !s.route.Resume
}

// caller sends requests one after another over persistent connections to all routers.
type caller struct {
	number   int
	rng      *rand.Rand
	client   *http.Client
	routers  []*router
	oracle   *Oracle
	counters *runCounters
	seed     uint64
	// kinds are the kinds of requests.
	kinds []requestKind
	// thinkTime is the mean pause between two requests.
	thinkTime time.Duration
}

func newCaller(number int, seed uint64, routers []*router, o *Oracle, t *runCounters) *caller {
	return &caller{
		number: number, rng: rand.New(rand.NewPCG(seed, uint64(number)+2)), routers: routers, oracle: o, counters: t, seed: seed, kinds: requestKinds, thinkTime: meanThinkTime,
		client: &http.Client{Transport: framing.Transport{Transport: &http.Transport{DialContext: dial, DisableCompression: true, MaxIdleConnsPerHost: 1}}},
	}
}

// dial opens a connection on which a reset differs from an orderly close also if a write gets it.
func dial(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return sockets.NewTCPConn(c), nil
}

// run sends requests until the context ends.
func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		t := c.draw(n)
		c.takeUp(t, c.send(t))
		time.Sleep(time.Duration(c.rng.ExpFloat64() * float64(c.thinkTime)))
	}
}

// plannedRequest is a request with the router it goes to and the time of its cancellation.
type plannedRequest struct {
	request Request
	call    standin.Call
	router  *router
	// cancelAfter is how long the caller waits before it cancels the request; 0 means never.
	cancelAfter time.Duration
}

func (c *caller) draw(n int) plannedRequest {
	s := c.kinds[c.rng.IntN(len(c.kinds))]
	t := plannedRequest{router: c.routers[c.rng.IntN(len(c.routers))]}
	id := fmt.Sprintf("%d.%d.%d", c.seed, c.number, n)
	account := accounts[c.rng.IntN(len(accounts))]
	within := cmp.Or(s.deadline, deadline)
	t.call = standin.Call{Path: "/" + s.route.Name + "/x", ID: id, Key: account.key(), Body: "body of " + id, Deadline: within}
	t.request = Request{ID: id, Service: s.route.ServiceName(), Once: s.runsOnce(), Account: account.name, Deadline: within}
	if s.stream {
		c.drawStream(&t, s.route.Resume)
	}
	if c.rng.Float64() < cancelProbability {
		t.cancelAfter = time.Duration(c.rng.Int64N(int64(maxEvents * maxPause)))
	}
	if latest := c.oracle.Latest(); c.rng.Float64() < markerProbability {
		c.useMarker(&t, max(latest-c.rng.Int64N(3), 1))
	}
	return t
}

func (c *caller) drawStream(t *plannedRequest, resume bool) {
	t.request.Events = 1 + c.rng.IntN(maxEvents)
	t.request.TokensIn, t.request.EventTokens = promptTokens, eventTokens
	t.call.TokensIn, t.call.MaxTokensOut = promptTokens, int64(t.request.Events)*eventTokens
	t.call.Prefix = soundPrompt(t.request.ID)
	if resume && c.rng.Float64() < resumeProbability {
		t.request.From = c.rng.IntN(t.request.Events)
		t.call.LastEvent = strconv.Itoa(t.request.From)
	}
}

// useMarker makes the request use the key or route that the given configuration version introduced.
// Both belong to an account with ample budget.
func (c *caller) useMarker(t *plannedRequest, version int64) {
	t.request.Marker = version
	t.request.Account = accounts[0].name
	t.call.Key = accounts[0].key()
	if c.rng.IntN(2) == 0 {
		t.call.Key = markerKey(version)
		return
	}
	t.call.Path = "/" + markerRoute(version).Name + "/x"
	t.request.Service = standin.Service
	t.request.Once = false
	t.request.Events, t.request.From = 0, 0
	t.request.TokensIn, t.request.EventTokens = 0, 0
	t.call.TokensIn, t.call.MaxTokensOut, t.call.LastEvent = 0, 0, ""
}

func (c *caller) send(t plannedRequest) Answer {
	wait := t.request.Deadline + answerMargin
	if t.cancelAfter > 0 {
		wait = t.cancelAfter
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	t.request.Process = t.router.process()
	t.request.Sent = time.Now()
	c.oracle.Sent(t.request)
	a := c.exchange(ctx, t)
	a.At = time.Now()
	a.Canceled = t.cancelAfter > 0 && ctx.Err() != nil
	c.oracle.Answered(t.request.ID, a)
	c.counters.countAnswer(a)
	return a
}

// takeUp takes up a stream that was cut, at any router, until it is whole or nothing arrives any more.
func (c *caller) takeUp(t plannedRequest, a Answer) {
	first := t.request.ID
	for n := 1; n <= maxTakeUps; n++ {
		last := lastEvent(a.Body)
		if !c.mayTakeUp(t, a) || last <= t.request.From || last >= t.request.Events {
			return
		}
		t.router = c.routers[c.rng.IntN(len(c.routers))]
		t.cancelAfter = 0
		t.request.ID, t.call.ID = fmt.Sprint(first, ".", n), fmt.Sprint(first, ".", n)
		t.request.FirstTry, t.call.Resumes = first, first
		t.request.From, t.call.LastEvent = last, strconv.Itoa(last)
		a = c.send(t)
	}
}

// mayTakeUp reports whether a caller may take up the stream of a request. One that began in the middle has
// no first event that could be named.
func (c *caller) mayTakeUp(t plannedRequest, a Answer) bool {
	streams := t.request.Events > 0 && !t.request.Once && t.request.Marker == 0
	return streams && a.Signed && a.Claim == Cut && (t.request.From == 0 || t.request.FirstTry != "")
}

// lastEvent returns the id of the last whole event in a body; 0 if there is none.
func lastEvent(body string) (last int) {
	events := strings.Split(body, "\n\n")
	for _, event := range events[:len(events)-1] {
		for _, line := range strings.Split(event, "\n") {
			if text, named := strings.CutPrefix(line, "id: "); named {
				last, _ = strconv.Atoi(text) // servers send numbers
			}
		}
	}
	return last
}

// codeHeader carries the result code of an answer that a router generates. heldBackCode is the code for a poison
// request that is held back, and unknownCode that for a stream that is refused since its version is not known, or has no
// server in use.
const codeHeader = "Gaplink-Code"

var (
	heldBackCode = strconv.Itoa(int(result.HeldBack))
	unknownCode  = strconv.Itoa(int(result.VersionUnavailable))
)

// maxAnswerBytes bounds how much of an answer is read.
const maxAnswerBytes = 1 << 20

func (c *caller) exchange(ctx context.Context, t plannedRequest) Answer {
	r, err := t.call.Request(ctx, t.router.settings.Listen.Callers)
	if err != nil {
		return Answer{}
	}
	resp, err := c.client.Do(r)
	if err != nil {
		return Answer{} // no response header arrived
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	return Answer{
		Status: resp.StatusCode, Claim: claimOf(resp, err), Body: string(body),
		Signed: standin.Signed(resp.Header), ID: standin.AnswersTo(resp.Header), HeldBack: resp.Header.Get(codeHeader) == heldBackCode,
		Unknown: resp.Header.Get(codeHeader) == unknownCode,
	}
}

// claimOf returns what an answer claims about its completeness.
func claimOf(resp *http.Response, err error) Claim {
	switch {
	case err != nil:
		return Cut
	case !framing.Delimited(resp):
		return Unframed
	default:
		return Complete
	}
}
