package soak

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/gaplink/gaplink/platform/standin"
)

// scene is an oracle and a time that the test moves on.
type scene struct {
	*Oracle
	now time.Time
}

func newScene() *scene {
	start := time.Unix(1000, 0)
	s := &scene{Oracle: NewOracle(start, DefaultBounds()), now: start}
	s.Limit("acme", 1000)
	s.Configures(1)
	s.Configured(1, s.now)
	return s
}

func (s *scene) after(d time.Duration) { s.now = s.now.Add(d) }

// sends sends a request of three events, which the change may alter.
func (s *scene) sends(change func(*Request)) Request {
	r := Request{ID: "q", Sent: s.now, Events: 3, Account: "acme", TokensIn: 20, EventTokens: 5, Deadline: deadline}
	change(&r)
	s.Sent(r)
	return r
}

func (s *scene) runs(r Request, e Ending) standin.Answer { return s.runsFrom(r, e, r.From) }

// runsFrom is a run that is asked to go on after the event with that number.
func (s *scene) runsFrom(r Request, e Ending, from int) standin.Answer {
	a := answer(drawn(1, r.ID, 0), e, r.ID, from, r.Events)
	s.Arrived(r.ID, "s0", 0, s.now)
	s.Ran(r.ID, 0, e, a, s.now)
	return a
}

// gets notes a signed answer of 200 with that body.
func (s *scene) gets(r Request, claim Claim, body string) {
	s.Answered(r.ID, Answer{At: s.now, Status: 200, Claim: claim, Signed: true, ID: r.ID, Body: body})
}

func (s *scene) getsStatus(r Request, status int) {
	s.Answered(r.ID, Answer{At: s.now, Status: status, Claim: Complete, ID: r.ID})
}

func plain(r *Request) { r.Events, r.EventTokens, r.TokensIn = 0, 0, 0 }

func stream(r Request, from, to int) string { return strings.Join(pieces(r.ID, from, to), "") }

