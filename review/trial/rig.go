package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/gaplink/gaplink/lab/loopback"
	"github.com/gaplink/gaplink/platform"
	"github.com/gaplink/gaplink/platform/standin"
)

const (
	// gatewayProgram is the program of the deploy file, relative to the root of the repository.
	gatewayProgram = "target/gaplink-gateway"
	// readyTimeout bounds the start of a router.
	readyTimeout = 15 * time.Second
	pollInterval = 10 * time.Millisecond
)

// record writes what happened, with the time since the start.
type record struct {
	mu    sync.Mutex
	out   *os.File
	begun time.Time
}

// line writes a line, also to standard output.
func (r *record) line(format string, args ...any) { fmt.Print(r.detail(format, args...)) }

// detail writes a line to the record alone and returns it.
func (r *record) detail(format string, args ...any) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf("%8.3f s  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.out.WriteString(text) // a record that cannot be written shows in its absence
	return text
}

// rig is the platform's store and the routers of a case.
type rig struct {
	record  *record
	dir     string
	store   *standin.Store
	web     *http.Server
	address string
	// deployment holds the settings that are the same for all routers.
	deployment deployment
	routers    []*router
	spawn      *spawner
	// prepare, if set, changes the routers before they start.
	prepare func()
	// storeCall, if set, is called for each call of the store before it is served, and returns a function to
	// call afterwards, or nil.
	storeCall func(req *http.Request) func()
}

// serveStore serves a call of the platform's store.
func (r *rig) serveStore(w http.ResponseWriter, req *http.Request) {
	if r.storeCall != nil {
		if after := r.storeCall(req); after != nil {
			defer after()
		}
	}
	r.store.ServeHTTP(w, req)
}

// spawner starts processes that the kernel ends when this one ends. That depends on the thread that starts
// them, so one thread starts all.
type spawner struct{ jobs chan func() }

func newSpawner() *spawner {
	s := &spawner{jobs: make(chan func())}
	go func() {
		runtime.LockOSThread()
		for job := range s.jobs {
			job()
		}
	}()
	return s
}

func (s *spawner) start(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	s.jobs <- func() { started <- cmd.Start() }
	return <-started
}

// deployment is the part of a sheet that reaches the settings.
type deployment struct {
	memoryMB, files int
	mbps            float64
	slack           float64
	// bound is that on a new configuration and on a server that leaves.
	bound time.Duration
}

func newRig(rec *record) (*rig, error) {
	if _, err := os.Stat(gatewayProgram); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "gaplink-review-")
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &rig{record: rec, dir: dir, store: standin.NewStore(), address: l.Addr().String(), deployment: deployment{memoryMB: 284, files: 4200, mbps: 1000, slack: 52, bound: 2 * time.Second}, spawn: newSpawner()}
	r.web = &http.Server{Handler: http.HandlerFunc(r.serveStore)}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		r.close()
		os.Exit(exitCouldNot)
	}()
	go func() { _ = r.web.Serve(l) }() // returns when the rig is closed
	return r, nil
}

// close ends all processes of the case and removes its files.
func (r *rig) close() {
	for _, one := range r.routers {
		one.kill()
	}
	_ = r.web.Close()
	_ = os.RemoveAll(r.dir)
}

// router is one router and its current process.
type router struct {
	rig                           *rig
	id, zone                      string
	callers, ready, peers, metric string
	path                          string
	seeds                         []string
	mbps                          float64

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended
}

// startRouters starts routers, waits until they are ready, and logs into the folder of the rig.
func (r *rig) startRouters(n int) error {
	for i := range n {
		one := &router{rig: r, id: fmt.Sprintf("edge-%d", i+1), zone: "hall", mbps: r.deployment.mbps}
		ip := fmt.Sprintf("127.0.1.%d", i+1)
		for _, addr := range []*string{&one.callers, &one.ready, &one.peers, &one.metric} {
			var err error
			if *addr, err = loopback.FreeAddr(ip); err != nil {
				return err
			}
		}
		r.routers = append(r.routers, one)
	}
	if r.prepare != nil {
		r.prepare()
	}
	for _, one := range r.routers {
		for _, seed := range r.routers[:min(3, n)] {
			one.seeds = append(one.seeds, `"`+seed.peers+`"`)
		}
		if err := one.start(true); err != nil {
			return err
		}
	}
	for _, one := range r.routers {
		if !one.awaitReady(readyTimeout) {
			return fmt.Errorf("%s is not ready after %s", one.id, readyTimeout)
		}
	}
	return nil
}

