package lab

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gaplink/gaplink/backend"
	"github.com/gaplink/gaplink/filter"
	"github.com/gaplink/gaplink/framing"
	"github.com/gaplink/gaplink/result"
)

// job is one request of the load.
type job struct {
	nonce         string
	account, key  string
	budget        string
	maxTokens     int64
	stream        bool
	notRepeatable bool // a lookup at the plain service
}

// state is the final state of a job as seen by its caller, or tryAgain.
type state string

const (
	answered state = "answered"
	refused  state = "refused"   // guaranteed not to have run
	unknown  state = "unknown"   // a not-repeatable request with an unknown outcome
	gaveUp   state = "gave up"   // maximum number of tries reached
	failed   state = "failed"    // a final error after dispatch
	wrong    state = "wrong"     // answered with unexpected content
	tryAgain state = "try again" // not final: retry
)

// outcome is the final state of a job and what the sender observed until then.
type outcome struct {
	job        job
	end        state
	code       result.Code
	tokens     int64
	tries      int
	cutStreams int  // answers that were cut off after their start
	falseEnds  int  // truncated answers with framing that marks them as complete
	cutByKill  int  // of cutStreams, those at a router whose streams may be cut
	allRefused bool // every try was refused as not run
	// noBudget is set if the request was refused because of its budget. margin is what
	// the budget then had left beyond the job's worst case, by the sender's records.
	noBudget   bool
	margin     int64
	knownSpent int64 // tokens known to have been spent on the job
}

// loadSpec describes a seeded load.
type loadSpec struct {
	requests int
	workers  int
	seed     uint64
	routers  []string            // caller addresses
	keys     map[string]string   // by account
	budgets  map[string][]string // by account
	// mayCut reports whether streams of a router may be cut because of an injected fault.
	mayCut func(addr string) bool
}

// sender sends a load and keeps its own record of the tokens of each budget.
type sender struct {
	spec   loadSpec
	http   *http.Client
	limits map[string]int64

	mu           sync.Mutex
	spent        map[string]int64 // tokens of answers, and worst cases of requests with an unknown outcome
	inFlight     map[string]int64 // worst cases of requests in flight
	wrongAnswers []string
}

const (
	maxTries   = 12
	retryDelay = 250 * time.Millisecond
	maxCap     = 40
	tryTimeout = 20 * time.Second
)

func newSender(spec loadSpec, limits map[string]int64) *sender {
	return &sender{
		spec:     spec,
		http:     &http.Client{Timeout: tryTimeout, Transport: framing.Transport{Transport: &http.Transport{MaxIdleConnsPerHost: spec.workers}}},
		limits:   limits,
		spent:    map[string]int64{},
		inFlight: map[string]int64{},
	}
}

// jobs returns the seeded requests of a round: three in five are streamed, one in
// five is not, and one in five is a lookup that must run at most once.
func (s *sender) jobs(round int) []job {
	rng := rand.New(rand.NewPCG(s.spec.seed, 7+uint64(round)))
	accounts := sortedKeys(s.spec.keys)
	jobs := make([]job, s.spec.requests)
	for i := range jobs {
		account := accounts[rng.IntN(len(accounts))]
		budgets := s.spec.budgets[account]
		kind := rng.IntN(5)
		jobs[i] = job{
			nonce:         fmt.Sprintf("n%d-%d", s.spec.seed, round*s.spec.requests+i),
			account:       account,
			key:           s.spec.keys[account],
			budget:        budgets[rng.IntN(len(budgets))],
			maxTokens:     1 + rng.Int64N(maxCap),
			stream:        kind < 3,
			notRepeatable: kind == 4,
		}
	}
	return jobs
}

// run sends all jobs and returns their outcomes in the order of the jobs.
func (s *sender) run(jobs []job) []outcome {
	outcomes := make([]outcome, len(jobs))
	next := make(chan int)
	var wg sync.WaitGroup
	for range s.spec.workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range next {
				outcomes[i] = s.send(jobs[i], i)
			}
		}()
	}
	for i := range jobs {
		next <- i
	}
	close(next)
	wg.Wait()
	return outcomes
}

// send tries a job at one router after the other until it reaches a final state.
func (s *sender) send(j job, n int) outcome {
	o := outcome{job: j, allRefused: true}
	s.open(j)
	for o.tries = 1; o.tries <= maxTries; o.tries++ {
		addr := s.spec.routers[(n+o.tries)%len(s.spec.routers)]
		got := s.try(&o, addr)
		if got != tryAgain {
			o.end = got
			s.close(j, o)
			return o
		}
		time.Sleep(retryDelay)
	}
	o.end = gaveUp
	if o.allRefused {
		o.end = refused
		o.noBudget = o.code == result.BudgetUnreachable
		o.margin = s.margin(j)
	}
	s.close(j, o)
	return o
}

func (s *sender) open(j job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight[j.budget] += j.maxTokens
}

// close records the cost of the job: its tokens, or the worst case if it may have run
// without an answer.
func (s *sender) close(j job, o outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight[j.budget] -= j.maxTokens
	switch {
	case j.notRepeatable || o.end == refused:
	case o.end == answered:
		s.spent[j.budget] += o.tokens
	default:
		s.spent[j.budget] += j.maxTokens
	}
}

// topUp records a top-up of a budget.
func (s *sender) topUp(budget string, tokens int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits[budget] += tokens
}

