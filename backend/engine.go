package backend

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gaplink/gaplink/engine"
)

// Engine is a stand-in for a model engine. It implements http.Handler.
type Engine struct {
	*base
	mux           *http.ServeMux
	tokenInterval time.Duration // between tokens
}

// NewEngine returns an engine that waits pause before each token.
func NewEngine(pause time.Duration) *Engine {
	e := &Engine{base: newBase(), mux: http.NewServeMux(), tokenInterval: pause}
	e.routes(e.mux)
	e.mux.HandleFunc("POST /v1/chat/completions", e.chat)
	e.mux.HandleFunc("POST /v1/cancel", e.cancel)
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

type chatBody struct {
	Messages []struct {
		Content string `json:"content"`
	} `json:"messages"`
	MaxTokens int64 `json:"max_tokens"`
}

// prompt returns the first message.
func (b chatBody) prompt() string {
	if len(b.Messages) == 0 {
		return ""
	}
	return b.Messages[0].Content
}

// Answer returns the text that an engine generates for a prompt and max_tokens, and its
// number of tokens, so that a load generator can verify a response.
func Answer(prompt string, maxTokens int64) (text string, tokens int64) {
	h := xxhash.Sum64String(prompt)
	tokens = 1 + int64(h%uint64(maxTokens))
	var b strings.Builder
	for i := range tokens {
		b.WriteString(word(h, i))
	}
	return b.String(), tokens
}

func word(h uint64, i int64) string {
	return fmt.Sprintf("%x.%d ", h&0xffff, i)
}

// Nonce returns the load generator's request identifier, the first word of a text.
func Nonce(text string) string {
	nonce, _, _ := strings.Cut(text, " ")
	return nonce
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	var req chatBody
	if err := json.Unmarshal(body, &req); err != nil || req.MaxTokens < 1 {
		http.Error(w, "bad request", http.StatusBadRequest)
		return
	}
	attempt := r.Header.Get(engine.HeaderAttempt)
	run, fault := e.begin(attempt, Nonce(req.prompt()))
	e.setStatusHeaders(w)
	if fault == Refuse {
		w.Header().Set(engine.HeaderNotAccepted, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.end()
	if fault == Stall {
		<-r.Context().Done()
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(engine.HeaderAttempt, attempt)
	if fault == Unframed {
		disableFraming(w)
	}
	e.generate(w, r, run, req, fault)
}

func (b *base) setStatusHeaders(w http.ResponseWriter) {
	load, leaving := b.state()
	w.Header().Set(engine.HeaderLoad, strconv.Itoa(load))
	w.Header().Set(engine.HeaderLeaving, strconv.FormatBool(leaving))
}

// disableFraming disables the response framing, so that only the closed connection ends the
// body.
func disableFraming(w http.ResponseWriter) {
	w.Header().Set("Transfer-Encoding", "identity")
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request, run *Run, req chatBody, fault Fault) {
	h := xxhash.Sum64String(req.prompt())
	_, tokens := Answer(req.prompt(), req.MaxTokens)
	if fault == Excess {
		tokens = req.MaxTokens + 5
	}
	id := run.Attempt
	if fault == Foreign {
		id = "someone-else.1"
	}
	for i := range tokens {
		if fault == Garbage && i == tokens/2 {
			_, _ = io.WriteString(w, "data: {garbage\n\n")
		}
		if fault == Cut && i == tokens/2 {
			panic(http.ErrAbortHandler)
		}
		if (fault == Early || fault == Unframed) && i == tokens/2 {
			return
		}
		if !e.waitToken(r) || !e.countToken(run) {
			return
		}
		writeEvent(w, id, word(h, i), "", 0)
	}
	writeEvent(w, id, "", "stop", tokens)
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

// waitToken waits for the time of one token. It returns false if the caller has disconnected.
func (e *Engine) waitToken(r *http.Request) bool {
	if e.tokenInterval <= 0 {
		return r.Context().Err() == nil
	}
	timer := time.NewTimer(e.tokenInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func writeEvent(w http.ResponseWriter, id, content, finish string, tokens int64) {
	usage := "null"
	if tokens > 0 {
		usage = fmt.Sprintf(`{"completion_tokens":%d}`, tokens)
	}
	reason := "null"
	if finish != "" {
		reason = strconv.Quote(finish)
	}
	_, _ = fmt.Fprintf(w, "data: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{\"content\":%q},\"finish_reason\":%s}],\"usage\":%s}\n\n", id, content, reason, usage)
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}

// cancel cancels a run and returns the number of tokens served.
func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	run, ok := e.byAttempt[r.Header.Get(engine.HeaderAttempt)]
	var served int64
	if ok {
		run.cancelled = true
		served = run.Tokens
	}
	e.mu.Unlock()
	if !ok {
		http.Error(w, "unknown attempt", http.StatusNotFound)
		return
	}
	writeJSON(w, map[string]int64{"completion_tokens": served})
}
