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

// job is one request of the load, with what must come of it.
type job struct {
	nonce         string
	account, key  string
	budget        string
	maxTokens     int64
	stream        bool
	notRepeatable bool // a lookup of the plain service
}

// end is how a job ended for its caller.
type end string

const (
	answered end = "answered"
	refused  end = "refused"   // certainly not run
	unknown  end = "unknown"   // a not-repeatable request without an outcome
	gaveUp   end = "gave up"   // tries used up
	failed   end = "failed"    // a final error after dispatch
	wrong    end = "wrong"     // answered with something else
	waitMore end = "try again" // not an end
)

// outcome is a job's end and what the sender saw on the way.
type outcome struct {
	job         job
	end         end
	code        result.Code
	tokens      int64
	tries       int
	cutStreams  int  // answers that began and were broken off
	falseEnds   int  // answers framed as whole that lack their end
	onDead      int  // of these, at a router that was being killed
	refusedOnly bool // every try was refused as not run
	// noBudget is set for a refusal for want of budget, and margin is what the
	// sender's books then had left beyond the job's worst case.
	noBudget bool
	margin   int64
	booked   int64 // tokens that the sender knows to be spent for the job
}

// loadSpec describes a seeded load.
type loadSpec struct {
	requests int
	workers  int
	seed     uint64
	routers  []string            // caller addresses
	keys     map[string]string   // by account
	budgets  map[string][]string // by account
	// killed tells whether a router's streams may be cut by an injected kill.
	killed func(addr string) bool
}

// sender sends a load and keeps its own books of each budget.
type sender struct {
	spec   loadSpec
	http   *http.Client
	limits map[string]int64

	mu       sync.Mutex
	spent    map[string]int64 // answered tokens, and worst cases of what ended unclearly
	inFlight map[string]int64 // worst cases
	wrongLog []string
}

const (
	maxTries    = 12
	triesPause  = 250 * time.Millisecond
	maxCap      = 40
	tryDeadline = 20 * time.Second
)

func newSender(spec loadSpec, limits map[string]int64) *sender {
	return &sender{
		spec:     spec,
		http:     &http.Client{Timeout: tryDeadline, Transport: &http.Transport{MaxIdleConnsPerHost: spec.workers}},
		limits:   limits,
		spent:    map[string]int64{},
		inFlight: map[string]int64{},
	}
}

// jobs makes a round's seeded list of requests: three in five streamed, one in
// five whole, one in five a lookup that runs at most once.
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

// send tries a job at one router after another until it has an end.
func (s *sender) send(j job, n int) outcome {
	o := outcome{job: j, refusedOnly: true}
	s.open(j)
	for o.tries = 1; o.tries <= maxTries; o.tries++ {
		addr := s.spec.routers[(n+o.tries)%len(s.spec.routers)]
		got := s.try(&o, addr)
		if got != waitMore {
			o.end = got
			s.close(j, o)
			return o
		}
		time.Sleep(triesPause)
	}
	o.end = gaveUp
	if o.refusedOnly {
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

// close books what the job cost: its tokens, or the worst case if it may
// have run without an answer.
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

// raise notes that a budget was topped up.
func (s *sender) raise(budget string, tokens int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits[budget] += tokens
}

// margin is what the budget has left beyond the job's worst case, by the
// sender's own books: others' worst cases in flight counted.
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

// try makes one try at one router.
func (s *sender) try(o *outcome, addr string) end {
	req, err := s.request(o.job, addr)
	if err != nil {
		return failed
	}
	resp, err := s.http.Do(req)
	if err != nil {
		if !strings.Contains(err.Error(), "connection refused") {
			o.refusedOnly = false
		}
		return waitMore
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return s.notOK(o, resp)
	}
	o.refusedOnly = false
	if o.job.stream && !o.job.notRepeatable {
		return s.readStream(o, resp, addr)
	}
	return s.readWhole(o, resp, addr)
}

// notOK reads a refusal or failure.
func (s *sender) notOK(o *outcome, resp *http.Response) end {
	code, _ := strconv.Atoi(resp.Header.Get(filter.HeaderCode))
	o.code = result.Code(code)
	if resp.Header.Get(filter.HeaderNotRun) != "true" {
		o.refusedOnly = false
	}
	switch o.code {
	case result.BudgetExhausted:
		o.noBudget = true
		o.margin = s.margin(o.job)
		return refused
	case result.OutcomeUnknown, result.AlreadyAnswered:
		return unknown
	case result.AlreadyRunning:
		return waitMore
	}
	if o.code.Info().HTTPStatus >= http.StatusInternalServerError {
		return waitMore
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

func (s *sender) readStream(o *outcome, resp *http.Response, addr string) end {
	text, done, err := readEvents(resp.Body)
	if done {
		return s.check(o, text)
	}
	if want, _ := backend.Answer(o.job.prompt(), o.job.maxTokens); !strings.HasPrefix(want, text) {
		return s.wrong(o, text, want)
	}
	if err == nil && framing.Proved(resp) { // it claims to be whole
		o.falseEnds++
		s.noteWrong("%s: framed as whole at %q, without an end marker", o.job.nonce, text)
	}
	s.noteCut(o, addr, int64(strings.Count(text, " ")))
	return waitMore
}

// readEvents reads a stream's text to the end of its body. done tells whether
// its end marker came, and err how the body ended.
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

// noteCut counts a cut stream; the tokens received so far are spent.
func (s *sender) noteCut(o *outcome, addr string, tokens int64) {
	s.mu.Lock()
	s.spent[o.job.budget] += tokens
	s.mu.Unlock()
	o.booked += tokens
	o.cutStreams++
	if s.spec.killed != nil && s.spec.killed(addr) {
		o.onDead++
	}
}

// wholeAnswer is the part of a whole chat answer that the sender reads.
type wholeAnswer struct {
	Choices []struct {
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
	} `json:"choices"`
}

func (s *sender) readWhole(o *outcome, resp *http.Response, addr string) end {
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		s.noteCut(o, addr, 0)
		return waitMore
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

// check compares the answer with what the backend server gives for the job.
func (s *sender) check(o *outcome, text string) end {
	want, tokens := backend.ServiceAnswer([]byte(o.job.prompt())), int64(0)
	if !o.job.notRepeatable {
		want, tokens = backend.Answer(o.job.prompt(), o.job.maxTokens)
	}
	if text != want {
		return s.wrong(o, text, want)
	}
	o.tokens = tokens
	o.booked += tokens
	return answered
}

// wrong ends a job whose answer is not what the backend server gives.
func (s *sender) wrong(o *outcome, got, want string) end {
	s.noteWrong("%s: got %q, want %q", o.job.nonce, got, want)
	return wrong
}

func (s *sender) noteWrong(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wrongLog = append(s.wrongLog, fmt.Sprintf(format, args...))
}
