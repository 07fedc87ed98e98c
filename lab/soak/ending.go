package soak

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gaplink/gaplink/platform/standin"
)

// Ending is a kind of backend server answer, named after how it ends.
type Ending string

// The endings.
const (
	EndsByChunks       Ending = "whole, chunks"
	EndsByLength       Ending = "whole, length"
	EndsByClose        Ending = "whole, close"
	CutClosed          Ending = "cut, closed"
	CutReset           Ending = "cut, reset"
	CutSilent          Ending = "cut, silent"
	CutUnframed        Ending = "cut, unframed and closed"
	CutUnframedReset   Ending = "cut, unframed and reset"
	CutShortOfLength   Ending = "cut, short of its length"
	ClosedAtOnce       Ending = "no answer, closed"
	ResetAtOnce        Ending = "no answer, reset"
	SilentAtOnce       Ending = "no answer, silent"
	Garbage            Ending = "bytes that are no answer"
	ServerError        Ending = "500"
	ErrorCut           Ending = "500, cut"
	Refusal            Ending = "503, not run"
	RefusalUnnamed     Ending = "429, not run, without an id"
	FalsePromise       Ending = "503 after a run"
	OtherRequest       Ending = "another request's id"
	Unsigned           Ending = "200, not signed"
	SecondAnswer       Ending = "a second answer"
	SecondAnswerLate   Ending = "a second answer, late"
	GapInIDs           Ending = "a gap in the ids"
	EventsFromTheStart Ending = "resumed from the start"
	EndsServer         Ending = "the server ends"
)

// completeProbability is the probability that an answer is drawn from completeEndings.
const completeProbability = 0.7

// misjoinProbability is the probability that a run that resumes a stream doesn't continue where the
// stream broke off.
const misjoinProbability = 0.3

var misjoinedEndings = []Ending{GapInIDs, EventsFromTheStart}

var (
	completeEndings = []Ending{EndsByChunks, EndsByChunks, EndsByLength}
	otherEndings    = []Ending{
		EndsByClose, CutClosed, CutReset, CutSilent, CutUnframed, CutUnframedReset, CutShortOfLength, ClosedAtOnce, ResetAtOnce,
		SilentAtOnce, Garbage, ServerError, ErrorCut, Refusal, RefusalUnnamed, FalsePromise, OtherRequest, Unsigned, SecondAnswer,
		SecondAnswerLate, GapInIDs, EventsFromTheStart,
	}
)

// exactEndings hand out either everything that a request may cost or nothing. An account that meets
// only these is charged no more than it received, so that a missing charge is detected.
var exactEndings = []Ending{EndsByChunks, Refusal, OtherRequest, Unsigned, SecondAnswer, SecondAnswerLate}

// connBehavior is how an answer is framed and what happens to its connection afterwards.
type connBehavior struct {
	framing standin.Framing
	ending  standin.Ending
}

// connBehaviors lists the endings that aren't chunked or don't keep the connection open.
var connBehaviors = map[Ending]connBehavior{
	EndsByLength:     {standin.Length, standin.Open},
	EndsByClose:      {standin.ByClose, standin.Closed},
	CutClosed:        {standin.Chunked, standin.Closed},
	CutReset:         {standin.Chunked, standin.Aborted},
	CutSilent:        {standin.Chunked, standin.Silent},
	CutUnframed:      {standin.ByClose, standin.Closed},
	CutUnframedReset: {standin.ByClose, standin.Aborted},
	CutShortOfLength: {standin.Length, standin.Closed},
	ClosedAtOnce:     {standin.Chunked, standin.Closed},
	ResetAtOnce:      {standin.Chunked, standin.Aborted},
	SilentAtOnce:     {standin.Chunked, standin.Silent},
	Garbage:          {standin.Chunked, standin.Closed},
	ServerError:      {standin.Length, standin.Open},
	ErrorCut:         {standin.Length, standin.Closed},
	Refusal:          {standin.Length, standin.Open},
	RefusalUnnamed:   {standin.Length, standin.Open},
	FalsePromise:     {standin.Length, standin.Open},
}

func setConnBehavior(e Ending, a *standin.Answer) {
	c := connBehaviors[e]
	a.Framing, a.Ending = c.framing, c.ending
}

// NotRun reports whether the server states that it did not run the request.
func (e Ending) NotRun() bool { return e == Refusal || e == RefusalUnnamed }

// SimplyComplete reports whether the answer is complete, is framed so that its end is known, and
// is followed by nothing. A router has no choice but to forward such an answer.
func (e Ending) SimplyComplete() bool { return e == EndsByChunks || e == EndsByLength }

// runRand returns the random generator for one run of a request.
func runRand(seed uint64, id string, run int) *rand.Rand {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, id, " ", run) // never fails
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}

// DrawAnswer draws a server's answer to a request that arrived before times before.
func DrawAnswer(seed uint64, r standin.Run, before int, q Request) (standin.Answer, Ending) {
	rng := runRand(seed, r.RequestID, before)
	others := otherEndings
	if q.Account == exactAccount {
		others = exactEndings
	}
	e := completeEndings[rng.IntN(len(completeEndings))]
	if rng.Float64() >= completeProbability {
		e = others[rng.IntN(len(others))]
	}
	if before > 0 && r.LastEvent != "" && rng.Float64() < misjoinProbability {
		e = misjoinedEndings[rng.IntN(len(misjoinedEndings))]
	}
	from, _ := strconv.Atoi(r.LastEvent) // no Last-Event-Id: start with the first event
	return buildAnswer(rng, e, r.RequestID, from, q), e
}

