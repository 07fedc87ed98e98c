// Package upstream carries requests to backend servers over kept HTTP/1.1
// connections.
//
// It is used in place of net/http's transport because the caller must know
// what a server may have received: nothing is repeated here, an answer counts
// only if it names its request, and a connection that carried bytes of no
// request is not used again. Messages are parsed by net/http.
package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/gaplink/gaplink/link"
)

const (
	// readBuffer is enough for the head of an answer and an event of a stream.
	readBuffer = 4 << 10
	// inlineBody is the size up to which a body is written before the answer is
	// awaited: it fits the socket's buffer.
	inlineBody = 2 << 10
	// maxSurplus is how many answers to other requests are skipped.
	maxSurplus = 3
	// maxSurplusBody bounds the body of such an answer.
	maxSurplusBody = 1 << 20
	// unackedLimit ends a connection whose peer acknowledges nothing, as one
	// behind a cut does.
	unackedLimit = 1500 * time.Millisecond
)

// errForeign marks answers that name no request of this connection.
var errForeign = errors.New("the answers on the connection belong to other requests")

// Options are the settings of a pool.
type Options struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept when the server
	// names no time itself.
	IdleTimeout time.Duration
	// Meter counts the bytes of all connections; it may be nil.
	Meter *link.Meter
	// Congested tells whether the router's own link is full, so that a
	// connection may take up to CongestedDialTimeout; it may be nil.
	Congested            func() bool
	CongestedDialTimeout time.Duration
}

// dialTimeout bounds the opening of a connection now.
func (o *Options) dialTimeout() time.Duration {
	if o.Congested != nil && o.Congested() {
		return o.CongestedDialTimeout
	}
	return o.DialTimeout
}

// Pool holds connections to backend servers. It is safe for concurrent use.
type Pool struct {
	opts Options

	mu   sync.Mutex
	idle map[string][]*conn // by address, the last used at the end
	open map[string]int     // by address

	dials, reuses atomic.Int64
}

// New returns an empty pool.
func New(opts Options) *Pool {
	return &Pool{opts: opts, idle: map[string][]*conn{}, open: map[string]int{}}
}

// Stats are counts since the start.
type Stats struct{ Dials, Reuses int64 }

// Stats returns the counts.
func (p *Pool) Stats() Stats { return Stats{Dials: p.dials.Load(), Reuses: p.reuses.Load()} }

// Request is one request to a backend server.
type Request struct {
	// Address is IP:port, Owner the id of the server expected there.
	Address, Owner string
	// MaxConnections bounds the open connections to the address; 0 means no
	// bound.
	MaxConnections int
	Method         string
	// Target is the request target as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Belongs tells whose answer one is.
	Belongs func(*http.Response) Belonging
}

// Belonging says to which request an answer belongs.
type Belonging int

const (
	// Foreign: another request's; it is skipped.
	Foreign Belonging = iota
	// Mine: this request's.
	Mine
	// Unnamed: it names no request, and would be acceptable as this one's. It is
	// taken where the connection has carried no other request, and else ends the
	// exchange: what follows it cannot be told apart either.
	Unnamed
)

// Stage says how far a failed request had come.
type Stage int

// The stages.
const (
	// NotSent: no byte was handed to a connection.
	NotSent Stage = iota
	// Sent: the server may have received the request.
	Sent
)

// Failure is a request without an answer.
type Failure struct {
	Stage Stage
	// Full tells that the server's connections are all in use.
	Full bool
	Err  error
}

