package lab

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/gaplink/gaplink/backend"
	"github.com/gaplink/gaplink/lab/loopback"
	"github.com/gaplink/gaplink/membership"
	"github.com/gaplink/gaplink/settings"
	"github.com/gaplink/gaplink/store"
	"github.com/gaplink/gaplink/store/standin"
	"github.com/gaplink/gaplink/table"
)

// process is a started child process.
type process struct {
	cmd  *exec.Cmd
	addr string        // listen address, which a stand-in prints as its first line
	done chan struct{} // closed when the process has exited
}

// launch starts the process and waits for its exit in the background.
func (p *process) launch() error {
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.done = make(chan struct{})
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	return nil
}

// start prepares a program from the directory of this executable, with its logs
// appended to a file. The caller launches it.
func start(dir, name string, args ...string) (*process, error) {
	logs, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(filepath.Join(filepath.Dir(self), args[0]), args[1:]...)
	cmd.Stderr = logs
	return &process{cmd: cmd}, nil
}

// startStandin starts a stand-in and reads its address.
func startStandin(dir, name string, args ...string) (*process, error) {
	p, err := start(dir, name, append([]string{"gaplink-lab"}, args...)...)
	if err != nil {
		return nil, err
	}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.launch(); err != nil {
		return nil, err
	}
	line, err := bufio.NewReader(out).ReadString('\n')
	p.addr = strings.TrimSpace(line)
	return p, err
}

