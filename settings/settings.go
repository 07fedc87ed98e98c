// Package settings reads and validates a router's static settings (TOML).
//
// Decoding is strict: an unknown key, a wrong type or a value out of range is an error
// that names the file, line and key and the allowed values.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/pelletier/go-toml/v2"

	"github.com/gaplink/gaplink/result"
)

// Duration is a time span in the syntax of time.ParseDuration, such as "150ms" or "10s".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a time span such as \"150ms\" or \"10s\"", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Settings holds all static settings of a router.
type Settings struct {
	Instance Instance `toml:"instance"`
	Listen   Listen   `toml:"listen"`
	Platform Platform `toml:"platform"`
	Budgets  Budgets  `toml:"budgets"`
	Ledger   Ledger   `toml:"ledger"`
	Requests Requests `toml:"requests"`
	Table    Table    `toml:"table"`
	Operator Operator `toml:"operator"`
	Log      Log      `toml:"log"`
}

// Instance identifies the process and its location.
type Instance struct {
	// ID is the instance's name in the platform's list.
	ID string `toml:"id" validate:"required"`
	// Domain is its failure domain.
	Domain string `toml:"domain" validate:"required"`
	// FenceAfter is how long another router must be unresponsive before this one
	// declares it dead, fences it and reclaims its tokens.
	FenceAfter Duration `toml:"fence_after" validate:"min=1000000"`
}

// Listen holds the addresses that the process binds, as IP:port.
type Listen struct {
	// Callers is the address for callers.
	Callers string `toml:"callers" validate:"required,hostname_port"`
	// Peers is the address for other routers and gaplinkctl.
	Peers string `toml:"peers" validate:"required,hostname_port"`
}

// Platform configures the access to the platform's API.
type Platform struct {
	// URL is the base URL, such as "http://10.0.0.1:9000".
	URL string `toml:"url" validate:"required,http_url"`
	// Timeout limits one call.
	Timeout Duration `toml:"timeout" validate:"min=1000000"`
	// ListEvery is the interval between reads of the instance list.
	ListEvery Duration `toml:"list_every" validate:"min=1000000"`
}

// Budgets holds the settings of the token budgets.
type Budgets struct {
	// Pages is the number of store objects that hold the budgets. It must be the same
	// on all instances.
	Pages int `toml:"pages" validate:"min=1,max=4096"`
	// Hold is the amount of tokens that a budget's owner holds ahead, as a time at
	// current demand. A longer time bridges longer store outages (fewer false
	// refusals); a shorter one strands fewer tokens when an owner crashes.
	Hold Duration `toml:"hold" validate:"min=100000000"`
	// EntryHold is the amount that an entry router holds ahead, also as a time.
	EntryHold Duration `toml:"entry_hold" validate:"min=10000000"`
}

// Ledger holds the settings of claims and billing records.
type Ledger struct {
	// Shards is the number of ledger shards. It must be the same on all instances.
	Shards int `toml:"shards" validate:"min=1,max=999"`
	// Spacing is the minimum time between two commits of a shard.
	Spacing Duration `toml:"spacing" validate:"min=1000000"`
	// Linger is how long a billing record may wait to be batched with others.
	Linger Duration `toml:"linger" validate:"min=1000000"`
	// Retention is how long the key of a finished request is kept.
	Retention Duration `toml:"retention" validate:"min=1000000000"`
}

// Requests holds the limits on a request.
type Requests struct {
	// MaxBodyBytes limits the size of the body.
	MaxBodyBytes int64 `toml:"max_body_bytes" validate:"min=1024,max=104857600"`
	// MaxTokens limits max_tokens.
	MaxTokens int64 `toml:"max_tokens" validate:"min=1"`
	// Deadline is the deadline of requests that name none.
	Deadline Duration `toml:"deadline" validate:"min=1000000"`
	// Attempts limits the attempts of one request.
	Attempts int `toml:"attempts" validate:"min=1,max=10"`
	// RetryRatio is the fleet's retry budget for a target as a fraction of the requests for it, and RetrySlack the
	// number of retries beyond it within RetryWindow. A process has no part of the slack for so long after its start,
	// since an earlier one may have used it.
	RetryRatio  float64  `toml:"retry_ratio" validate:"min=0,max=1"`
	RetrySlack  float64  `toml:"retry_slack" validate:"min=0"`
	RetryWindow Duration `toml:"retry_window" validate:"min=0"`
	// LeaveGrace is how long a router that is shutting down still accepts new work,
	// until the load balancer has noticed.
	LeaveGrace Duration `toml:"leave_grace" validate:"min=0"`
}

// Table holds the settings of configuration changes.
type Table struct {
	// DecideWithin is how long an acknowledged change may stay undecided before new
	// work on its rows is blocked.
	DecideWithin Duration `toml:"decide_within" validate:"min=1000000"`
	// AckWithin is how long the proposer waits for acknowledgements.
	AckWithin Duration `toml:"ack_within" validate:"min=1000000"`
}

// Operator configures who may change the configuration.
type Operator struct {
	// KeyHash is the SHA-256 hash (hex) of the operators' key.
	KeyHash string `toml:"key_hash" validate:"required,len=64,hexadecimal"`
}

