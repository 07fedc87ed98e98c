package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gaplink/gaplink/platform"
	"github.com/gaplink/gaplink/platform/standin"
)

const (
	// A request has tokensIn tokens and is answered with tokensOut more, eventTokens in each event.
	tokensIn    = 622
	eventTokens = 9
	answerEvent = 42
	tokensOut   = eventTokens * answerEvent
	tenant      = "dealer"
	// reserved is the prepaid budget of the tenant.
	reserved = 1_000_000
	// fleetSize is the number of routers, and largeMbps the link of one of them.
	fleetSize        = 16
	largeMbps        = 200
	mbps             = 100
	retrySlack       = 214
	propagationBound = 3 * time.Second
	engineServers    = 10
	engineSlots      = 12
	// The tenant sends batch requests at once: batches of them with a pause of at least batchPause, each after the
	// next write of the budget, which takes renewalWait at most, and then drainBatches, one every drainEvery, until
	// its budget is used up.
	batch        = 50
	batches      = 7
	batchPause   = 2500 * time.Millisecond
	renewalWait  = 6 * time.Second
	drainBatches = 28
	drainEvery   = time.Second
	// The process that last wrote the budget is killed once, killDelay after the last of the batches with a pause
	// was sent, and the platform starts it again after restartDelay.
	killDelay    = 100 * time.Millisecond
	restartDelay = 100 * time.Millisecond
	// settleTime is the time between the start of the routers and that of the traffic.
	settleTime = 3 * time.Second
)

// budgetCase is the state of the case.
type budgetCase struct {
	rig *rig
	// edge is the router that gets all connections of the tenant's client.
	edge   *router
	number atomic.Int64
	// tokens are those of all requests whose answer reached the client, in and out, and runs the requests that
	// servers began.
	tokens, runs atomic.Int64

	mu       sync.Mutex
	statuses map[string]int
	// writes are the numbers of the last write of each process, and writer is the one that wrote last.
	writes map[string]int64
	writer string
	// renewed receives when a process has written the page without drawing tokens, and drawn is what each had
	// drawn at its last write.
	renewed chan struct{}
	drawn   map[string]int64
}

// runBudget kills, once, the process that last wrote the tenant's budget to the store. Rule BUDGET: more than its
// reserved goes to a tenant.
func runBudget(r *rig, trouble bool) (bool, error) {
	c := &budgetCase{rig: r, statuses: map[string]int{}, writes: map[string]int64{}, drawn: map[string]int64{}, renewed: make(chan struct{}, 1)}
	r.deployment = deployment{memoryMB: 284, files: 4200, mbps: mbps, slack: retrySlack, bound: propagationBound}
	if err := c.configure(); err != nil {
		return false, err
	}
	for n := range engineServers {
		id := fmt.Sprint("engine-", n)
		stop, err := r.serve(id, "gaplink-llm", engineSlots, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) { c.generate(id, w, req) }))
		if err != nil {
			return false, err
		}
		defer stop()
	}
	r.prepare = func() {
		r.routers[0].mbps = largeMbps
		c.edge = r.routers[fleetSize-1]
	}
	r.storeCall = c.observe
	if err := r.startRouters(fleetSize); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	c.traffic(trouble)
	c.report()
	return c.tokens.Load() > reserved, nil
}

