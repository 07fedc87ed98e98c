// Package decode parses and validates requests.
package decode

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gaplink/gaplink/filter"
	"github.com/gaplink/gaplink/result"
	"github.com/gaplink/gaplink/table"
)

const (
	// maxKeyBytes limits the length of an idempotency key.
	maxKeyBytes = 200
	// prefixBytes is the length of the prompt prefix that determines cache affinity.
	prefixBytes = 256
)

// Limits are the upper limits for a request.
type Limits struct {
	MaxBodyBytes int64
	MaxTokens    int64
	Deadline     time.Duration
}

// Config provides the configuration in force.
type Config interface {
	State() *table.State
}

type handler struct {
	next   filter.Handler
	config Config
	limits Limits
}

// New returns the filter.
func New(next filter.Handler, config Config, limits Limits) filter.Handler {
	return &handler{next: next, config: config, limits: limits}
}

// chatRequest is the part of a chat-completions request that gaplink reads.
type chatRequest struct {
	Model     string          `json:"model"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens *int64          `json:"max_tokens"`
	Stream    bool            `json:"stream"`
}

// Serve implements filter.Handler.
func (h *handler) Serve(ctx context.Context, x *filter.Exchange) error {
	deadline, err := h.deadline(x)
	if err != nil {
		return err
	}
	if err := h.readHeaders(x); err != nil {
		return err
	}
	if err := h.readBody(x); err != nil {
		return err
	}
	if x.Kind == table.Model {
		err = h.parseChat(x)
	} else {
		err = h.parseServicePath(x)
	}
	if err != nil {
		return err
	}
	x.Digest = digest(x)
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	return h.next.Serve(ctx, x)
}

func (h *handler) deadline(x *filter.Exchange) (time.Duration, error) {
	text := x.R.Header.Get(filter.HeaderDeadline)
	if text == "" {
		return h.limits.Deadline, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 1 {
		return 0, result.New(result.BadHeader, "%s must be a number of milliseconds above 0", filter.HeaderDeadline)
	}
	return min(time.Duration(ms)*time.Millisecond, h.limits.Deadline), nil
}

func (h *handler) readHeaders(x *filter.Exchange) error {
	x.IdempotencyKey = x.R.Header.Get(filter.HeaderKey)
	if len(x.IdempotencyKey) > maxKeyBytes {
		return result.New(result.BadHeader, "%s has more than %d bytes", filter.HeaderKey, maxKeyBytes)
	}
	switch text := x.R.Header.Get(filter.HeaderNotRepeatable); text {
	case "", "false":
	case "true":
		x.NotRepeatable = true
	default:
		return result.New(result.BadHeader, "%s must be true or false", filter.HeaderNotRepeatable)
	}
	if x.NotRepeatable && x.IdempotencyKey == "" {
		return result.New(result.MissingKey, "a not-repeatable request needs the header %s", filter.HeaderKey)
	}
	return h.resolveBudget(x)
}

func (h *handler) resolveBudget(x *filter.Exchange) error {
	x.Budget = x.R.Header.Get(filter.HeaderBudget)
	if x.Budget == "" {
		x.Budget = x.Account.Budget
	}
	if x.Budget == "" && x.Kind == table.Model {
		return result.New(result.UnknownBudget, "account %s has no default budget; send %s", x.Account.ID, filter.HeaderBudget)
	}
	if x.Budget != "" && !x.Account.Owns(x.Budget) {
		return result.New(result.BudgetNotOwned, "budget %s is not one of account %s", x.Budget, x.Account.ID)
	}
	return nil
}

func (h *handler) readBody(x *filter.Exchange) error {
	body, err := io.ReadAll(http.MaxBytesReader(x.W, x.R.Body, h.limits.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return result.New(result.BodyTooLarge, "the body is over %d bytes", h.limits.MaxBodyBytes)
	}
	if err != nil {
		return result.New(result.BadJSON, "the body could not be read").Wrap(err)
	}
	x.Body = body
	return nil
}

func (h *handler) parseChat(x *filter.Exchange) error {
	var req chatRequest
	if err := json.Unmarshal(x.Body, &req); err != nil {
		return result.New(result.BadJSON, "the body is not a chat-completions request: %v", err)
	}
	if !h.config.State().HasTarget(table.Model, req.Model) {
		return result.New(result.UnknownModel, "unknown model %q", req.Model)
	}
	if req.MaxTokens == nil || *req.MaxTokens < 1 || *req.MaxTokens > h.limits.MaxTokens {
		return result.New(result.BadTokenCap, "max_tokens must be set, in 1..%d", h.limits.MaxTokens)
	}
	x.Target = req.Model
	x.Stream = req.Stream
	x.MaxTokens = *req.MaxTokens
	x.PrefixHash = xxhash.Sum64(req.Messages[:min(len(req.Messages), prefixBytes)])
	return nil
}

// parseServicePath splits SERVICE/PATH and checks that the service exists.
func (h *handler) parseServicePath(x *filter.Exchange) error {
	x.Target, x.Path, _ = strings.Cut(x.Path, "/")
	if !h.config.State().HasTarget(table.Service, x.Target) {
		return result.New(result.UnknownService, "unknown service %q", x.Target)
	}
	return nil
}

// digest hashes the request, to detect an idempotency key that is used for two different
// requests.
func digest(x *filter.Exchange) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(string(x.Kind) + "\x00" + x.Target + "\x00" + x.Path + "\x00")
	_, _ = d.Write(x.Body)
	return d.Sum64()
}