func (p *process) signal(s syscall.Signal) {
	if p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// end kills the process and waits for its exit.
func (p *process) end() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// routerNode is one router of the fleet.
type routerNode struct {
	id        string
	settings  settings.Settings
	path      string
	relayAddr string // address of its relay, by which the platform lists it
	process   *process
}

// fleet is a platform stand-in, backend servers and routers, as separate processes on
// loopback.
type fleet struct {
	dir      string
	platform *process
	engines  []*process
	service  *process
	routers  []*routerNode
	relays   *relays
	http     *http.Client
	stopped  atomic.Bool
}

func newFleet(dir string) *fleet {
	return &fleet{dir: dir, relays: newRelays(), http: &http.Client{Timeout: 5 * time.Second}}
}

// startAll starts all processes and waits until the routers are ready.
func (f *fleet) startAll(routers, engines int, seed uint64) error {
	var err error
	if f.platform, err = startStandin(f.dir, "platform", "platform", "--seed", fmt.Sprint(seed)); err != nil {
		return err
	}
	for i := range engines {
		p, err := startStandin(f.dir, fmt.Sprintf("engine%d", i+1), "engine")
		if err != nil {
			return err
		}
		f.engines = append(f.engines, p)
	}
	if f.service, err = startStandin(f.dir, "service", "service"); err != nil {
		return err
	}
	for i := range routers {
		if err := f.addRouter(i + 1); err != nil {
			return err
		}
	}
	return waitFor(readyTimeout, f.ready)
}

// addRouter writes a router's settings file, lists the router at the platform and starts it.
func (f *fleet) addRouter(n int) error {
	ip := fmt.Sprintf("127.0.1.%d", n)
	s := settings.Default()
	s.Instance.ID, s.Instance.Domain = fmt.Sprintf("r%d", n), fmt.Sprintf("fd%d", (n-1)%3+1)
	s.Instance.FenceAfter = settings.Duration(2 * time.Second)
	s.Platform.URL = "http://" + f.platform.addr
	s.Operator.KeyHash = operatorKeyHash()
	s.Requests.LeaveGrace = settings.Duration(500 * time.Millisecond)
	s.Budgets.Hold = settings.Duration(2 * time.Second)
	var err error
	if s.Listen.Callers, err = loopback.FreeAddr(ip); err != nil {
		return err
	}
	if s.Listen.Peers, err = loopback.FreeAddr(ip); err != nil {
		return err
	}
	r := &routerNode{id: s.Instance.ID, settings: s, path: filepath.Join(f.dir, s.Instance.ID+".toml")}
	if r.relayAddr, err = f.relays.add(s.Listen.Peers); err != nil {
		return err
	}
	text, err := toml.Marshal(s)
	if err != nil {
		return err
	}
	if err := os.WriteFile(r.path, text, 0o644); err != nil {
		return err
	}
	f.routers = append(f.routers, r)
	return f.startRouter(r)
}

// startRouter lists a router as live at the platform and starts its process.
func (f *fleet) startRouter(r *routerNode) error {
	if err := f.list(r, membership.Live); err != nil {
		return err
	}
	p, err := start(f.dir, r.id, "gaplinkd", "run", "--config", r.path)
	if err != nil {
		return err
	}
	r.process = p
	if err := p.launch(); err != nil {
		return err
	}
	go f.supervise(r, p)
	return nil
}

// exitFenced is the exit code of gaplinkd after the fleet declared it dead.
const exitFenced = 1

// supervise restarts a router that exited because it was fenced, as the supervisor of an
// instance does.
func (f *fleet) supervise(r *routerNode, p *process) {
	<-p.done
	if p.cmd.ProcessState.ExitCode() == exitFenced && !f.stopped.Load() {
		_ = f.startRouter(r)
	}
}

func (f *fleet) list(r *routerNode, state membership.State) error {
	m := membership.Member{ID: r.id, Kind: "router", Addr: r.relayAddr, Domain: r.settings.Instance.Domain, State: state}
	return f.put("/standin/instances/"+r.id, m)
}

func (f *fleet) ready() bool {
	for _, r := range f.routers {
		if !f.routerReady(r) {
			return false
		}
	}
	return true
}

func (f *fleet) routerReady(r *routerNode) bool {
	resp, err := f.http.Get("http://" + r.settings.Listen.Callers + "/healthz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// put sends JSON to the control endpoints of the platform stand-in.
func (f *fleet) put(path string, v any) error {
	return f.putTo(f.platform.addr, path, v)
}

func (f *fleet) putTo(addr, path string, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := f.http.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("PUT %s: %s", path, resp.Status)
	}
	return nil
}

func (f *fleet) get(addr, path string, into any) error {
	resp, err := f.http.Get("http://" + addr + path)
	if err != nil {
		return err
	}
	defer func() { _, _ = io.Copy(io.Discard, resp.Body); _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(into)
}

func (f *fleet) faults(faults standin.Faults) error {
	return f.put("/standin/faults", faults)
}

func (f *fleet) counts() (store.Counts, error) {
	var c store.Counts
	err := f.get(f.platform.addr, "/standin/counts", &c)
	return c, err
}

func (f *fleet) runs(p *process) ([]backend.Run, error) {
	var runs []backend.Run
	err := f.get(p.addr, "/standin/runs", &runs)
	return runs, err
}

// pools returns the pools of the backend servers: one model at two sites, and a plain
// service.
func (f *fleet) pools() []table.Pool {
	sites := []string{"old", "new"}
	pools := []table.Pool{{
		Name: "lookup-old", Kind: table.Service, Target: "lookup", Site: "old",
		Servers: []table.Server{{ID: "s1", Addr: f.service.addr}},
	}}
	for i, site := range sites {
		p := table.Pool{Name: "tagger-" + site, Kind: table.Model, Target: "tagger", Site: site}
		for j := i; j < len(f.engines); j += len(sites) {
			p.Servers = append(p.Servers, table.Server{ID: fmt.Sprintf("e%d", j+1), Addr: f.engines[j].addr})
		}
		pools = append(pools, p)
	}
	return pools
}

// stopAll kills all processes that were started.
func (f *fleet) stopAll() {
	f.stopped.Store(true)
	for _, r := range f.routers {
		if r.process != nil {
			r.process.signal(syscall.SIGCONT)
			r.process.end()
		}
	}
	for _, p := range append(f.engines, f.service, f.platform) {
		if p != nil {
			p.end()
		}
	}
}
