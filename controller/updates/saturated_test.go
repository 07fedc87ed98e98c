package updates

import (
	"testing"
	"time"
)

// Guards against a saturated router that requests updates as rarely as others, and against one that
// requests them continuously.
func TestIntervalIsShorterAtASaturatedLink(t *testing.T) {
	for _, c := range []struct {
		normal, delay time.Duration
		saturated     bool
		want          time.Duration
	}{
		{time.Second, 0, false, time.Second},
		{time.Second, 0, true, 500 * time.Millisecond},
		{time.Second, 700 * time.Millisecond, true, 300 * time.Millisecond},
		{time.Second, 3 * time.Second, true, catchUpInterval},
		{requestInterval, 50 * time.Millisecond, true, requestInterval / 2},
		{requestInterval, time.Second, true, catchUpInterval},
		{catchUpInterval, time.Second, true, catchUpInterval},
		{moreChangesPause, time.Second, true, moreChangesPause},
	} {
		u := &Controller{Options: Options{LinkDelay: func() (time.Duration, bool) { return c.delay, c.saturated }}}
		if got := u.forLink(c.normal); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
	if got := new(Controller).forLink(time.Second); got != time.Second {
		t.Errorf("%v at an unknown link", got)
	}
}
