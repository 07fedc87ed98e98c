package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"text/template"
	"time"

	"github.com/gaplink/gaplink/lab/loopback"
	"github.com/gaplink/gaplink/platform"
	"github.com/gaplink/gaplink/platform/standin"
)

// size is what a machine has.
type size struct {
	memoryMB, files int
	mbps            float64
}

// rig holds the stand-ins and the processes of a case.
type rig struct {
	daemon  string
	trouble bool
	size    size
	// timeoutMs is the timeout of the route.
	timeoutMs int
	dir       string
	store     *standin.Store
	address   string // of the store
	begun     time.Time

	mu       sync.Mutex
	record   *os.File
	machines []*machine
	closed   bool
}

func newRig(daemon, record string, trouble bool) (*rig, error) {
	dir, err := os.MkdirTemp("", "faultrig")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	r := &rig{daemon: daemon, trouble: trouble, dir: dir, store: standin.NewStore(), begun: time.Now(), record: f, timeoutMs: 30_000}
	r.address, err = serve(r.store)
	r.note("disruption: %t", trouble)
	return r, err
}

// serve serves a stand-in at a free loopback address.
func serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }() // ends with this process
	return l.Addr().String(), nil
}

// note writes a line to the record, with the time since the start.
func (r *rig) note(format string, args ...any) {
	line := fmt.Sprintf("%7.3f  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.record.WriteString(line) // a failed write shows as a record that ends early
}

// close ends all processes that were started.
func (r *rig) close() {
	r.mu.Lock()
	r.closed = true
	machines := r.machines
	r.mu.Unlock()
	for _, m := range machines {
		m.end()
	}
	_ = os.RemoveAll(r.dir)
}

// machine is a machine of the platform: a process that is started again whenever it ends.
type machine struct {
	rig    *rig
	name   string
	file   string
	listen struct{ callers, ready, peers string }

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	ended  bool
	// starts counts the processes; ownEnds those that ended before the case did, also by its kill.
	starts, ownEnds int
	peakMB          int
}

// settingsText is deploy/gateway.toml as the platform fills it for a small deployment.
var settingsText = template.Must(template.New("").Parse(`[instance]
id = "{{.Name}}"
domain = "z"

[listen]
callers = "{{.Callers}}"
ready = "{{.Ready}}"
peers = "{{.Peers}}"

[store]
address = "{{.Store}}"

[fleet]
seeds = [{{.Seeds}}]
{{if .First}}first_start = true{{end}}

[retries]
ratio = 0.2
slack = 52
window = "10s"

[regions]
"z" = "r"

[stop]
grace = "8s"

[memory]
limit_mb = {{.Memory}}

[files]
limit = {{.Files}}

[link]
mbps = {{.Mbps}}

[bounds]
apply = "2000ms"
leave = "2000ms"
`))

// startMachines starts a fleet.
func (r *rig) startMachines(n int) error {
	for i := range n {
		m := &machine{rig: r, name: fmt.Sprint("edge-", i+1), exited: make(chan struct{})}
		m.file = filepath.Join(r.dir, m.name+".toml")
		for _, a := range []*string{&m.listen.callers, &m.listen.ready, &m.listen.peers} {
			var err error
			if *a, err = loopback.FreeAddr("127.0.0.1"); err != nil {
				return err
			}
		}
		r.machines = append(r.machines, m)
	}
	for _, m := range r.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	for _, m := range r.machines {
		if !m.awaitReady(20 * time.Second) {
			return fmt.Errorf("%s did not become ready", m.name)
		}
	}
	r.note("%d machines are ready", n)
	return nil
}

func (m *machine) writeSettings() error {
	var seeds []string
	for _, o := range m.rig.machines[:min(3, len(m.rig.machines))] {
		seeds = append(seeds, strconv.Quote(o.listen.peers))
	}
	var text bytes.Buffer
	err := settingsText.Execute(&text, map[string]any{
		"Name": m.name, "Callers": m.listen.callers, "Ready": m.listen.ready, "Peers": m.listen.peers,
		"Store": m.rig.address, "Memory": m.rig.size.memoryMB, "Files": m.rig.size.files, "Mbps": m.rig.size.mbps, "Seeds": strings.Join(seeds, ","), "First": m.starts == 0,
	})
	if err != nil {
		return err
	}
	return os.WriteFile(m.file, text.Bytes(), 0o600)
}

// start starts the next process of the machine. The caller does not hold the lock.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ended {
		return nil
	}
	if err := m.writeSettings(); err != nil {
		return err
	}
	log, err := os.OpenFile(m.file+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(m.rig.daemon, "run")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GAPLINK_SETTINGS=" + m.file}
	cmd.Stdout, cmd.Stderr = log, log
	if err := startBound(cmd); err != nil {
		return err
	}
	m.cmd = cmd
	m.starts++
	go m.wait(cmd)
	go m.watchMemory(cmd)
	return nil
}

// starts are the processes to start, on one thread.
var starts = make(chan func())

// startBound starts a process that the kernel kills when this one ends, however it ends. That is bound to the thread which starts
// the process, so one thread starts all and lives as long as this process.
func startBound(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	starts <- func() { started <- cmd.Start() }
	return <-started
}

func init() {
	go func() {
		runtime.LockOSThread()
		for start := range starts {
			start()
		}
	}()
}

// restartDelay is the short delay after which the platform starts a process again.
const restartDelay = 500 * time.Millisecond

func (m *machine) wait(cmd *exec.Cmd) {
	_ = cmd.Wait() // the state says how it ended
	m.mu.Lock()
	ended := m.ended
	if !ended {
		m.ownEnds++
	}
	m.cmd = nil
	m.mu.Unlock()
	m.rig.note("%s: process %d ended: %s; by itself: %t", m.name, cmd.Process.Pid, cmd.ProcessState, !ended)
	if ended {
		close(m.exited)
		return
	}
	time.Sleep(restartDelay)
	if err := m.start(); err != nil {
		m.rig.note("%s: cannot start: %v", m.name, err)
	}
}

// watchMemory kills a process that is above the memory of its machine, as the platform does.
func (m *machine) watchMemory(cmd *exec.Cmd) {
	for range time.Tick(20 * time.Millisecond) {
		mb, ok := residentMB(cmd.Process.Pid)
		if !ok {
			return
		}
		m.mu.Lock()
		same := m.cmd == cmd
		m.peakMB = max(m.peakMB, mb)
		m.mu.Unlock()
		if !same {
			return
		}
		if mb > m.rig.size.memoryMB {
			m.rig.note("%s: process %d has %d MB of %d; killed", m.name, cmd.Process.Pid, mb, m.rig.size.memoryMB)
			_ = cmd.Process.Kill() // it may have just ended
			return
		}
	}
}

// residentMB returns the anonymous resident memory of a process in MB: what its program holds, without mapped files.
func residentMB(pid int) (int, bool) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, false
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(rest), " kB"))
			return kb >> 10, err == nil
		}
	}
	return 0, false
}

// kill kills the machine's process, which the platform then starts again.
func (m *machine) kill() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		_ = m.cmd.Process.Kill() // it may have just ended
	}
}

// end kills the machine's process for good.
func (m *machine) end() {
	m.mu.Lock()
	m.ended = true
	cmd := m.cmd
	m.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill() // it may have just ended
	select {
	case <-m.exited:
	case <-time.After(2 * time.Second):
	}
}

// isReady sends the readiness check of the platform.
func (m *machine) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + m.listen.ready + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (m *machine) awaitReady(within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if m.isReady() {
			return true
		}
	}
	return false
}