// TestOracle has for each promise what keeps it and what breaks it.
func TestOracle(t *testing.T) {
	cases := []struct {
		name  string
		play  func(*scene)
		wants Promise // empty: nothing is broken
	}{
		{"a whole stream", func(s *scene) {
			r := s.sends(func(*Request) {})
			s.gets(r, Complete, s.runs(r, EndsByChunks).Body())
		}, ""},
		{"a second run of a request that may repeat", func(s *scene) {
			r := s.sends(plain)
			s.runs(r, ResetAtOnce)
			s.runs(r, EndsByLength)
		}, ""},
		{"a second run of one that may not", func(s *scene) {
			r := s.sends(func(r *Request) { plain(r); r.Once = true })
			s.runs(r, ResetAtOnce)
			s.runs(r, EndsByLength)
		}, AtMostOnce},
		{"a refusal of what has not run", func(s *scene) { s.getsStatus(s.sends(plain), 503) }, ""},
		{"a refusal of what has run", func(s *scene) {
			r := s.sends(plain)
			s.runs(r, ResetAtOnce)
			s.getsStatus(r, 429)
		}, NotRunIsTrue},
		{"a refusal of what runs later", func(s *scene) {
			r := s.sends(plain)
			s.getsStatus(r, 408)
			s.runs(r, EndsByLength)
		}, NotRunIsTrue},
		{"a 502 promises nothing", func(s *scene) {
			r := s.sends(plain)
			s.runs(r, ResetAtOnce)
			s.getsStatus(r, 502)
		}, ""},
		{"a cut stream that is passed on cut", func(s *scene) {
			r := s.sends(func(*Request) {})
			s.runs(r, CutReset)
			s.gets(r, Cut, stream(r, 0, 1))
		}, ""},
		{"a cut stream that claims to be complete", func(s *scene) {
			r := s.sends(func(*Request) {})
			s.runs(r, CutReset)
			s.gets(r, Complete, stream(r, 0, 1))
		}, Whole},
		{"an unframed answer that claims to be complete", func(s *scene) {
			r := s.sends(plain)
			s.gets(r, Complete, s.runs(r, EndsByClose).Body())
		}, Whole},
		{"an unframed answer that is passed on as one", func(s *scene) {
			r := s.sends(plain)
			s.gets(r, Unframed, s.runs(r, EndsByClose).Body())
		}, ""},
		{"a stream of two runs", func(s *scene) {
			r := s.sends(func(*Request) {})
			s.runs(r, CutReset)
			s.runs(r, EndsByChunks)
			s.gets(r, Complete, stream(r, 0, 3))
		}, ""},
		{"a stream of two runs that lacks an event", func(s *scene) {
			r := s.sends(func(r *Request) { r.Events = 5 })
			s.runs(r, CutReset)
			s.runsFrom(r, GapInIDs, 1)
			s.gets(r, Complete, stream(r, 0, 1)+stream(r, 2, 5))
		}, Whole},
		{"an event that comes twice", func(s *scene) {
			r := s.sends(func(*Request) {})
			s.runs(r, CutReset)
			s.runs(r, EndsByChunks)
			s.gets(r, Complete, stream(r, 0, 2)+stream(r, 1, 3))
		}, Whole},
		{"a gap of a server's own", func(s *scene) {
			r := s.sends(func(r *Request) { r.Events = 5 })
			s.gets(r, Complete, s.runs(r, GapInIDs).Body())
		}, ""},
		{"events from before where the caller is", func(s *scene) {
			r := s.sends(func(r *Request) { r.From = 2 })
			s.gets(r, Complete, s.runs(r, EventsFromTheStart).Body())
		}, Whole},
		{"another request's body", func(s *scene) {
			r := s.sends(plain)
			s.runs(r, EndsByLength)
			s.gets(r, Complete, standin.PlainBody("p"))
		}, Whole},
		{"an answer that names another request", func(s *scene) {
			r := s.sends(plain)
			s.Answered(r.ID, Answer{At: s.now, Status: 502, Claim: Complete, ID: "p"})
		}, Whole},
		{"an answer without a signature", func(s *scene) {
			r := s.sends(plain)
			a := s.runs(r, Unsigned)
			s.Answered(r.ID, Answer{At: s.now, Status: 200, Claim: Complete, ID: r.ID, Body: a.Body()})
		}, Whole},
		{"a server's failure that became a success", func(s *scene) {
			r := s.sends(plain)
			s.gets(r, Complete, s.runs(r, ServerError).Body())
		}, Whole},
		{"a request that no caller sent", func(s *scene) { s.Arrived("unknown", "s0", 0, s.now) }, Whole},
		{"a budget that is just enough", func(s *scene) {
			s.Limit("little", 35)
			s.runs(s.sends(func(r *Request) { r.Account = "little" }), EndsByChunks)
		}, ""},
		{"a budget that is passed", func(s *scene) {
			s.Limit("little", 34)
			s.runs(s.sends(func(r *Request) { r.Account = "little" }), EndsByChunks)
		}, NoOverspend},
		{"less issued than handed out", func(s *scene) { s.Issued("acme", 34, 35, s.now) }, NoOverspend},
		{"more issued than the limit", func(s *scene) { s.Issued("acme", 1001, 35, s.now) }, NoOverspend},
		{"a request to a server that has just said that it leaves", func(s *scene) {
			s.Leaving("s0", s.now)
			s.after(time.Second)
			s.Arrived(s.sends(plain).ID, "s0", 0, s.now)
		}, ""},
		{"as many requests as a limit allows", func(s *scene) {
			s.Limits("s0", 1, s.now)
			s.after(8 * time.Second)
			for range 11 {
				s.Arrived(s.sends(plain).ID, "s0", 0, s.now)
			}
		}, ""},
		{"more requests than a limit allows", func(s *scene) {
			s.Limits("s0", 1, s.now)
			s.after(8 * time.Second)
			for range 12 {
				s.Arrived(s.sends(plain).ID, "s0", 0, s.now)
			}
		}, LimitKept},
		{"as many over a longer time", func(s *scene) {
			s.Limits("s0", 1, s.now)
			for range 30 {
				s.after(time.Second)
				s.Arrived(s.sends(plain).ID, "s0", 0, s.now)
			}
		}, ""},
		{"more requests after a limit has ended", func(s *scene) {
			s.Limits("s0", 1, s.now)
			s.after(8 * time.Second)
			s.Limits("s0", 0, s.now)
			for range 12 {
				s.Arrived(s.sends(plain).ID, "s0", 0, s.now)
			}
		}, ""},
		{"a request to a server that leaves for long", func(s *scene) {
			s.Leaving("s0", s.now)
			s.after(4 * time.Second)
			s.Arrived(s.sends(plain).ID, "s0", 0, s.now)
		}, LeavingIdle},
		{"the same from a router that the store did not reach", func(s *scene) {
			s.Leaving("s0", s.now)
			s.Disturbed(StoreLinkOf(0), s.now, s.now.Add(2*time.Second))
			s.after(4 * time.Second)
			s.Arrived(s.sends(plain).ID, "s0", 0, s.now)
		}, ""},
		{"a new key that works", func(s *scene) {
			s.runs(s.sends(func(r *Request) { r.Marker = 1 }), EndsByChunks)
		}, ""},
		{"a new key that does not work yet", func(s *scene) {
			s.getsStatus(s.sends(func(r *Request) { r.Marker = 1 }), 401)
		}, ""},
		{"a new key that does not work for long", func(s *scene) {
			s.after(4 * time.Second)
			s.getsStatus(s.sends(func(r *Request) { r.Marker = 1 }), 401)
		}, ConfigFresh},
		{"a key that every version has and does not work", func(s *scene) {
			s.getsStatus(s.sends(plain), 401)
		}, ConfigFresh},
		{"an old key that works for long", func(s *scene) {
			s.Configured(3, s.now)
			s.after(4 * time.Second)
			s.runs(s.sends(func(r *Request) { r.Marker = 1 }), EndsByChunks)
		}, ConfigFresh},
		{"a key that worked and no longer does", func(s *scene) {
			s.runs(s.sends(func(r *Request) { r.Marker = 1 }), EndsByChunks)
			s.after(time.Second)
			s.getsStatus(s.sends(func(r *Request) { r.Marker = 1 }), 401)
		}, ConfigRises},
		{"the same at the router's next process", func(s *scene) {
			s.runs(s.sends(func(r *Request) { r.Marker = 1 }), EndsByChunks)
			s.after(time.Second)
			s.getsStatus(s.sends(func(r *Request) { r.Marker = 1; r.Process.Life = 1 }), 401)
		}, ""},
		{"an old key that works again", func(s *scene) {
			s.runs(s.sends(func(r *Request) { r.Marker = 3 }), EndsByChunks)
			s.after(time.Second)
			s.runs(s.sends(func(r *Request) { r.ID = "q2"; r.Marker = 1 }), EndsByChunks)
		}, ConfigRises},
		{"a cut without a reason", func(s *scene) {
			r := s.sends(plain)
			s.runs(r, EndsByLength)
			s.Disturbed(StopOf(0), s.now, s.now)
			s.Answered(r.ID, Answer{At: s.now})
		}, NotCut},
		{"a cut by a kill", func(s *scene) {
			r := s.sends(plain)
			s.runs(r, EndsByLength)
			s.Disturb(ProcessOf(0), s.now)
			s.Answered(r.ID, Answer{At: s.now})
		}, ""},
		{"a cut of what the server answered late", func(s *scene) {
			r := s.sends(plain)
			s.runs(r, EndsByLength)
			s.after(deadline)
			s.Answered(r.ID, Answer{At: s.now})
		}, ""},
		{"a caller that left", func(s *scene) {
			r := s.sends(plain)
			s.runs(r, EndsByLength)
			s.Answered(r.ID, Answer{At: s.now, Left: true})
		}, ""},
		{"a process that ends by itself", func(s *scene) { s.Ended(Process{}, s.now, "exit status 2") }, KeepsRunning},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newScene()
			c.play(s)
			broken := s.Broken()
			switch {
			case c.wants == "" && len(broken) > 0:
				t.Errorf("broken: %v", broken)
			case c.wants != "" && (len(broken) != 1 || broken[0].Promise != c.wants):
				t.Errorf("broken: %v, want %q", broken, c.wants)
			}
		})
	}
}

