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

// relay passes a model's answer to the caller.
type relay struct {
	x       *filter.Exchange
	choices map[int]*gathered
	tail    [][]byte // finishing events, held back
}

// gathered is what came of one choice.
type gathered struct {
	text   strings.Builder // for a caller that wants the answer whole
	finish string
}

func newRelay(x *filter.Exchange) *relay {
	return &relay{x: x, choices: map[int]*gathered{}}
}

// pass takes one event.
func (r *relay) pass(c engine.Chunk) error {
	for _, p := range c.Parts {
		r.gather(p)
	}
	if !r.x.Stream {
		return nil
	}
	if len(r.tail) > 0 || r.finished() {
		r.tail = append(r.tail, c.Data)
		return nil
	}
	return r.write(c.Data)
}

func (r *relay) gather(p engine.Part) {
	g := r.choices[p.Choice]
	if g == nil {
		g = &gathered{}
		r.choices[p.Choice] = g
	}
	if p.Finish != "" {
		g.finish = p.Finish
	}
	if !r.x.Stream {
		g.text.WriteString(p.Content)
	}
}

// finished tells whether the answer has begun and each choice has its finish
// reason.
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
	if !r.x.Answered {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Cache-Control", "no-cache")
		w.Header().Set(filter.HeaderRequestID, r.x.ID)
		r.x.Answered = true
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

// end sends what was held back.
func (r *relay) end(tokens int64) error {
	if !r.x.Stream {
		return r.endWhole(tokens)
	}
	for _, data := range r.tail {
		if err := r.write(data); err != nil {
			return result.New(result.CallerGone, "").Wrap(err)
		}
	}
	if err := r.write([]byte("[DONE]")); err != nil {
		return result.New(result.CallerGone, "").Wrap(err)
	}
	return nil
}

// completion is the usual shape of a whole chat answer.
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

func (r *relay) endWhole(tokens int64) error {
	whole := completion{ID: r.x.ID, Object: "chat.completion", Model: r.x.Target, Usage: usage{CompletionTokens: tokens}}
	for _, index := range slices.Sorted(maps.Keys(r.choices)) {
		g := r.choices[index]
		whole.Choices = append(whole.Choices, choice{
			Index:        index,
			Message:      chatMessage{Role: "assistant", Content: g.text.String()},
			FinishReason: g.finish,
		})
	}
	body, err := json.Marshal(whole)
	if err != nil {
		return err
	}
	return writeWhole(r.x, "application/json", body)
}
