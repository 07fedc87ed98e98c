package soak

import (
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
