package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gaplink/gaplink/platform"
)

// The case "tokens": a tenant uses up its prepaid tokens; with the disruption, all processes are killed a few times meanwhile.
const (
	tokenMachines = 3
	// reserved is the prepaid budget. A request takes tokensIn and tokensOut, the latter in events of eventTokens.
	reserved                         = 1_200_000
	tokensIn, tokensOut, eventTokens = 400, 400, 5
	requestTokens                    = tokensIn + tokensOut
	// A request is sent each requestEvery, to the machines in turn.
	requestEvery = 33 * time.Millisecond
	tokenPause   = 4 * time.Millisecond
	// All processes are killed at the same moment, killTimes times; the last time is the final fault.
	killTimes            = 3
	firstKill, killEvery = 12 * time.Second, 7 * time.Second
	// recoverTime is recoverS, after which requests are judged, and judgedTime for how long.
	recoverTime, judgedTime = 12 * time.Second, 6 * time.Second
	// servedShare is the least share that is served then, if it was before.
	servedShare = 0.25
)

// tokenServer is a sound model server: it sends all events of a request, unless its connection closes.
type tokenServer struct {
	id  string
	ran *sync.Map // the ids of the requests that a server has begun
}

func (s *tokenServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == healthPath {
		w.Header().Set("Instance-Id", s.id)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get("Request-Id")
	s.ran.Store(id, true)
	w.Header().Set("Request-Id", id)
	w.Header().Set("Response-Signature", "signed-by-"+s.id)
	w.Header().Set("Content-Type", "text/event-stream")
	for n := range tokensOut / eventTokens {
		time.Sleep(tokenPause)
		if r.Context().Err() != nil {
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", n+1) // fails only if the router has left
		_ = http.NewResponseController(w).Flush()
	}
}

func playTokens(r *rig) (bool, error) {
	var ran sync.Map
	for n := range 3 {
		addr, err := serve(&tokenServer{id: serverID(n), ran: &ran})
		if err != nil {
			return false, err
		}
		if err := r.store.RegisterServer("app", serverID(n), addr, "v1", 64, false); err != nil {
			return false, err
		}
	}
	err := r.store.Put(platform.ConfigKey, object{
		"version": 7,
		"routes": []object{{
			"name": "r-1", "hostname": "a.example", "pathPrefix": "/orders/", "type": "streaming", "timeoutMs": 15000, "sloMs": 800, "interTokenMs": 400,
			"priority": 0, "backend": "app", "attempts": 1, "public": false, "streamResume": false,
		}},
		"backends": []object{{"name": "app", "healthCheck": healthPath, "maxConnections": 360, "runtime": object{"slots": 64, "stride": eventTokens}}},
		"limits":   object{"maxHeaderBytes": 16384, "maxBodyBytes": maxBodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []object{{"name": "t-1", "apiKeys": []string{"k"}, "priority": 1, "reserved": reserved}},
	})
	if err != nil {
		return false, err
	}
	r.size = size{284, 4200, 1000}
	if err := r.startMachines(tokenMachines); err != nil {
		return false, err
	}
	time.Sleep(inTouchAfter)
	begun := time.Now()
	var back atomic.Int64 // when the machines were back after the final fault, in ns after begun
	go func() {
		time.Sleep(firstKill)
		for n := range killTimes {
			if r.trouble {
				for _, m := range r.machines {
					m.kill()
				}
				r.note("all processes are killed, time %d; %d tokens went to requests that servers have begun", n+1, requestTokens*count(&ran))
			}
			if n < killTimes-1 {
				time.Sleep(killEvery)
			}
		}
		time.Sleep(restartDelay)
		for _, m := range r.machines {
			if !m.awaitReady(10 * time.Second) {
				r.note("%s did not become ready", m.name)
				return
			}
		}
		back.Store(int64(time.Since(begun)))
		r.note("the machines are back")
	}()
	const finalFault = firstKill + (killTimes-1)*killEvery
	var all sync.WaitGroup
	before, after := &tally{all: map[string]int{}}, &tally{all: map[string]int{}}
	for n := 0; ; n++ {
		sent := time.Since(begun)
		judgedFrom := time.Duration(back.Load()) + recoverTime
		isJudged := back.Load() != 0 && sent >= judgedFrom
		if isJudged && sent >= judgedFrom+judgedTime || sent > 80*time.Second {
			break
		}
		all.Go(func() {
			status := askForTokens(r.machines[n%tokenMachines], fmt.Sprint("q-", n))
			switch {
			case sent < finalFault:
				before.add(status)
			case isJudged:
				after.add(status)
			}
		})
		time.Sleep(requestEvery)
	}
	all.Wait()
	begunTokens := requestTokens * count(&ran)
	r.note("at most %d of %d tokens went to servers (%.3f)", begunTokens, reserved, float64(begunTokens)/reserved)
	r.note("before the final fault: %v; later than %s after the machines were back: %v", before.all, recoverTime, after.all)
	if before.share("200") < servedShare || after.sum() == 0 {
		return false, errors.New("too few requests were served before the final fault, or none was sent after it")
	}
	return after.share("200") < servedShare, nil
}

func count(m *sync.Map) (n int) {
	m.Range(func(_, _ any) bool { n++; return true })
	return n
}

// askForTokens sends a request on a new connection, reads its stream and returns the status.
func askForTokens(m *machine, id string) string {
	c, err := net.DialTimeout("tcp", m.listen.callers, time.Second)
	if err != nil {
		return "not connected"
	}
	defer func() { _ = c.Close() }()
	_, _ = fmt.Fprintf(c, "POST /orders/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\nModel: m\r\nToken-Count: %d,%d\r\nPrefix-Hash: aa:100,%x:300\r\nDeadline-Ms: 15000\r\nAuthorization: Token k\r\nContent-Length: 2\r\n\r\n{}", id, tokensIn, tokensOut, id)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "closed"
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return strconv.Itoa(resp.StatusCode) + " cut"
	}
	return strconv.Itoa(resp.StatusCode)
}

// tally counts how requests ended.
type tally struct {
	mu  sync.Mutex
	all map[string]int
}

// sum returns the number of requests.
func (t *tally) sum() (n int) {
	for _, count := range t.all {
		n += count
	}
	return n
}

// share returns the share of the requests that ended so.
func (t *tally) share(how string) float64 { return float64(t.all[how]) / float64(max(t.sum(), 1)) }

func (t *tally) add(how string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.all[how]++
}
