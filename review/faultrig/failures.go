package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// The case "failures": the operator lowers the timeout of a route with long answers to about the time that its runs take.
const (
	documentBytes = 1_500_000
	// workTime and workSpread are the time of a run.
	workTime, workSpread = 466 * time.Millisecond, 18 * time.Millisecond
	// usualTimeout and newTimeout are the route's timeouts in ms. The clients wait for longer than either.
	usualTimeout, newTimeout = 2000, 500
	documentServers          = 3
	// documentClients are so few that their answers together are far from what a machine may hold.
	documentClients        = 24
	timeBefore, timeBehind = 5 * time.Second, 30 * time.Second
)

// given holds the statuses of the answers that servers gave, by request id.
type given struct {
	mu     sync.Mutex
	status map[string]int
}

func (g *given) set(id string, status int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.status[id] = status
}

func (g *given) of(id string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.status[id]
}

// worker is a sound server: it works for a while and then sends its answer, or a 504 of its own when the time that it was given
// is over.
type worker struct {
	id   string
	gave *given
}

func (s *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == healthPath {
		w.Header().Set("Instance-Id", s.id)
		return
	}
	begun := time.Now()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	work, status, size := workTime+rand.N(workSpread), http.StatusOK, documentBytes
	if ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err == nil && work > time.Duration(ms)*time.Millisecond {
		work, status, size = time.Duration(ms)*time.Millisecond, http.StatusGatewayTimeout, 0
	}
	time.Sleep(time.Until(begun.Add(work)))
	id := r.Header.Get("Request-Id")
	s.gave.set(id, status)
	w.Header().Set("Request-Id", id)
	w.Header().Set("Response-Signature", "signed-by-"+s.id)
	w.Header().Set("Content-Length", strconv.Itoa(size))
	w.WriteHeader(status)
	_, _ = w.Write(make([]byte, size)) // fails only if the router has left
}

func playFailures(r *rig) (bool, error) {
	gave := &given{status: map[string]int{}}
	var servers []http.Handler
	for n := range documentServers {
		servers = append(servers, &worker{id: serverID(n), gave: gave})
	}
	r.timeoutMs = usualTimeout
	if err := r.startService(64, servers...); err != nil {
		return false, err
	}
	r.size = size{284, 4200, 1000}
	if err := r.startMachines(1); err != nil {
		return false, err
	}
	time.Sleep(inTouchAfter)
	m := r.machines[0]
	end := time.Now().Add(timeBefore + timeBehind)
	var mu sync.Mutex
	count := map[string]int{}
	mixed := 0
	var all sync.WaitGroup
	for c := range documentClients {
		all.Go(func() {
			k := &keptConn{addr: m.listen.callers}
			defer k.close()
			time.Sleep(rand.N(time.Second))
			for n := 0; time.Now().Before(end); n++ {
				id := fmt.Sprintf("document-%d-%d", c, n)
				how := "not connected"
				if k.isOpen() || k.connect() {
					status, signature, err := k.askSigned(id, documentBytes)
					its := gave.of(id)
					how = fmt.Sprintf("client got %d, signed: %t, whole: %t; the server gave %d", status, signature != "", err == nil, its)
					if signature != "" && status != its {
						r.note("%s: %s, %s", id, how, signature)
						mu.Lock()
						mixed++
						mu.Unlock()
					}
				}
				mu.Lock()
				count[how]++
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	time.Sleep(timeBefore)
	if r.trouble {
		r.timeoutMs = newTimeout
		if err := r.configure(8); err != nil {
			return false, err
		}
		r.note("version 8 acknowledged: timeoutMs is %d", newTimeout)
	}
	all.Wait()
	whole := 0
	for how, n := range count {
		r.note("%d times: %s", n, how)
		whole += n
	}
	r.note("failures with the server's signature and another status than the server gave: %d of %d requests", mixed, whole)
	if whole == 0 {
		return false, errors.New("nothing was sent")
	}
	return mixed > 0, nil
}
