package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/gaplink/gaplink/platform/standin"
	"github.com/gaplink/gaplink/sockets"
)

// direction is the direction of bytes through a proxy.
type direction int

const (
	clientToServer direction = iota // from the client that dialed
	serverToClient
)

// Proxy forwards connections to an address and injects faults into them.
type Proxy struct {
	listener net.Listener

	mu      sync.Mutex
	target  string
	delay   time.Duration
	down    bool
	blocked [2]bool
	// restored is closed when the current block of a direction ends.
	restored chan struct{}
	// passing is closed for a direction while its bytes are held.
	passing [2]standin.Gate
	conns   map[*proxiedConn]bool
	// cuts are the partitions of clients by their IP address.
	cuts map[string]Partition
}

// Partition is how connections of a client fail while it is partitioned from a proxy's target.
type Partition int

// The ways in which a client is partitioned.
const (
	// PartitionSilent: open and new connections carry nothing.
	PartitionSilent Partition = iota
	// PartitionReset: open connections are reset, new ones too.
	PartitionReset
	// PartitionNew: open connections live on, new ones are reset.
	PartitionNew
	partitionKinds
)

// proxiedConn is one connection through a proxy.
type proxiedConn struct {
	proxy *Proxy
	ends  [2]*sockets.TCPConn // client, server
	// silent is set if the connection forwards nothing any more and signals that to neither end.
	silent bool
	// source is the client's IP address.
	source string
}

// NewProxy starts a proxy to target on a loopback address.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, conns: map[*proxiedConn]bool{}, cuts: map[string]Partition{}, restored: make(chan struct{})}
	go p.accept()
	return p, nil
}

// Addr returns the proxy's address.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Cut partitions the client with an IP address from the target until Heal is called.
func (p *Proxy) Cut(source string, how Partition) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cuts[source] = how
	for pc := range p.conns {
		switch {
		case pc.source != source:
		case how == PartitionSilent:
			pc.silent = true
		case how == PartitionReset:
			pc.reset()
		}
	}
}

// Heal ends the partition of a client. Connections that lost bytes stay silent.
func (p *Proxy) Heal(source string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.cuts, source)
}

// Retarget sends new connections to another address.
func (p *Proxy) Retarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// Delay delays each piece of data by d until it is called with 0.
func (p *Proxy) Delay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// Reset resets all open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for pc := range p.conns {
		pc.reset()
	}
}

// Silence makes all open connections drop all data for good. New connections work.
func (p *Proxy) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for pc := range p.conns {
		pc.silent = true
	}
}

// Down resets all connections, including new ones, until it is called with false.
func (p *Proxy) Down(down bool) {
	p.mu.Lock()
	p.down = down
	p.mu.Unlock()
	if down {
		p.Reset()
	}
}

// BlockDirection withholds the bytes of one direction until Restore is called. Connections that
// lost bytes are then reset.
func (p *Proxy) BlockDirection(d direction) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blocked[d] = true
}

// Restore ends the blocks of both directions.
func (p *Proxy) Restore() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blocked = [2]bool{}
	close(p.restored)
	p.restored = make(chan struct{})
}

// Hold keeps the bytes of one direction until the returned function is called, which forwards them. It returns false if
// they are held already.
func (p *Proxy) Hold(d direction) (release func(), ok bool) { return p.passing[d].Close() }

// Close closes the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Down(true)
	p.Restore()
	for d := range p.passing {
		p.passing[d].Open()
	}
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return // the listener is closed
		}
		go p.forward(sockets.NewTCPConn(c).(*sockets.TCPConn))
	}
}

func (p *Proxy) forward(client *sockets.TCPConn) {
	source, _, _ := net.SplitHostPort(client.RemoteAddr().String())
	pc := &proxiedConn{proxy: p, ends: [2]*sockets.TCPConn{client, nil}, source: source}
	p.mu.Lock()
	target, down := p.target, p.down
	how, isCut := p.cuts[source]
	pc.silent = isCut && how == PartitionSilent
	p.mu.Unlock()
	if down || isCut && how != PartitionSilent {
		pc.reset()
		return
	}
	server, err := net.Dial("tcp", target)
	if err != nil {
		pc.reset()
		return
	}
	pc.ends[serverToClient] = sockets.NewTCPConn(server).(*sockets.TCPConn)
	p.mu.Lock()
	p.conns[pc] = true
	down = p.down
	how, isCut = p.cuts[source] // it may have begun meanwhile
	pc.silent = pc.silent || isCut && how == PartitionSilent
	p.mu.Unlock()
	if down || isCut && how != PartitionSilent {
		pc.reset()
	}
	pc.run()
	p.mu.Lock()
	delete(p.conns, pc)
	p.mu.Unlock()
}

// run forwards bytes in both directions until both have ended.
func (pc *proxiedConn) run() {
	var both sync.WaitGroup
	both.Add(2)
	for _, d := range []direction{clientToServer, serverToClient} {
		go func() {
			defer both.Done()
			pc.copy(d)
		}()
	}
	both.Wait()
	for _, c := range pc.ends {
		_ = c.Close()
	}
}

const proxyBuffer = 16 << 10

// copy forwards the bytes of one direction. It forwards a clean close as a close, and any other end
// as a reset.
func (pc *proxiedConn) copy(d direction) {
	from, to := pc.ends[d], pc.ends[1-d]
	buf := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buf)
		pc.proxy.passing[d].Await()
		if pc.applyDelays(d) {
			pc.reset()
			return
		}
		switch silent := pc.isSilent(); {
		case silent && err != nil && d == serverToClient:
			return // the client must not notice that the server closed
		case silent && err != nil:
			pc.reset()
			return
		case silent:
			continue
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				pc.reset()
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			_ = to.CloseWrite()
			return
		case err != nil:
			pc.reset()
			return
		}
	}
}

// applyDelays waits for the proxy's delay and the end of a block, and reports whether bytes were
// withheld and are lost.
func (pc *proxiedConn) applyDelays(d direction) bool {
	p := pc.proxy
	p.mu.Lock()
	delay, blocked, restored := p.delay, p.blocked[d], p.restored
	p.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	if blocked {
		<-restored
	}
	return blocked
}

func (pc *proxiedConn) isSilent() bool {
	pc.proxy.mu.Lock()
	defer pc.proxy.mu.Unlock()
	return pc.silent
}

// reset resets the connections to both ends.
func (pc *proxiedConn) reset() {
	for _, c := range pc.ends {
		if c != nil {
			_ = c.SetLinger(0)
			_ = c.Close()
		}
	}
}
