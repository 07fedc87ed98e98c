package forward

import (
	"encoding/json"
	"strings"

	"github.com/gaplink/gaplink/engine"
	"github.com/gaplink/gaplink/filter"
	"github.com/gaplink/gaplink/result"
)

// relay passes a model's answer to the caller.
type relay struct {
	x      *filter.Exchange
	text   strings.Builder // for a caller that wants the answer whole
	tail   [][]byte        // finishing events, held back
	finish string
}

func newRelay(x *filter.Exchange) *relay {
	return &relay{x: x}
}

// pass takes one event.
func (r *relay) pass(c engine.Chunk) error {
	if c.Finish != "" {
		r.finish = c.Finish
	}
	if !r.x.Stream {
		r.text.WriteString(c.Content)
		return nil
	}
	if r.finish != "" {
		r.tail = append(r.tail, c.Data)
		return nil
	}
	return r.write(c.Data)
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
	body, err := json.Marshal(completion{
		ID:     r.x.ID,
		Object: "chat.completion",
		Model:  r.x.Target,
		Choices: []choice{{
			Message:      chatMessage{Role: "assistant", Content: r.text.String()},
			FinishReason: r.finish,
		}},
		Usage: usage{CompletionTokens: tokens},
	})
	if err != nil {
		return err
	}
	return writeWhole(r.x, "application/json", body)
}
