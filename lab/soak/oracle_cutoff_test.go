package soak

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// Guards against an oracle that passes a fleet which refuses the callers of a router that is cut off, or
// that blames one for tries which are excused.
func TestOracleOnPartitions(t *testing.T) {
	const cutRouter, otherRouter = 0, 1
	for name, c := range map[string]struct {
		// after is when the tries are sent, counted from the start of the partition.
		after     time.Duration
		status    int
		others    bool
		violation bool
	}{
		"refused although another router reaches the servers": {4 * time.Second, http.StatusServiceUnavailable, true, true},
		"served":                            {4 * time.Second, http.StatusOK, true, false},
		"refused in the first moment":       {time.Second, http.StatusServiceUnavailable, true, false},
		"refused while nobody reaches them": {4 * time.Second, http.StatusServiceUnavailable, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newOracleScenario()
			s.SetRouters(2)
			s.AddDisruption(ServerLinks(cutRouter), s.now, s.now.Add(8*time.Second))
			if !c.others {
				s.AddDisruption(ServerLinks(otherRouter), s.now, s.now.Add(8*time.Second))
			}
			sent := s.now.Add(c.after)
			for _, router := range []int{cutRouter, otherRouter} {
				status := http.StatusOK
				if router == cutRouter {
					status = c.status
				}
				for n := range 20 {
					id := string(rune('a'+router)) + string(rune('a'+n))
					s.Sent(Request{ID: id, Process: Process{Router: router}, Sent: sent, Deadline: time.Second})
					s.Answered(id, Answer{At: sent.Add(time.Millisecond), Status: status, Claim: Unframed, ID: id})
				}
			}
			s.CheckCutOff(sent)
			found := false
			for _, v := range s.Violations() {
				found = found || v.Guarantee == CutOffServed
			}
			if found != c.violation {
				t.Errorf("violations: %v", s.Violations())
			}
		})
	}
}

// Guards against an oracle that compares partitions at bad times with other routers at good ones, or that does
// not see a partition at a good time because others were refused at a bad one.
func TestOracleComparesTriesOfTheSameTime(t *testing.T) {
	const cutRouter, otherRouter = 0, 1
	// at are numbers of tries in a good second and in a bad one.
	type at struct{ good, bad int }
	for name, c := range map[string]struct {
		sentCut, sentOther, cut, other at
		violation                      bool
	}{
		"equally at each time, more tries at the bad one": {at{10, 100}, at{100, 10}, at{9, 5}, at{90, 1}, false},
		"refused at the good time":                        {at{100, 10}, at{10, 100}, at{20, 1}, at{9, 5}, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newOracleScenario()
			s.SetRouters(2)
			s.AddDisruption(ServerLinks(cutRouter), s.now, s.now.Add(20*time.Second))
			send := func(router int, when time.Time, sent, served int) {
				for n := range sent {
					id := fmt.Sprint(router, when.Unix(), n)
					status := http.StatusServiceUnavailable
					if n < served {
						status = http.StatusOK
					}
					s.Sent(Request{ID: id, Process: Process{Router: router}, Sent: when, Deadline: time.Second})
					s.Answered(id, Answer{At: when.Add(time.Millisecond), Status: status, Claim: Unframed, ID: id})
				}
			}
			good, bad := s.now.Add(5*time.Second), s.now.Add(10*time.Second)
			send(cutRouter, good, c.sentCut.good, c.cut.good)
			send(otherRouter, good, c.sentOther.good, c.other.good)
			send(cutRouter, bad, c.sentCut.bad, c.cut.bad)
			send(otherRouter, bad, c.sentOther.bad, c.other.bad)
			s.CheckCutOff(bad)
			found := false
			for _, v := range s.Violations() {
				found = found || v.Guarantee == CutOffServed
			}
			if found != c.violation {
				t.Errorf("violations: %v", s.Violations())
			}
		})
	}
}
