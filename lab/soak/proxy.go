package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// direction is the way of bytes through a proxy.
type direction int

const (
	forth direction = iota // from who dialled
	back
)

// Proxy passes connections on to an address and disturbs them as it is told.
type Proxy struct {
	listener net.Listener

	mu     sync.Mutex
	target string
	delay  time.Duration
	down   bool
	oneWay [2]bool
	// mended is closed when the present cut ends.
	mended chan struct{}
	pipes  map[*pipe]bool
}

// pipe is one connection through a proxy.
type pipe struct {
	proxy *Proxy
	ends  [2]*net.TCPConn // who dialled, and who was dialled
	// silent tells that it passes nothing any more, and says so to nobody.
	silent bool
}

// NewProxy starts a proxy on loopback.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, pipes: map[*pipe]bool{}, mended: make(chan struct{})}
	go p.accept()
	return p, nil
}

// Addr returns the proxy's address.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Retarget sends new connections to another address.
func (p *Proxy) Retarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// Delay delays each piece by d, until it is called with 0.
func (p *Proxy) Delay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// Reset resets all open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for one := range p.pipes {
		one.reset()
	}
}

// Silence makes all open connections pass nothing for good. New ones work.
func (p *Proxy) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for one := range p.pipes {
		one.silent = true
	}
}

// Down resets all connections, also new ones, until it is called with false.
func (p *Proxy) Down(down bool) {
	p.mu.Lock()
	p.down = down
	p.mu.Unlock()
	if down {
		p.Reset()
	}
}

// CutOneWay holds back the bytes of one way; Mend ends that. Connections that
// missed bytes are reset then.
func (p *Proxy) CutOneWay(d direction) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.oneWay[d] = true
}

// Mend ends the cuts of both ways.
func (p *Proxy) Mend() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.oneWay = [2]bool{}
	close(p.mended)
	p.mended = make(chan struct{})
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Down(true)
	p.Mend()
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		go p.join(c.(*net.TCPConn))
	}
}

func (p *Proxy) join(from *net.TCPConn) {
	one := &pipe{proxy: p, ends: [2]*net.TCPConn{from, nil}}
	p.mu.Lock()
	target, down := p.target, p.down
	p.mu.Unlock()
	if down {
		one.reset()
		return
	}
	to, err := net.Dial("tcp", target)
	if err != nil {
		one.reset()
		return
	}
	one.ends[back] = to.(*net.TCPConn)
	p.mu.Lock()
	p.pipes[one] = true
	down = p.down
	p.mu.Unlock()
	if down {
		one.reset()
	}
	one.run()
	p.mu.Lock()
	delete(p.pipes, one)
	p.mu.Unlock()
}

// run passes bytes both ways until both have ended.
func (one *pipe) run() {
	var both sync.WaitGroup
	both.Add(2)
	for _, d := range []direction{forth, back} {
		go func() {
			defer both.Done()
			one.copy(d)
		}()
	}
	both.Wait()
	for _, c := range one.ends {
		_ = c.Close()
	}
}

const proxyBuffer = 16 << 10

// copy passes the bytes of one way on. An orderly end is passed on as one, and any
// other as a reset.
func (one *pipe) copy(d direction) {
	from, to := one.ends[d], one.ends[1-d]
	buf := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buf)
		if one.holdsBack(d) {
			one.reset()
			return
		}
		switch silent := one.isSilent(); {
		case silent && err != nil && d == back:
			return // who dialled must not see it
		case silent && err != nil:
			one.reset()
			return
		case silent:
			continue
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				one.reset()
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			_ = to.CloseWrite()
			return
		case err != nil:
			one.reset()
			return
		}
	}
}

// holdsBack waits as the proxy's faults demand, and tells whether bytes were held
// back for good.
func (one *pipe) holdsBack(d direction) bool {
	p := one.proxy
	p.mu.Lock()
	delay, cut, mended := p.delay, p.oneWay[d], p.mended
	p.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	if cut {
		<-mended
	}
	return cut
}

func (one *pipe) isSilent() bool {
	one.proxy.mu.Lock()
	defer one.proxy.mu.Unlock()
	return one.silent
}

// reset ends both connections without an orderly close.
func (one *pipe) reset() {
	for _, c := range one.ends {
		if c != nil {
			_ = c.SetLinger(0)
			_ = c.Close()
		}
	}
}