// margin returns what the budget has left beyond the job's worst case, by the sender's
// own records. The worst cases of other requests in flight are deducted.
func (s *sender) margin(j job) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	others := s.inFlight[j.budget] - j.maxTokens
	return s.limits[j.budget] - s.spent[j.budget] - others - j.maxTokens
}

func (s *sender) request(j job, addr string) (*http.Request, error) {
	url := "http://" + addr + "/v1/chat/completions"
	body, err := json.Marshal(map[string]any{
		"model": "tagger", "max_tokens": j.maxTokens, "stream": j.stream,
		"messages": []map[string]string{{"role": "user", "content": j.prompt()}},
	})
	if err != nil {
		return nil, err
	}
	if j.notRepeatable {
		url = "http://" + addr + "/v1/services/lookup/status"
		body = []byte(j.prompt())
	}
	req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+j.key)
	req.Header.Set(filter.HeaderBudget, j.budget)
	req.Header.Set(filter.HeaderKey, j.nonce)
	if j.notRepeatable {
		req.Header.Set(filter.HeaderNotRepeatable, "true")
	}
	return req, nil
}

func (j job) prompt() string { return j.nonce + " review the dossier" }

// try sends the request to one router once.
func (s *sender) try(o *outcome, addr string) state {
	req, err := s.request(o.job, addr)
	if err != nil {
		return failed
	}
	resp, err := s.http.Do(req)
	if err != nil {
		if !strings.Contains(err.Error(), "connection refused") {
			o.allRefused = false
		}
		return tryAgain
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return s.notOK(o, resp)
	}
	o.allRefused = false
	if o.job.stream && !o.job.notRepeatable {
		return s.readStream(o, resp, addr)
	}
	return s.readWhole(o, resp, addr)
}

// notOK classifies a response with a status other than 200.
func (s *sender) notOK(o *outcome, resp *http.Response) state {
	code, _ := strconv.Atoi(resp.Header.Get(filter.HeaderCode))
	o.code = result.Code(code)
	if resp.Header.Get(filter.HeaderNotRun) != "true" {
		o.allRefused = false
	}
	switch o.code {
	case result.BudgetExhausted:
		o.noBudget = true
		o.margin = s.margin(o.job)
		return refused
	case result.OutcomeUnknown, result.AlreadyAnswered:
		return unknown
	case result.AlreadyRunning:
		return tryAgain
	}
	if o.code.Info().HTTPStatus >= http.StatusInternalServerError {
		return tryAgain
	}
	return failed
}

// streamEvent is the part of an event that the sender reads.
type streamEvent struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

func (s *sender) readStream(o *outcome, resp *http.Response, addr string) state {
	text, done, err := readEvents(resp.Body)
	if done {
		return s.check(o, text)
	}
	if want, _ := backend.Answer(o.job.prompt(), o.job.maxTokens); !strings.HasPrefix(want, text) {
		return s.wrong(o, text, want)
	}
	if err == nil && framing.Delimited(resp) { // the framing marks it as complete
		o.falseEnds++
		s.recordWrong("%s: framed as whole at %q, without an end marker", o.job.nonce, text)
	}
	s.recordCut(o, addr, int64(strings.Count(text, " ")))
	return tryAgain
}

// readEvents reads the text of a stream until the end of the body. done reports whether
// the end marker arrived; err is the error that ended the body, if any.
func readEvents(body io.Reader) (text string, done bool, err error) {
	var b strings.Builder
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		var ev streamEvent
		if json.Unmarshal([]byte(data), &ev) == nil && len(ev.Choices) > 0 {
			b.WriteString(ev.Choices[0].Delta.Content)
		}
	}
	return b.String(), done, lines.Err()
}

// recordCut counts a cut stream. The tokens received so far have been spent.
func (s *sender) recordCut(o *outcome, addr string, tokens int64) {
	s.mu.Lock()
	s.spent[o.job.budget] += tokens
	s.mu.Unlock()
	o.knownSpent += tokens
	o.cutStreams++
	if s.spec.mayCut != nil && s.spec.mayCut(addr) {
		o.cutByKill++
	}
}

// wholeAnswer is the part of an unstreamed chat answer that the sender reads.
type wholeAnswer struct {
	Choices []struct {
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
	} `json:"choices"`
}

func (s *sender) readWhole(o *outcome, resp *http.Response, addr string) state {
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		s.recordCut(o, addr, 0)
		return tryAgain
	}
	if o.job.notRepeatable {
		return s.check(o, string(body))
	}
	var answer wholeAnswer
	if json.Unmarshal(body, &answer) != nil || len(answer.Choices) == 0 {
		return s.wrong(o, string(body), "a chat answer")
	}
	return s.check(o, answer.Choices[0].Message.Content)
}

// check compares the answer with the expected answer of the backend server.
func (s *sender) check(o *outcome, text string) state {
	want, tokens := backend.ServiceAnswer([]byte(o.job.prompt())), int64(0)
	if !o.job.notRepeatable {
		want, tokens = backend.Answer(o.job.prompt(), o.job.maxTokens)
	}
	if text != want {
		return s.wrong(o, text, want)
	}
	o.tokens = tokens
	o.knownSpent += tokens
	return answered
}

// wrong records an unexpected answer.
func (s *sender) wrong(o *outcome, got, want string) state {
	s.recordWrong("%s: got %q, want %q", o.job.nonce, got, want)
	return wrong
}

func (s *sender) recordWrong(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wrongAnswers = append(s.wrongAnswers, fmt.Sprintf(format, args...))
}