func TestDisruptionsEnd(t *testing.T) {
	var d Disruptions
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	end := d.Add(StoreItself, at(10))
	if d.Calm(at(20), at(30), StoreItself) {
		t.Error("calm while it lasts")
	}
	end(at(15))
	for _, c := range []struct {
		from, to int
		calm     bool
	}{{0, 9, true}, {9, 10, false}, {12, 13, false}, {15, 20, false}, {16, 20, true}} {
		if got := d.Calm(at(c.from), at(c.to), ProcessOf(1), StoreItself); got != c.calm {
			t.Errorf("calm from %d to %d: %t", c.from, c.to, got)
		}
	}
}

// TestDrawnBySeed checks that a seed gives the same faults and answers each time,
// and that together seeds draw every kind.
func TestDrawnBySeed(t *testing.T) {
	const seeds = 60
	faults, endings := map[Fault]bool{}, map[Ending]bool{}
	for seed := range uint64(seeds) {
		steps := Schedule(seed, 20*time.Second, 3, 4)
		if again := Schedule(seed, 20*time.Second, 3, 4); fmt.Sprint(steps) != fmt.Sprint(again) {
			t.Fatalf("seed %d gives two schedules", seed)
		}
		for _, s := range steps {
			faults[s.Fault] = true
		}
		for n := range 20 {
			r := standin.Run{RequestID: fmt.Sprint(seed, n)}
			a, e := DrawAnswer(seed, r, 0, Request{Events: 5})
			if again, _ := DrawAnswer(seed, r, 0, Request{Events: 5}); fmt.Sprint(a) != fmt.Sprint(again) {
				t.Fatalf("seed %d gives two answers", seed)
			}
			endings[e] = true
		}
	}
	for kind := range natures {
		if !faults[kind] {
			t.Errorf("never drawn: %s", kind)
		}
	}
	for _, e := range otherEndings {
		if !endings[e] {
			t.Errorf("never drawn: %s", e)
		}
	}
}

// TestEndingsProve checks what the drawn endings say of themselves.
func TestEndingsProve(t *testing.T) {
	for _, e := range append(append([]Ending{}, wholeEndings...), otherEndings...) {
		for seed := range uint64(50) {
			a := answer(drawn(seed, "q", 0), e, "q", 0, 5)
			whole := a.Proof("POST") == standin.EndComplete && !a.Unsigned && a.After == "" && a.RequestID == "q" && a.StatusCode() == 200 && eventsIn(a) == 5
			if e.Sound() && !whole {
				t.Errorf("%s is not whole: %+v", e, a)
			}
			if strings.HasPrefix(string(e), "cut") && a.Proof("POST") == standin.EndComplete {
				t.Errorf("%s proves its end: %+v", e, a)
			}
			if e.NotRun() != a.NotRun() {
				t.Errorf("%s: not run is %t", e, a.NotRun())
			}
		}
	}
}
