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
	// grace is a planned stop's time, and notice its first part, in which a router
	// still takes requests.
	grace  = 4 * time.Second
	notice = 500 * time.Millisecond
	// gatewayProgram lies beside the lab's own.
	gatewayProgram = "gaplink-gateway"
)

// router is one router: a process that is started anew whenever it has ended.
type router struct {
	number   int
	settings settings.Gateway
	path     string
	spawn    *spawner
	oracle   *Oracle

	mu   sync.Mutex
	cmd  *exec.Cmd
	life int
	// started is when the present process was.
	started time.Time
	// told tells that the present process was told to end, and away is how long
	// the router stays away then.
	told   bool
	away   time.Duration
	closed bool
	gone   chan struct{}
}

// fewDescriptors is the limit of every second router, so that its bounds on connections are met.
const fewDescriptors = 400

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
	if number%2 == 1 {
		s.Files.Limit = fewDescriptors
	}
	s.Stop = settings.GatewayStop{Grace: settings.Duration(grace), Notice: settings.Duration(notice)}
	r := &router{
		number: number, settings: s, path: filepath.Join(dir, s.Instance.ID+".toml"),
		spawn: spawn, oracle: o, gone: make(chan struct{}),
	}
	return r, r.writeSettings()
}

func (r *router) writeSettings() error {
	text, err := toml.Marshal(r.settings)
	if err != nil {
		return err
	}
	return replace(r.path, text)
}

// replace writes a file that a process may read meanwhile: it reads the old text or the new one.
func replace(path string, text []byte) error {
	next := path + ".next"
	if err := os.WriteFile(next, text, 0o644); err != nil {
		return err
	}
	return os.Rename(next, path)
}

// run keeps a process running until the router is closed.
func (r *router) run(ctx context.Context) {
	defer close(r.gone)
	for !r.isClosed() && ctx.Err() == nil {
		cmd, err := r.start(ctx)
		if err != nil {
			r.oracle.Ended(r.process(), time.Now(), err.Error())
			return
		}
		_ = cmd.Wait() // how it ended is in the state
		r.mu.Lock()
		told, away := r.told, r.away
		r.cmd = nil
		r.mu.Unlock()
		if !told && ctx.Err() == nil {
			r.oracle.Ended(r.process(), time.Now(), cmd.ProcessState.String())
			return
		}
		time.Sleep(away)
	}
}

func (r *router) isClosed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closed
}

// start starts the next process; its log goes to the end of a file.
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
	if err := r.spawn.start(cmd); err != nil {
		return nil, err
	}
	r.cmd, r.told = cmd, r.closed
	r.life++
	r.started = time.Now()
	if r.closed {
		_ = cmd.Process.Signal(syscall.SIGTERM)
	}
	return cmd, nil
}

// process identifies the present life.
func (r *router) process() Process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Process{r.number, r.life}
}

// signal sends a signal to the present process, if there is one.
func (r *router) signal(s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cmd != nil {
		_ = r.cmd.Process.Signal(s) // it may have ended just now
	}
}

// kill ends the present process at once; the next comes after the time away.
func (r *router) kill(away time.Duration) {
	r.mu.Lock()
	r.told, r.away = true, away
	r.mu.Unlock()
	r.signal(syscall.SIGKILL)
}

// stop asks the present process to end, and kills it after its grace. It returns
// when it was killed, or zero.
func (r *router) stop(away time.Duration) (killed time.Time) {
	r.mu.Lock()
	r.told, r.away = true, away
	life := r.life
	r.mu.Unlock()
	r.signal(syscall.SIGTERM)
	for end := time.Now().Add(grace); time.Now().Before(end); time.Sleep(pollEvery) {
		if !r.lives(life) {
			return time.Time{}
		}
	}
	killed = time.Now()
	r.signal(syscall.SIGKILL)
	return killed
}

// pollEvery is how often something awaited is looked at.
const pollEvery = 20 * time.Millisecond

func (r *router) lives(life int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cmd != nil && r.life == life
}

// bootTime is how long after its start a process is not told of changed settings: a
// SIGHUP that comes before the program runs ends it, and it reads the file at its
// start and every few seconds anyway.
const bootTime = 200 * time.Millisecond

// reload changes the settings and tells the process.
func (r *router) reload(slack float64) error {
	r.mu.Lock()
	r.settings.Retries.Slack = slack
	err := r.writeSettings()
	booted := time.Since(r.started) > bootTime
	r.mu.Unlock()
	if booted {
		r.signal(syscall.SIGHUP)
	}
	return err
}

// ready asks as the platform's balancer does.
func (r *router) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + r.settings.Listen.Ready + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until the router is ready, for some time at most.
func (r *router) awaitReady(within time.Duration) bool {
	for end := time.Now().Add(within); !r.ready(); time.Sleep(pollEvery) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

// close ends the router in order and waits until it is gone.
func (r *router) close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.signal(syscall.SIGCONT)
	r.stop(0)
	<-r.gone
}

// spawner starts processes that the kernel ends with this one, also if it is
// killed: they are tied to the thread that starts them, which lives as long.
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
