package upstream_test

import (
	"context"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/gaplink/gaplink/upstream"
)

// Guards against slow readers that together hold more than the limit, against aborting another write
// than the largest, and against a sum that is wrong after writes ended in any order.
func TestBacklogAbortsTheLargestWrite(t *testing.T) {
	const kb, limit = 1 << 10, 1000 << 10
	var sizes []int64
	b := upstream.NewBacklog(limit, func(bytes, sum int64) {
		if sum <= limit {
			t.Errorf("aborted at %d bytes", sum)
		}
		sizes = append(sizes, bytes)
	})
	aborted := map[string]bool{}
	begin := func(name string, size int) func() { return b.Begin(size, func() { aborted[name] = true }) }
	endFirst := begin("first", 400*kb)
	endSecond := begin("second", 400*kb)
	begin("tiny", 1000) // not counted
	if b.Sum() != 800*kb || len(aborted) != 0 {
		t.Fatalf("%d bytes, aborted %v", b.Sum(), aborted)
	}
	begin("small", 300*kb)
	if !aborted["first"] || len(aborted) != 1 || b.Sum() != 700*kb || b.Aborted() != 1 {
		t.Fatalf("%d bytes, aborted %v", b.Sum(), aborted)
	}
	endFirst()
	endSecond()
	endSecond()
	if b.Sum() != 300*kb || len(sizes) != 1 || sizes[0] != 400*kb {
		t.Errorf("%d bytes, aborted sizes %v", b.Sum(), sizes)
	}
	begin("over the limit alone", 2*limit)
	if !aborted["over the limit alone"] || aborted["small"] {
		t.Errorf("aborted %v", aborted)
	}
	var none *upstream.Backlog
	none.Begin(limit, nil)()
	upstream.NewBacklog(0, nil).Begin(limit, nil)()
}

// Guards against a sum over the limit in any order of begins and ends.
func TestBacklogStaysWithinItsLimit(t *testing.T) {
	const limit = 1 << 20
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		b := upstream.NewBacklog(limit, nil)
		var ends []func()
		for range 500 {
			if len(ends) > 0 && random.IntN(3) == 0 {
				n := random.IntN(len(ends))
				ends[n]()
				ends = append(ends[:n], ends[n+1:]...)
			} else {
				ends = append(ends, b.Begin(random.IntN(limit/4), func() {}))
			}
			if sum := b.Sum(); sum < 0 || sum > limit {
				t.Fatalf("seed %d: %d bytes", seed, sum)
			}
		}
		for _, end := range ends {
			end()
		}
		if b.Sum() != 0 {
			t.Errorf("seed %d: %d bytes after all writes ended", seed, b.Sum())
		}
	}
}

// Guards against a server that does not read its requests, whose bodies stay in memory beyond the
// limit, and against taking such a request for one that was not sent.
func TestSlowServerIsResetOverTheLimit(t *testing.T) {
	const size = 1 << 20
	addr := listen(t, func(net.Conn) { time.Sleep(3 * time.Second) })
	backlog := upstream.NewBacklog(size*3/2, nil)
	p := upstream.New(upstream.Options{DialTimeout: time.Second, IdleTimeout: time.Second, Backlog: backlog})
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	failures := make(chan *upstream.Failure, 2)
	for range 2 {
		r := get(addr, "a")
		r.Method, r.Body = "POST", make([]byte, size)
		go func() {
			_, failure := p.Send(ctx, r)
			failures <- failure
		}()
	}
	failure := <-failures
	if failure == nil || failure.Stage != upstream.Sent || ctx.Err() != nil {
		t.Fatalf("%+v", failure)
	}
	if backlog.Aborted() != 1 || backlog.Sum() != size {
		t.Errorf("%d aborted, %d bytes", backlog.Aborted(), backlog.Sum())
	}
	cancel()
	<-failures
}
