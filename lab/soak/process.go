package soak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/gaplink/gaplink/lab/loopback"
	"github.com/gaplink/gaplink/platform"
	"github.com/gaplink/gaplink/settings"
)

const (
	// stopGrace is the time allowed for a planned stop, and stopNotice the first part of it, in
	// which a router still accepts requests.
	stopGrace  = 4 * time.Second
	stopNotice = 500 * time.Millisecond
	// gatewayProgram is in the same directory as the lab's executable.
	gatewayProgram = "gaplink-gateway"
)

// router is a router whose process is restarted whenever it exits as requested.
type router struct {
	number   int
	settings settings.Gateway
	path     string
	spawn    *spawner
	oracle   *Oracle

	mu          sync.Mutex
	cmd         *exec.Cmd
	incarnation int
	// started is the start time of the current process.
	started time.Time
	// stopRequested is set if the current process was told to exit, and downtime is the time until
	// the next process starts.
	stopRequested bool
	downtime      time.Duration
	launched      bool
	closed        bool
	exited        chan struct{}
}

// routerSource returns the loopback address from which a router connects to servers.
func routerSource(number int) string { return fmt.Sprintf("127.0.2.%d", number+1) }

// lowDescriptorLimit is the descriptor limit of every second router, so that its connection limits
// are reached.
const lowDescriptorLimit = 400

func newRouter(dir string, number int, storeAddr string, spawn *spawner, o *Oracle) (*router, error) {
	s := settings.DefaultGateway()
	s.Instance = settings.GatewayInstance{ID: fmt.Sprint("r", number), Domain: "z"}
	for _, addr := range []*string{&s.Listen.Callers, &s.Listen.Ready, &s.Listen.Peers} {
		var err error
		if *addr, err = loopback.FreeAddr("127.0.0.1"); err != nil {
			return nil, err
		}
	}
	s.Store.Address = storeAddr
	s.Servers.Source = routerSource(number)
	if number%2 == 1 {
		s.Files.Limit = lowDescriptorLimit
	}
	s.Stop = settings.GatewayStop{Grace: settings.Duration(stopGrace), Notice: settings.Duration(stopNotice)}
	r := &router{
		number: number, settings: s, path: filepath.Join(dir, s.Instance.ID+".toml"),
		spawn: spawn, oracle: o, exited: make(chan struct{}),
	}
	return r, r.writeSettings()
}

func (r *router) writeSettings() error {
	text, err := toml.Marshal(r.settings)
	if err != nil {
		return err
	}
	return replaceFile(r.path, text)
}

// writeNextSettings writes the settings of the next process. The first one starts together with the whole fleet, which
// starts for the first time. The caller holds r.mu.
func (r *router) writeNextSettings() error {
	r.settings.Fleet.FirstStart = r.incarnation == 0
	return r.writeSettings()
}

// replaceFile writes a file atomically: a concurrent reader sees the old text or the new one.
func replaceFile(path string, text []byte) error {
	next := path + ".next"
	if err := os.WriteFile(next, text, 0o644); err != nil {
		return err
	}
	return os.Rename(next, path)
}

// run keeps a process running until the router is closed.
func (r *router) run(ctx context.Context) {
	defer close(r.exited)
	for !r.isClosed() && ctx.Err() == nil {
		cmd, err := r.start(ctx)
		if err != nil {
			r.oracle.Ended(r.process(), time.Now(), err.Error())
			return
		}
		_ = cmd.Wait() // the exit status is in ProcessState
		r.mu.Lock()
		stopRequested, downtime := r.stopRequested, r.downtime
		r.cmd = nil
		r.mu.Unlock()
		if !stopRequested && ctx.Err() == nil {
			r.oracle.Ended(r.process(), time.Now(), cmd.ProcessState.String())
			return
		}
		time.Sleep(downtime)
	}
}

func (r *router) isClosed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closed
}

// start starts the next process and appends its log to a file.
func (r *router) start(ctx context.Context) (*exec.Cmd, error) {
	log, err := os.OpenFile(r.path+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	cmd := exec.CommandContext(ctx, filepath.Join(filepath.Dir(self), gatewayProgram), "run", "--config", r.path)
	cmd.Stdout, cmd.Stderr = log, log
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.writeNextSettings(); err != nil {
		return nil, err
	}
	if err := r.spawn.start(cmd); err != nil {
		return nil, err
	}
	r.cmd, r.stopRequested = cmd, r.closed
	r.incarnation++
	r.started = time.Now()
	if r.closed {
		_ = cmd.Process.Signal(syscall.SIGTERM)
	}
	return cmd, nil
}

// process returns the current incarnation.
func (r *router) process() Process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Process{r.number, r.incarnation}
}

// signal sends a signal to the current process, if any.
func (r *router) signal(s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cmd != nil {
		_ = r.cmd.Process.Signal(s) // the process may have just exited
	}
}

// kill kills the current process; the next one starts after the downtime.
func (r *router) kill(downtime time.Duration) {
	r.mu.Lock()
	r.stopRequested, r.downtime = true, downtime
	r.mu.Unlock()
	r.signal(syscall.SIGKILL)
}

// stop asks the current process to exit and kills it after stopGrace. It returns the time of the
// kill, or the zero time if none was needed.
func (r *router) stop(downtime time.Duration) (killed time.Time) {
	r.mu.Lock()
	r.stopRequested, r.downtime = true, downtime
	incarnation := r.incarnation
	r.mu.Unlock()
	r.signal(syscall.SIGTERM)
	for end := time.Now().Add(stopGrace); time.Now().Before(end); time.Sleep(pollInterval) {
		if !r.isRunning(incarnation) {
			return time.Time{}
		}
	}
	killed = time.Now()
	r.signal(syscall.SIGKILL)
	return killed
}

// pollInterval is the time between two checks of an awaited condition.
const pollInterval = 20 * time.Millisecond

func (r *router) isRunning(incarnation int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cmd != nil && r.incarnation == incarnation
}

// startupTime is how long after its start a process gets no SIGHUP for changed settings. A SIGHUP
// that arrives before the program handles it ends the process, and the process reads the file at
// its start and every few seconds anyway.
const startupTime = 200 * time.Millisecond

// reload changes the settings and signals the process to read them.
func (r *router) reload(slack float64) error {
	r.oracle.SetRetrySlack(slack)
	r.mu.Lock()
	r.settings.Retries.Slack = slack
	err := r.writeSettings()
	started := time.Since(r.started) > startupTime
	r.mu.Unlock()
	if started {
		r.signal(syscall.SIGHUP)
	}
	return err
}

// isReady sends the same readiness check as the platform's load balancer.
func (r *router) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + r.settings.Listen.Ready + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until the router is ready and reports whether that happened in time.
func (r *router) awaitReady(within time.Duration) bool {
	for end := time.Now().Add(within); !r.isReady(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

// launch runs the router until it is closed or the context ends.
func (r *router) launch(ctx context.Context) {
	r.mu.Lock()
	r.launched = true
	r.mu.Unlock()
	go r.run(ctx)
}

// close stops the router gracefully and waits until its process has exited.
func (r *router) close() {
	r.mu.Lock()
	r.closed = true
	launched := r.launched
	r.mu.Unlock()
	if !launched {
		return
	}
	r.signal(syscall.SIGCONT)
	r.stop(0)
	<-r.exited
}

// spawner starts processes that the kernel kills when this process ends, even when this process is
// itself killed. Pdeathsig ties a child to the thread that starts it, so one locked thread starts
// all of them and lives as long as this process.
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
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	started := make(chan error)
	s.jobs <- func() { started <- cmd.Start() }
	return <-started
}
