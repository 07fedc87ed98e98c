package updates

import (
	"context"
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

// Guards against a failed router that counts as a queue of 1.5 s at this router's link, which is the
// timeout of requests while the link is saturated: all requests of the next second would be refused,
// because the state would be too old by the time they arrive.
func TestRequestWithoutAnswerIsNoLongQueue(t *testing.T) {
	const timeout = 1500 * time.Millisecond
	var got time.Duration
	u := &Controller{Options: Options{ObserveDuration: func(d time.Duration) { got = d }}}
	for _, c := range []struct {
		took time.Duration
		err  error
		want time.Duration
	}{{timeout, nil, timeout}, {timeout, context.DeadlineExceeded, callTimeout}, {time.Millisecond, context.Canceled, time.Millisecond}} {
		u.observeDuration(c.took, c.err)
		if got != c.want {
			t.Errorf("%v, error %v: observed %v, want %v", c.took, c.err, got, c.want)
		}
	}
	new(Controller).observeDuration(timeout, nil)
}
