package forward

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/gaplink/gaplink/engine"
	"github.com/gaplink/gaplink/filter"
	"github.com/gaplink/gaplink/result"
)

// relay forwards a model's response to the caller.
type relay struct {
	x           *filter.Exchange
	choices     map[int]*choiceState
	finalEvents [][]byte // final events, buffered until the billing record is written
}

// choiceState is the state of one choice of the response.
type choiceState struct {
	text   strings.Builder // for a non-streamed response
	finish string
}

func newRelay(x *filter.Exchange) *relay {
	return &relay{x: x, choices: map[int]*choiceState{}}
}

// handleEvent processes one event: it forwards or buffers the event for a streamed
// response, and accumulates its text otherwise.
func (r *relay) handleEvent(c engine.Chunk) error {
	for _, p := range c.Deltas {
		r.accumulate(p)
	}
	if !r.x.Stream {
		return nil
	}
	if len(r.finalEvents) > 0 || r.finished() {
		r.finalEvents = append(r.finalEvents, c.Data)
		return nil
	}
	return r.write(c.Data)
}

func (r *relay) accumulate(p engine.ChoiceDelta) {
	g := r.choices[p.Choice]
	if g == nil {
		g = &choiceState{}
		r.choices[p.Choice] = g
	}
	if p.FinishReason != "" {
		g.finish = p.FinishReason
	}
	if !r.x.Stream {
		g.text.WriteString(p.Content)
	}
}

// finished reports whether the response has begun and each choice has a finish reason.
func (r *relay) finished() bool {
	for _, g := range r.choices {
		if g.finish == "" {
			return false
		}
	}
	return len(r.choices) > 0
}

func (r *relay) write(data []byte) error {
	w := r.x.W
	if !r.x.ResponseStarted {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Cache-Control", "no-cache")
		w.Header().Set(filter.HeaderRequestID, r.x.ID)
		r.x.ResponseStarted = true
	}
	if err := writeEvent(w, data); err != nil {
		return err
	}
	flush(w)
	return nil
}

func writeEvent(w interface{ Write([]byte) (int, error) }, data []byte) error {
	event := make([]byte, 0, len(data)+len("data: \n\n"))
	event = append(event, "data: "...)
	event = append(event, data...)
	event = append(event, "\n\n"...)
	_, err := w.Write(event)
	return err
}

// finish sends the buffered events, or the complete non-streamed response.
func (r *relay) finish(tokens int64) error {
	if !r.x.Stream {
		return r.finishCompletion(tokens)
	}
	for _, data := range r.finalEvents {
		if err := r.write(data); err != nil {
			return result.New(result.CallerGone, "").Wrap(err)
		}
	}
	if err := r.write([]byte("[DONE]")); err != nil {
		return result.New(result.CallerGone, "").Wrap(err)
	}
	return nil
}

// completion is the JSON body of a non-streamed chat completion.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   usage    `json:"usage"`
}

type choice struct {
	Index        int         `json:"index"`
	Message      chatMessage `json:"message"`
	FinishReason string      `json:"finish_reason"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type usage struct {
	CompletionTokens int64 `json:"completion_tokens"`
}

func (r *relay) finishCompletion(tokens int64) error {
	response := completion{ID: r.x.ID, Object: "chat.completion", Model: r.x.Target, Usage: usage{CompletionTokens: tokens}}
	for _, index := range slices.Sorted(maps.Keys(r.choices)) {
		g := r.choices[index]
		response.Choices = append(response.Choices, choice{
			Index:        index,
			Message:      chatMessage{Role: "assistant", Content: g.text.String()},
			FinishReason: g.finish,
		})
	}
	body, err := json.Marshal(response)
	if err != nil {
		return err
	}
	return writeResponse(r.x, "application/json", body)
}
