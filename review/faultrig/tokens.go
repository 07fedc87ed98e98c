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

// The case "tokens": a tenant uses up its prepaid tokens; with the disruption, all processes are killed twice meanwhile.
const (
	tokenMachines = 3
	// reserved is the prepaid budget. A request takes tokensIn and tokensOut, the latter in events of eventTokens.
	reserved                         = 1_200_000
	tokensIn, tokensOut, eventTokens = 400, 400, 5
	requestTokens                    = tokensIn + tokensOut
	// A request is sent each requestEvery, to the machines in turn.
	requestEvery = 33 * time.Millisecond
	tokenPause   = 4 * time.Millisecond
	// All processes are killed at the same moment, killTimes times.
	killTimes            = 2
	firstKill, killEvery = 12 * time.Second, 7 * time.Second
	// refusedFor is for how long clients go on after the first refusal for want of tokens.
	refusedFor = 6 * time.Second
	// owedShare is the part of the budget within which a request is owed, and contact is contactMs with a margin.
	owedShare = 0.97
	contact   = 3500 * time.Millisecond
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
	var lastKill atomic.Int64
	lastKill.Store(time.Now().UnixNano())
	if r.trouble {
		go func() {
			time.Sleep(firstKill)
			for n := range killTimes {
				lastKill.Store(time.Now().UnixNano())
				for _, m := range r.machines {
					m.kill()
				}
				r.note("all processes are killed, time %d; %d tokens went to requests that servers have begun", n+1, requestTokens*count(&ran))
				time.Sleep(killEvery)
			}
		}()
	}
	var all sync.WaitGroup
	var sent, falselyRefused atomic.Int64
	var firstRefusal atomic.Int64
	statuses := &tally{all: map[string]int{}}
	limit := time.Now().Add(85 * time.Second)
	for n := 0; time.Now().Before(limit); n++ {
		if at := firstRefusal.Load(); at != 0 && time.Now().UnixNano() > at+int64(refusedFor) {
			break
		}
		all.Go(func() {
			sent.Add(1)
			status := askForTokens(r.machines[n%tokenMachines], fmt.Sprint("q-", n))
			statuses.add(status)
			inTouch := time.Since(time.Unix(0, lastKill.Load())) > contact
			if status != "402" || !inTouch {
				return
			}
			used := requestTokens * (count(&ran) + 1)
			if float64(used) <= owedShare*reserved {
				falselyRefused.Add(1)
				if firstRefusal.CompareAndSwap(0, time.Now().UnixNano()) {
					r.note("q-%d gets 402, though at most %d of %d tokens went to servers", n, used-requestTokens, reserved)
				}
				return
			}
			firstRefusal.CompareAndSwap(0, time.Now().UnixNano())
		})
		time.Sleep(requestEvery)
	}
	all.Wait()
	served := requestTokens * count(&ran)
	allowed := 5 + sent.Load()/500
	r.note("answers: %v", statuses.all)
	r.note("at most %d of %d tokens went to servers (%.3f); %d of %d requests got 402 though they were owed, %d allowed", served, reserved, float64(served)/reserved, falselyRefused.Load(), sent.Load(), allowed)
	if firstRefusal.Load() == 0 {
		return false, errors.New("the tokens were not used up")
	}
	return falselyRefused.Load() > allowed, nil
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

func (t *tally) add(how string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.all[how]++
}
