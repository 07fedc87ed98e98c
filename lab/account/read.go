// Package account analyzes the logs of a router fleet's run: which requests were refused and why,
// where the tokens of each client account were, and which routers were overloaded.
package account

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// Errors of Read.
var (
	// ErrNoLogLine is returned for a file without any log line of a router.
	ErrNoLogLine = errors.New("no log line of a router")
	// ErrTruncated is returned for a file that ends within a log line.
	ErrTruncated = errors.New("the file ends within a log line")
)

const (
	// maxLine is the maximum length of a line, in bytes.
	maxLine = 4 << 20
	// maxRun is the maximum distance of a line's time from the start of the run, before or after.
	maxRun = 24 * time.Hour
)

// Request is the log line of a finished request.
type Request struct {
	// At is the time since the start of the run at which it ended, and Router the router's instance.
	At     time.Duration
	Router string
	// Name is the name of its result code, "OK" for a served request.
	Name    string
	Account string
	// Cause is the text of the reason, without ids and numbers.
	Cause string
	// After is its duration.
	After time.Duration
	// Spent is the number of tokens charged for it.
	Spent int64
}

// Balance is the state of one account in the log line of a written budgets page, in tokens.
type Balance struct {
	// Held is unreserved at the router that wrote the page, Reserved is reserved there for running
	// requests.
	Held, Reserved int64
	// Free is left in the store, and Limit is the budget of the account.
	Free, Limit int64
}

// Page is the log line of a written budgets page.
type Page struct {
	At       time.Duration
	Router   string
	Version  int64
	Balances map[string]Balance
}

// Event is any other log line.
type Event struct {
	At      time.Duration
	Router  string
	Message string
}

// Run is the content of the logs of a run.
type Run struct {
	Requests []Request
	Pages    []Page
	Events   []Event
	// Unreadable counts lines that look like log lines and are not.
	Unreadable int
}

// line is a log line with the fields that are read.
type line struct {
	Time    time.Time `json:"ts"`
	Message string    `json:"msg"`
	// Instance is set in the first line of a process.
	Instance string  `json:"instance"`
	Account  string  `json:"account"`
	Cause    string  `json:"cause"`
	AfterMS  float64 `json:"after_ms"`
	Spent    int64   `json:"spent"`
	Version  int64   `json:"version"`
	Budgets  string  `json:"budgets"`
}

// prefix matches what the log collector of a fleet puts before each line: the time in seconds and
// the router's instance.
var prefix = regexp.MustCompile(`^\s*(-?\d+(?:\.\d+)?)\s+(\S+)\s+$`)

// Read parses the logs of one router as it writes them, or of a fleet with a prefix of seconds and
// instance before each line. It skips lines without a JSON object. It returns ErrNoLogLine if no line
// is a router's, and ErrTruncated if the last line is incomplete.
func Read(in io.Reader) (*Run, error) {
	r := &reader{run: &Run{}}
	lines := bufio.NewReaderSize(in, 64<<10)
	for n := 1; ; n++ {
		text, err := readLine(lines)
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, fmt.Errorf("line %d: %w", n, err)
		}
		ended := errors.Is(err, io.EOF)
		if !r.parseLine(text) && ended && text != "" {
			return nil, fmt.Errorf("line %d: %w", n, ErrTruncated)
		}
		if ended {
			break
		}
	}
	if r.lines == 0 {
		return nil, ErrNoLogLine
	}
	return r.run, nil
}

// errLineTooLong is returned for a line longer than maxLine.
var errLineTooLong = errors.New("the line is too long")

// readLine returns the next line without its line ending. It returns the last line with io.EOF.
func readLine(in *bufio.Reader) (string, error) {
	var b strings.Builder
	for {
		part, err := in.ReadSlice('\n')
		b.Write(part)
		if b.Len() > maxLine {
			return "", errLineTooLong
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		return strings.TrimRight(b.String(), "\r\n"), err
	}
}

// reader collects the parsed lines of a run.
type reader struct {
	run   *Run
	lines int
	// router and began are the instance and the first time of logs without a prefix.
	router string
	began  time.Time
}

// parseLine parses a line. It returns false if the line looks like a log line but cannot be parsed.
func (r *reader) parseLine(text string) bool {
	head, object, found := strings.Cut(text, "{")
	if !found {
		return true
	}
	var at time.Duration
	var router string
	prefixed := prefix.FindStringSubmatch(head)
	if prefixed == nil && strings.TrimSpace(head) != "" {
		return true // output of another program
	}
	var l line
	if err := json.Unmarshal([]byte("{"+object), &l); err != nil {
		r.run.Unreadable++
		return false
	}
	if l.Message == "" {
		return true
	}
	if prefixed != nil {
		seconds, err := strconv.ParseFloat(prefixed[1], 64)
		if err != nil || math.Abs(seconds) > maxRun.Seconds() {
			r.run.Unreadable++
			return false
		}
		at, router = time.Duration(seconds*float64(time.Second)), prefixed[2]
	} else {
		at, router = r.unprefixed(l)
	}
	if at.Abs() > maxRun {
		r.run.Unreadable++
		return false
	}
	r.lines++
	r.add(at, router, l)
	return true
}

// unprefixed returns the time and the instance of a line without a prefix.
func (r *reader) unprefixed(l line) (time.Duration, string) {
	if l.Instance != "" {
		r.router = l.Instance
	}
	if r.began.IsZero() {
		r.began = l.Time
	}
	return l.Time.Sub(r.began), r.router
}

func (r *reader) add(at time.Duration, router string, l line) {
	switch name, isRequest := strings.CutPrefix(l.Message, "request "); {
	case isRequest && !strings.Contains(name, " "):
		r.run.Requests = append(r.run.Requests, Request{
			At: at, Router: router, Name: name, Account: l.Account, Cause: reason(l.Cause),
			After: time.Duration(l.AfterMS * float64(time.Millisecond)), Spent: l.Spent,
		})
	case l.Message == "budget page written":
		r.run.Pages = append(r.run.Pages, Page{At: at, Router: router, Version: l.Version, Balances: balances(l.Budgets)})
	default:
		r.run.Events = append(r.run.Events, Event{At: at, Router: router, Message: l.Message})
	}
}

// wordWithDigit matches words with digits: ids, addresses and counts.
var wordWithDigit = regexp.MustCompile(`\S*\d\S*`)

// reason returns the first part of a cause without its result code, with ids and numbers replaced.
func reason(cause string) string {
	if _, text, found := strings.Cut(cause, ": "); found {
		cause = text
	}
	cause, _, _ = strings.Cut(cause, ": ")
	return strings.Join(strings.Fields(wordWithDigit.ReplaceAllString(cause, "…")), " ")
}

// balance matches "account=held+reserved/free/limit".
var balance = regexp.MustCompile(`(\S+)=(-?\d+)\+(-?\d+)/(-?\d+)/(-?\d+)`)

func balances(text string) map[string]Balance {
	all := map[string]Balance{}
	for _, m := range balance.FindAllStringSubmatch(text, -1) {
		var n [4]int64
		for i := range n {
			n[i], _ = strconv.ParseInt(m[i+2], 10, 64) // only digits match; ParseInt returns the nearest int64 if out of range
		}
		all[m[1]] = Balance{Held: n[0], Reserved: n[1], Free: n[2], Limit: n[3]}
	}
	return all
}