func (c *budgetCase) configure() error {
	route := func(name string, priority int) map[string]any {
		return map[string]any{
			"name": name, "hostname": standin.Host, "pathPrefix": "/" + name + "/", "type": "streaming", "streamResume": true, "timeoutMs": 15000,
			"sloMs": 800, "interTokenMs": 500, "priority": priority, "backend": "gaplink-llm", "attempts": 2,
		}
	}
	return c.rig.store.Put(platform.ConfigKey, map[string]any{
		"version":  1,
		"routes":   []any{route("review", 0), route("tag", 2)},
		"backends": []any{map[string]any{"name": "gaplink-llm", "healthCheck": standin.HealthPath, "maxConnections": 630, "runtime": map[string]any{"slots": engineSlots, "stride": eventTokens}}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": tenant, "apiKeys": []string{"key-dealer"}, "reserved": reserved}},
	})
}

// generate runs one request at a model server.
func (c *budgetCase) generate(id string, w http.ResponseWriter, req *http.Request) {
	if checkExpected(id, w, req) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body) // a body that is cut ends the run with its connection
	c.runs.Add(1)
	sent := 0
	defer func() {
		c.rig.record.detail("%s has run %s for %s: %d events", id, req.Header.Get("Request-Id"), req.Header.Get("Tenant"), sent)
	}()
	w.Header().Set("Response-Signature", "s."+req.Header.Get("Request-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(req.Header.Get("Last-Event-Id")) // absent: from the start
	for n := from + 1; n <= answerEvent; n++ {
		time.Sleep(4 * time.Millisecond)
		if _, err := io.WriteString(w, standin.Event(req.Header.Get("Request-Id"), n)); err != nil {
			return
		}
		sent++
		_ = http.NewResponseController(w).Flush() // fails only on a closed connection
	}
}

// budgetPage is what the case reads of the budgets that the routers keep in the store.
type budgetPage struct {
	Budgets map[string]struct {
		Settled int64            `json:"settled"`
		Holders map[string]int64 `json:"holders"`
	} `json:"budgets"`
	Ops map[string]int64 `json:"ops"`
}

// observe reports writes of the page of budgets once they are done.
func (c *budgetCase) observe(req *http.Request) func() {
	if req.Method != http.MethodPut || !strings.Contains(req.URL.Path, "/budgets/") {
		return nil
	}
	body, _ := io.ReadAll(req.Body)
	req.Body = io.NopCloser(bytes.NewReader(body))
	return func() {
		var p budgetPage
		if text, err := c.rig.store.Value(strings.TrimPrefix(req.URL.Path, "/-/objects/")); err == nil && json.Unmarshal(text, &p) == nil {
			c.written(p)
		}
	}
}

// written records a write of the page.
func (c *budgetCase) written(p budgetPage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := p.Budgets[tenant]
	issued := b.Settled
	for _, n := range b.Holders {
		issued += n
	}
	for holder, number := range p.Ops {
		if c.writes[holder] == number {
			continue
		}
		c.writes[holder], c.writer = number, holder
		c.rig.record.line("store: %s has written the budget; tokens issued %d, to itself %d", holder, issued, b.Holders[holder])
		if drawn, known := c.drawn[holder]; known && drawn == b.Holders[holder] {
			select {
			case c.renewed <- struct{}{}:
			default:
			}
		}
		c.drawn[holder] = b.Holders[holder]
	}
}

// lastWriter returns the router whose process wrote the page last.
func (c *budgetCase) lastWriter() *router {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range c.rig.routers {
		if strings.HasPrefix(c.writer, o.id+"/") {
			return o
		}
	}
	return nil
}

// awaitRenewal waits for the next such write.
func (c *budgetCase) awaitRenewal() {
	select {
	case <-c.renewed:
	default:
	}
	select {
	case <-c.renewed:
	case <-time.After(renewalWait):
	}
}

// traffic sends the batches, and kills the process that wrote the budget last.
func (c *budgetCase) traffic(trouble bool) {
	var all sync.WaitGroup
	send := func(n int) {
		c.rig.record.line("batch %d; %d tokens of %d so far", n, c.tokens.Load(), reserved)
		for i := range batch {
			all.Go(func() { c.send(i) })
		}
	}
	for n := range batches {
		time.Sleep(batchPause)
		c.awaitRenewal()
		send(n)
	}
	if trouble {
		time.Sleep(killDelay)
		c.killLastWriter()
	}
	for n := range drainBatches {
		time.Sleep(drainEvery)
		send(batches + n)
	}
	all.Wait()
}

func (c *budgetCase) killLastWriter() {
	o := c.lastWriter()
	if o == nil {
		return
	}
	c.rig.record.line("%s wrote the budget last and is killed", o.id)
	o.kill()
	time.Sleep(restartDelay)
	if err := o.start(false); err != nil {
		c.rig.record.line("%s could not be started: %v", o.id, err)
		return
	}
	c.rig.record.line("%s is started again", o.id)
}

// send sends one request on a new connection.
func (c *budgetCase) send(i int) {
	id := fmt.Sprint("req-", c.number.Add(1))
	path := "/review/1"
	if i%10 == 9 {
		path = "/tag/1"
	}
	status, events := c.exchange(id, path)
	c.rig.record.detail("%s, sent to %s, got %s and %d events", id, c.edge.id, status, events)
	c.mu.Lock()
	c.statuses[status]++
	c.mu.Unlock()
	if events > 0 {
		c.tokens.Add(tokensIn + int64(events)*eventTokens)
	}
}

func (c *budgetCase) exchange(id, path string) (status string, events int) {
	conn, err := net.DialTimeout("tcp", c.edge.callers, time.Second)
	if err != nil {
		return "no connection", 0
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(15 * time.Second)) // fails only on a closed connection
	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 15000\r\nAuthorization: Token key-dealer\r\nModel: m\r\nToken-Count: %d,%d\r\nPrefix-Hash: %x:%d\r\nContent-Length: 2\r\n\r\nhi",
		path, standin.Host, id, tokensIn, tokensOut, id, tokensIn)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "no answer", 0
	}
	body, err := io.ReadAll(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return resp.Status, 0
	}
	if err != nil {
		return "cut", strings.Count(string(body), "\n\n")
	}
	return "200 whole", strings.Count(string(body), "\n\n")
}

func (c *budgetCase) report() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rig.record.line("requests by answer: %v; %d runs at servers", c.statuses, c.runs.Load())
	c.rig.record.line("tokens in and out of answered requests: %d; reserved: %d", c.tokens.Load(), reserved)
}
