package reach_test

import (
	"testing"
	"time"

	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/reach"
)

var (
	group = reach.Group{Service: "m", Domain: "a"}
	one   = placement.Incarnation{ID: "s1"}
	two   = placement.Incarnation{ID: "s2"}
)

// scene is a tracker and its time.
type scene struct {
	*reach.Tracker
	now time.Time
}

func newScene() *scene { return &scene{reach.New(), time.Unix(1000, 0)} }

func (s *scene) after(d time.Duration) *scene {
	s.now = s.now.Add(d)
	return s
}

// respond plays a request that is responded to.
func (s *scene) respond() {
	s.Sent(s.now, group)
	s.Responded(s.now, group)
	s.Ended(group)
}

// due returns the verifications due now.
func (s *scene) due() []reach.Check { return s.DueVerifications(s.now) }

// Guards against a router that takes itself for cut off, or asks others, when it is not: single servers
// that fail while others respond, or one connection that breaks.
func TestServersThatFailWhileOthersRespondAreNoPartition(t *testing.T) {
	s := newScene()
	s.respond()
	for range 20 {
		s.after(100 * time.Millisecond)
		s.ConnectFailed(s.now, group, one)
		s.NotAnswered(s.now, group)
		s.respond()
		if due := s.due(); len(due) != 0 {
			t.Fatalf("verified: %v", due)
		}
	}
}

// Guards against a partition that is not noticed, whatever its form.
func TestEachFormOfAPartitionIsSuspected(t *testing.T) {
	for name, c := range map[string]struct {
		fail           func(*scene)
		responseNeeded bool
	}{
		"connections to one server fail and none responds": {func(s *scene) { s.ConnectFailed(s.now, group, one) }, false},
		"connections to two servers fail, open ones live on": {func(s *scene) {
			s.ConnectFailed(s.now, group, one)
			s.ConnectFailed(s.now, group, two)
			s.after(time.Second).respond()
		}, false},
		"connections are accepted and reset": {func(s *scene) { s.NotAnswered(s.now, group) }, true},
		"open connections are silent":        {func(s *scene) { s.Sent(s.now, group); s.after(500 * time.Millisecond) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScene()
			s.respond()
			s.after(time.Millisecond)
			c.fail(s)
			s.after(600 * time.Millisecond)
			due := s.due()
			if len(due) != 1 || due[0].Group != group || due[0].ResponseNeeded != c.responseNeeded {
				t.Fatalf("verified: %v", due)
			}
			if again := s.due(); len(again) != 0 {
				t.Errorf("verified twice at the same time: %v", again)
			}
			if s.Verified(s.now, due[0], true, true) || s.Path(s.now, group).Indirect {
				t.Error("cut off although the servers are reached")
			}
		})
	}
}

// Guards against servers that are down for everybody and count as a partition, and against asking others
// about them without end.
func TestServersThatNobodyReachesAreNoPartition(t *testing.T) {
	s := newScene()
	s.ConnectFailed(s.now, group, one)
	verified := 0
	for range 100 {
		for _, check := range s.after(100 * time.Millisecond).due() {
			verified++
			if s.Verified(s.now, check, false, false) {
				t.Fatal("cut off")
			}
		}
	}
	if verified < 4 || verified > 10 {
		t.Errorf("verified %d times in 10 s", verified)
	}
}

// cutOff plays a partition up to its verification.
func (s *scene) cutOff(t *testing.T) {
	t.Helper()
	s.ConnectFailed(s.now, group, one)
	var due []reach.Check
	for range 40 {
		if due = s.after(100 * time.Millisecond).due(); len(due) > 0 {
			break
		}
	}
	if len(due) != 1 || !s.Verified(s.now, due[0], false, true) {
		t.Fatalf("not cut off: %v", due)
	}
}

// probe plays probes until the group is reached directly again, and returns how long that took.
func (s *scene) probe(t *testing.T, passes func() bool) time.Duration {
	t.Helper()
	begun := s.now
	for s.now.Sub(begun) < time.Minute {
		for _, check := range s.after(50 * time.Millisecond).DueProbes(s.now) {
			if s.Probed(s.now, check.Group, passes()) {
				return s.now.Sub(begun)
			}
		}
	}
	t.Fatal("never reached again")
	return 0
}

// Guards against a router that changes its path again and again while its links come and go.
func TestLinksThatComeAndGoChangeThePathRarely(t *testing.T) {
	always := func() bool { return true }
	s := newScene()
	s.cutOff(t)
	if took := s.probe(t, always); took < time.Second || took > 2*time.Second {
		t.Errorf("back after %s", took)
	}
	var last time.Duration
	for range 5 {
		s.cutOff(t)
		last = s.probe(t, always)
	}
	if last < 8*time.Second {
		t.Errorf("back after %s at the sixth partition in a row", last)
	}
	s.after(time.Minute)
	s.cutOff(t)
	if took := s.probe(t, always); took > 2*time.Second {
		t.Errorf("back after %s a minute later", took)
	}
}

// Guards against single probes that pass, as while packets are lost.
func TestEverySecondProbePassingIsNoReturn(t *testing.T) {
	s := newScene()
	s.cutOff(t)
	n := 0
	for range 200 {
		for _, check := range s.after(100 * time.Millisecond).DueProbes(s.now) {
			n++
			if s.Probed(s.now, check.Group, n%2 == 0) {
				t.Fatalf("back after %d probes", n)
			}
		}
	}
}

// Guards against requests on connections that are silent, and against giving up those that live on.
func TestOpenConnectionsAreUsedWhileTheyRespond(t *testing.T) {
	s := newScene()
	s.respond()
	s.after(time.Second)
	s.ConnectFailed(s.now, group, one)
	s.ConnectFailed(s.now, group, two)
	s.after(300 * time.Millisecond).respond()
	due := s.due()
	if len(due) != 1 || !s.Verified(s.now, due[0], false, true) {
		t.Fatalf("not cut off: %v", due)
	}
	if p := s.Path(s.now, group); !p.Indirect || !p.OpenWork {
		t.Errorf("the path is %+v", p)
	}
	s.after(100 * time.Millisecond)
	s.NotAnswered(s.now, group)
	if p := s.Path(s.now, group); p.OpenWork {
		t.Error("silent connections are used")
	}
}