// settings returns the settings in the layout of deploy/gateway.toml.
func (o *router) settings(first bool) string {
	d := o.rig.deployment
	firstStart := ""
	if first {
		firstStart = "first_start = true"
	}
	return fmt.Sprintf(`[instance]
id = %q
domain = %q
[listen]
callers = %q
ready = %q
peers = %q
metrics = %q
[store]
address = %q
[fleet]
seeds = [%s]
%s
[retries]
ratio = 0.2
slack = %g
[regions]
"hall" = "region"
[stop]
grace = "8s"
[memory]
limit_mb = %d
[files]
limit = %d
[link]
mbps = %g
[bounds]
apply = %q
leave = %q
`, o.id, o.zone, o.callers, o.ready, o.peers, o.metric, o.rig.address, strings.Join(o.seeds, ", "), firstStart, d.slack, d.memoryMB, d.files, o.mbps, d.bound, d.bound)
}

// start starts a process with the command of the deploy file. The process is killed if this one ends.
func (o *router) start(first bool) error {
	o.path = filepath.Join(o.rig.dir, o.id+".toml")
	if err := os.WriteFile(o.path, []byte(o.settings(first)), 0o644); err != nil {
		return err
	}
	log, err := os.OpenFile(o.path+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(gatewayProgram, "run")
	cmd.Env = []string{platform.SettingsVariable + "=" + o.path, "PATH=" + os.Getenv("PATH"), "HOME=" + o.rig.dir}
	cmd.Stdout, cmd.Stderr = log, log
	done := make(chan struct{})
	if err := o.rig.spawn.start(cmd); err != nil {
		return err
	}
	go func() {
		_ = cmd.Wait() // the state of the process tells the rest
		close(done)
	}()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.cmd, o.done = cmd, done
	return nil
}

// signal sends a signal to the current process.
func (o *router) signal(s syscall.Signal) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.cmd != nil {
		_ = o.cmd.Process.Signal(s) // the process may have ended
	}
}

// kill kills the current process and waits until it has ended.
func (o *router) kill() {
	o.signal(syscall.SIGKILL)
	o.await(time.Second)
}

// await reports whether the current process ends in time.
func (o *router) await(within time.Duration) bool {
	o.mu.Lock()
	done := o.done
	o.mu.Unlock()
	if done == nil {
		return true
	}
	select {
	case <-done:
		return true
	case <-time.After(within):
		return false
	}
}

// isReady asks as the platform's balancer does.
func (o *router) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + o.ready + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (o *router) awaitReady(within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(pollInterval) {
		if o.isReady() {
			return true
		}
	}
	return false
}

// errMisdirected is reported by servers that are not the expected one.
var errMisdirected = errors.New("another server is expected")

// checkExpected answers 421 if another server is expected.
func checkExpected(id string, w http.ResponseWriter, req *http.Request) error {
	w.Header().Set("Request-Id", req.Header.Get("Request-Id"))
	if want := req.Header.Get("Expect-Instance"); want != "" && want != id {
		w.Header().Set("Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return errMisdirected
	}
	return nil
}

// serve starts a server on a free port and registers it in the store under an id.
func (r *rig) serve(id, service string, slots int, handler http.Handler) (stop func(), err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+standin.HealthPath, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Instance-Id", id) })
	mux.Handle("/", handler)
	web := &http.Server{Handler: mux}
	go func() { _ = web.Serve(l) }() // returns when the server is closed
	entry := map[string]any{"backend": service, "address": l.Addr().String(), "zone": "hall", "version": "v1", "slots": slots, "state": "ready", "warmupLeftMs": 0, "sequence": 1}
	return func() { _ = web.Close() }, r.store.Put(platform.ServerKind+"/"+id, entry)
}