const (
	// maxPause bounds the time between two pieces of an answer.
	maxPause = 15 * time.Millisecond
	// slowProbability is the probability that an answer's pauses are slowFactor times longer, so
	// that planned stops occur while requests are in flight.
	slowProbability = 0.25
	slowFactor      = 8
	// lateAnswerDelay is the delay of a late second answer.
	lateAnswerDelay = 20 * time.Millisecond
)

func buildAnswer(rng *rand.Rand, e Ending, id string, from int, q Request) standin.Answer {
	a := standin.Answer{RequestID: id, Pieces: markedPieces(id, q.Version, from, q.Events)}
	if q.Events > 0 {
		a.Fields = []string{"Content-Type: text/event-stream"}
	}
	if rng.IntN(2) == 0 {
		a.Pause = time.Duration(rng.Int64N(int64(maxPause)))
	}
	if rng.Float64() < slowProbability {
		a.Pause *= slowFactor
	}
	setConnBehavior(e, &a)
	switch e {
	case CutClosed, CutReset, CutSilent, CutUnframed, CutUnframedReset, CutShortOfLength:
		cutAnswer(rng, &a)
	case ClosedAtOnce, ResetAtOnce, SilentAtOnce, Garbage:
		setHeadless(e, &a)
	case ServerError, ErrorCut, Refusal, RefusalUnnamed, FalsePromise:
		setFailure(e, &a)
	case OtherRequest:
		a.RequestID = "x" + id
	case Unsigned:
		a.Unsigned = true
	case SecondAnswer, SecondAnswerLate:
		a.After = standin.WholeAnswer(id, "second "+standin.PlainBody(id))
		if e == SecondAnswerLate {
			a.AfterDelay = lateAnswerDelay
		}
	case GapInIDs:
		dropEvent(rng, from, &a)
	case EventsFromTheStart:
		a.Pieces = markedPieces(id, q.Version, 0, q.Events)
	}
	return a
}

// pieces returns the events after from, or the body of a plain answer.
func pieces(id string, from, events int) []string {
	if events == 0 {
		return []string{standin.PlainBody(id)}
	}
	var list []string
	for n := from + 1; n <= events; n++ {
		list = append(list, standin.Event(id, n))
	}
	return list
}

// cutAnswer truncates an answer before its first event, after some events or inside one.
func cutAnswer(rng *rand.Rand, a *standin.Answer) {
	a.Cut = true
	most := len(a.Pieces) - 1
	if a.Framing == standin.Chunked {
		most++ // a chunked answer may contain all events and lack only the last chunk
	}
	complete := rng.IntN(max(most+1, 1))
	a.Sent = len(strings.Join(a.Pieces[:complete], ""))
	if complete < len(a.Pieces) && rng.IntN(2) == 0 {
		a.Sent += rng.IntN(len(a.Pieces[complete]))
	}
}

func setHeadless(e Ending, a *standin.Answer) {
	a.Headless = true
	a.Pieces = nil
	if e == Garbage {
		a.Raw = "\x00\x01 no answer\r\n\r\n"
	}
}

func setFailure(e Ending, a *standin.Answer) {
	a.Status = http.StatusServiceUnavailable
	a.Fields = nil
	a.Pieces = []string{"failure of " + a.RequestID + "\n"}
	switch e {
	case ServerError:
		a.Status = http.StatusInternalServerError
	case ErrorCut:
		a.Status = http.StatusInternalServerError
		a.Cut, a.Sent = true, 3
	case Refusal:
		a.NotExecuted = true
	case RefusalUnnamed:
		a.Status = http.StatusTooManyRequests
		a.NotExecuted = true
		a.RequestID = ""
	}
}

// dropEvent removes the first event of a resumed run, or an event in the middle of any other run.
func dropEvent(rng *rand.Rand, from int, a *standin.Answer) {
	if len(a.Pieces) < 3 {
		return
	}
	gap := 0
	if from == 0 {
		gap = 1 + rng.IntN(len(a.Pieces)-2)
	}
	a.Pieces = append(append([]string(nil), a.Pieces[:gap]...), a.Pieces[gap+1:]...)
}

// countEvents returns the number of complete events that an answer hands out.
func countEvents(a standin.Answer) int64 { return int64(strings.Count(a.SentBody(), "\n\n")) }

// silentAnswer returns the answer of a server that crashes while it runs the request: no bytes at
// all.
func silentAnswer() standin.Answer {
	a := standin.Answer{}
	setConnBehavior(SilentAtOnce, &a)
	setHeadless(SilentAtOnce, &a)
	return a
}

// refusalAnswer returns the answer of a server that accepts no requests.
func refusalAnswer(id string) standin.Answer {
	a := standin.Answer{RequestID: id}
	setConnBehavior(Refusal, &a)
	setFailure(Refusal, &a)
	return a
}