// Log holds the settings of the logs.
type Log struct {
	// Level is the lowest severity that is logged.
	Level string `toml:"level" validate:"oneof=debug info warn error"`
}

// Default returns the default settings of a router.
func Default() Settings {
	return Settings{
		Instance: Instance{FenceAfter: Duration(10 * time.Second)},
		Platform: Platform{Timeout: Duration(time.Second), ListEvery: Duration(2 * time.Second)},
		Budgets:  Budgets{Pages: 16, Hold: Duration(10 * time.Second), EntryHold: Duration(time.Second)},
		Ledger: Ledger{
			Shards:    2,
			Spacing:   Duration(20 * time.Millisecond),
			Linger:    Duration(80 * time.Millisecond),
			Retention: Duration(time.Hour),
		},
		Requests: Requests{
			MaxBodyBytes: 1 << 20,
			MaxTokens:    32768,
			Deadline:     Duration(2 * time.Minute),
			Attempts:     3,
			RetryRatio:   0.2,
			RetrySlack:   50,
			RetryWindow:  Duration(10 * time.Second),
			LeaveGrace:   Duration(2 * time.Second),
		},
		Table: Table{DecideWithin: Duration(3 * time.Second), AckWithin: Duration(2 * time.Second)},
		Log:   Log{Level: "info"},
	}
}

// Load reads and validates a settings file.
func Load(path string) (Settings, error) {
	return load(path, Default())
}

// Parse decodes and validates settings; errors contain name.
func Parse(name string, text []byte) (Settings, error) {
	return parse(name, text, Default())
}

// load reads a file; keys that it lacks keep their default.
func load[T any](path string, defaults T) (T, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return defaults, result.New(result.BadSettings, "%v", err)
	}
	return parse(path, text, defaults)
}

// parse decodes and validates text; keys that it lacks keep their value in s.
func parse[T any](name string, text []byte, s T) (T, error) {
	dec := toml.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return s, decodeError(name, err)
	}
	v := validator.New(validator.WithRequiredStructEnabled())
	if err := v.Struct(&s); err != nil {
		return s, validationError(name, text, err)
	}
	return s, nil
}

func decodeError(name string, err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
		first := unknown.Errors[0]
		line, _ := first.Position()
		return result.New(result.BadSettings, "%s: line %d: unknown key %s", name, line, strings.Join(first.Key(), "."))
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		line, _ := decodeErr.Position()
		return result.New(result.BadSettings, "%s: line %d: key %s: %v", name, line, strings.Join(decodeErr.Key(), "."), decodeErr)
	}
	return result.New(result.BadSettings, "%s: %v", name, err)
}

func validationError(name string, text []byte, err error) error {
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) || len(fields) == 0 {
		return result.New(result.BadSettings, "%s: %v", name, err)
	}
	section, key := tomlKey(fields[0].StructNamespace())
	line := lineOf(text, section, key)
	position := "missing"
	if line > 0 {
		position = fmt.Sprintf("line %d", line)
	}
	return result.New(result.BadSettings, "%s: %s: key %s.%s: %s", name, position, section, key, violation(fields[0]))
}

// violation describes the validation rule that a field violates.
func violation(f validator.FieldError) string {
	switch f.Tag() {
	case "required":
		return "must be set"
	case "min":
		if d, ok := f.Value().(Duration); ok {
			return fmt.Sprintf("%s is too short", d.Std())
		}
		return fmt.Sprintf("%v is below %s", f.Value(), f.Param())
	case "max":
		return fmt.Sprintf("%v is above %s", f.Value(), f.Param())
	case "oneof":
		return fmt.Sprintf("%v is not one of: %s", f.Value(), f.Param())
	case "len", "hexadecimal":
		return "must be 64 hex digits (a SHA-256 hash)"
	case "hostname_port":
		return fmt.Sprintf("%q is not IP:port", f.Value())
	default:
		return fmt.Sprintf("%v is not allowed (%s)", f.Value(), f.Tag())
	}
}

// tomlKey converts "Settings.Ledger.Shards" to "ledger" and "shards".
func tomlKey(namespace string) (section, key string) {
	parts := strings.Split(namespace, ".")
	return snakeCase(parts[1]), snakeCase(parts[2])
}

var acronyms = strings.NewReplacer("ID", "id", "URL", "url")

func snakeCase(name string) string {
	name = acronyms.Replace(name)
	var b strings.Builder
	for i, r := range name {
		if r >= 'A' && r <= 'Z' && i > 0 {
			b.WriteByte('_')
		}
		b.WriteRune(r)
	}
	return strings.ToLower(b.String())
}

// lineOf returns the line number of a key in its section, or 0 if the file lacks it.
func lineOf(text []byte, section, key string) int {
	currentSection := ""
	for i, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			currentSection = strings.Trim(line, "[] ")
			continue
		}
		name, _, ok := strings.Cut(line, "=")
		if ok && currentSection == section && strings.TrimSpace(name) == key {
			return i + 1
		}
	}
	return 0
}