// Error implements error.
func (f *Failure) Error() string { return f.Err.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// Send sends a request and waits for the head of its answer. The context
// bounds the whole exchange, the body of the answer included: when it ends,
// the connection is closed, which cancels the run at the server.
func (p *Pool) Send(ctx context.Context, r *Request) (*Answer, *Failure) {
	c, err := p.get(ctx, r)
	if err != nil {
		return nil, &Failure{Stage: NotSent, Full: errors.Is(err, errFull), Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	a := &Answer{pool: p, conn: c, stop: stop, ctx: ctx, first: !c.used}
	c.used = true
	a.written = write(c, r)
	resp, err := a.readHead(r)
	if err != nil {
		a.discard()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &Failure{Stage: Sent, Err: err}
	}
	a.Response = resp
	return a, nil
}

// errFull means that no connection may be opened to the server.
var errFull = errors.New("all connections to the server are in use")

func (p *Pool) get(ctx context.Context, r *Request) (*conn, error) {
	for {
		c := p.takeIdle(r.Address)
		if c == nil {
			break
		}
		if c.owner == r.Owner && time.Now().Before(c.expires) && c.sound() {
			p.reuses.Add(1)
			return c, nil
		}
		p.drop(c)
	}
	return p.dial(ctx, r)
}

func (p *Pool) takeIdle(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[addr] = list[:len(list)-1]
	return c
}

func (p *Pool) dial(ctx context.Context, r *Request) (*conn, error) {
	p.mu.Lock()
	if r.MaxConnections > 0 && p.open[r.Address] >= r.MaxConnections {
		p.mu.Unlock()
		return nil, errFull
	}
	p.open[r.Address]++
	p.mu.Unlock()
	p.dials.Add(1)
	dialer := net.Dialer{Timeout: p.opts.dialTimeout(), KeepAlive: -1, ControlContext: limitUnacked}
	raw, err := dialer.DialContext(ctx, "tcp", r.Address)
	if err != nil {
		p.closed(r.Address)
		return nil, err
	}
	return newConn(raw, r, p.opts.Meter), nil
}

func (p *Pool) closed(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[addr]--
	if p.open[addr] <= 0 {
		delete(p.open, addr)
	}
}

func (p *Pool) drop(c *conn) {
	_ = c.Close()
	p.closed(c.addr)
}

func (p *Pool) put(c *conn, keep time.Duration) {
	c.expires = time.Now().Add(keep)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// Probe opens a connection to a server and keeps it for a request; an error
// means that the server cannot be reached.
func (p *Pool) Probe(ctx context.Context, address, owner string) error {
	c, err := p.dial(ctx, &Request{Address: address, Owner: owner})
	if err != nil {
		return err
	}
	p.put(c, p.opts.IdleTimeout)
	return nil
}

// Sweep closes idle connections that are past their time or whose server is
// not kept.
func (p *Pool) Sweep(now time.Time, keep func(owner string) bool) {
	var stale []*conn
	p.mu.Lock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.expires) && keep(c.owner) {
				kept = append(kept, c)
			} else {
				stale = append(stale, c)
			}
		}
		p.idle[addr] = kept
		if len(kept) == 0 {
			delete(p.idle, addr)
		}
	}
	p.mu.Unlock()
	for _, c := range stale {
		p.drop(c)
	}
}

// write sends the request; the channel gives the outcome. A long body is sent
// in the background, since the server may answer before it has read it all.
func write(c *conn, r *Request) <-chan error {
	done := make(chan error, 1)
	head := appendHead(make([]byte, 0, readBuffer), r)
	if len(r.Body) <= inlineBody {
		n, err := c.Write(append(head, r.Body...))
		c.meter.Sent(n)
		done <- err
		return done
	}
	go func() {
		buffers := net.Buffers{head, r.Body}
		n, err := buffers.WriteTo(c.Conn)
		c.meter.Sent(int(n))
		done <- err
	}()
	return done
}

func appendHead(b []byte, r *Request) []byte {
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	for name, values := range r.Header {
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// Answer is a backend server's answer. The caller reads Body to its end or
// calls Close.
type Answer struct {
	*http.Response
	pool    *Pool
	conn    *conn
	stop    func() bool
	ctx     context.Context
	written <-chan error
	// first tells that the connection has carried no other request.
	first bool
	over  bool
}

// readHead reads until the answer of the request, past interim ones and past
// surplus answers to earlier requests.
func (a *Answer) readHead(r *Request) (*http.Response, error) {
	request := &http.Request{Method: r.Method}
	for skipped := 0; skipped <= maxSurplus; {
		resp, err := a.conn.readResponse(request)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		switch belongs := r.Belongs(resp); {
		case belongs == Mine, belongs == Unnamed && a.first:
			return resp, nil
		case belongs == Unnamed:
			return nil, errForeign
		}
		skipped++
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSurplusBody))
		if err != nil || n == maxSurplusBody || resp.Close {
			return nil, errForeign
		}
	}
	return nil, errForeign
}

// ErrUnframed ends an answer whose connection the server closed and whose framing
// does not tell where it ends: it may be whole, and its server may have died.
var ErrUnframed = errors.New("the answer ended with its connection")

// Read reads the body. It returns io.EOF only where the framing proves the end; the
// connection is then kept if it can carry another request. An answer that is over
// without such a proof gives ErrUnframed.
func (a *Answer) Read(b []byte) (int, error) {
	n, err := a.Body.Read(b)
	if err == io.EOF {
		a.finish()
		if !a.Framed() {
			err = ErrUnframed
		}
	} else if err != nil {
		a.discard()
		if cause := a.ctx.Err(); cause != nil {
			err = fmt.Errorf("%w: %v", cause, err)
		}
	}
	return n, err
}

// Close ends the answer. If its body was not read to the end, the connection
// is closed, which cancels the run at the server.
func (a *Answer) Close() { a.discard() }

func (a *Answer) finish() {
	if a.over {
		return
	}
	a.over = true
	if !a.stop() || !a.reusable() {
		a.pool.drop(a.conn)
		return
	}
	a.pool.put(a.conn, keepFor(a.Header, a.pool.opts.IdleTimeout))
}

// reusable tells whether the connection is in step: the request was written
// whole, the answer had a length, and nothing follows it.
func (a *Answer) reusable() bool {
	select {
	case err := <-a.written:
		if err != nil {
			return false
		}
	default:
		return false
	}
	return a.Framed() && !a.Response.Close && a.conn.reader.Buffered() == 0
}

// Framed tells whether the answer's own framing proves its end: a length, chunks,
// or a kind of answer that has no body. Any other answer ends with its connection,
// and nothing tells whether it was whole.
func (a *Answer) Framed() bool {
	return a.Body == http.NoBody || a.ContentLength >= 0 || len(a.TransferEncoding) > 0
}

// discard ends an exchange before its end. The connection is reset, so that a
// request whose bytes are held up on the way never reaches the server later.
func (a *Answer) discard() {
	if a.over {
		return
	}
	a.over = true
	a.stop()
	a.conn.reset()
	a.pool.drop(a.conn)
}

// keepAliveMargin is how much earlier than the server a connection is given
// up, so that none is used while the server closes it.
const keepAliveMargin = 500 * time.Millisecond

// keepFor returns how long the connection may rest, by the server's word or
// else the pool's own.
func keepFor(h http.Header, standard time.Duration) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil {
			return standard // not a number: the server has named no time
		}
		return max(time.Duration(seconds)*time.Second-keepAliveMargin, 0)
	}
	return standard
}

// limitUnacked sets how long sent bytes may stay unacknowledged.
func limitUnacked(_ context.Context, _, _ string, raw syscall.RawConn) error {
	var err error
	control := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedLimit.Milliseconds()))
	})
	return errors.Join(control, err)
}
