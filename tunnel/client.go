package tunnel

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gaplink/gaplink/framing"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/sockets"
)

// Open opens a tunnel to a server process through the router with the given id and address. It returns
// the connection to that router, on which the server is reached, and the number of tunnels through that
// router. The error is a *RouterError or a *ServerError. The context bounds the opening alone.
func Open(ctx context.Context, dialer *net.Dialer, router, addr string, s placement.Server) (net.Conn, int, error) {
	raw, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, 0, &RouterError{router, err}
	}
	conn := sockets.NewTCPConn(raw)
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	open, err := request(conn, router, s)
	if inTime := stop(); err == nil && inTime {
		return conn, open, nil
	}
	_ = conn.Close()
	if err == nil || ctx.Err() != nil {
		err = &RouterError{router, ctx.Err()}
	}
	return nil, 0, err
}

// request sends the request and reads the response.
func request(conn net.Conn, router string, s placement.Server) (open int, err error) {
	r := &http.Request{Method: http.MethodConnect, URL: &url.URL{Opaque: s.Address}, Host: s.Address, Header: http.Header{}}
	encodeOwner(r.Header, s.Incarnation())
	if err := r.Write(conn); err != nil {
		return 0, &RouterError{router, err}
	}
	head := framing.NewHeadReader(conn)
	head.Expect(framing.MaxHead)
	reader := bufio.NewReaderSize(head, responseBuffer)
	resp, err := framing.ReadResponse(reader, r)
	switch {
	case errors.Is(err, framing.ErrHeadTooLong):
		return 0, &RouterError{router, err}
	case err != nil:
		return 0, &RouterError{router, errProtocol}
	}
	reason := resp.Header.Get(reasonHeader)
	switch {
	case resp.StatusCode == http.StatusOK && reader.Buffered() == 0:
		open, _ = strconv.Atoi(resp.Header.Get(openHeader)) // 0 if the router does not say
		return open, nil
	case resp.StatusCode == http.StatusBadGateway:
		return 0, &ServerError{Router: router, Refused: reason == reasonRefused, NotInUse: reason == ErrNotInUse.Error(), Reason: reason}
	default:
		return 0, &RouterError{router, &RefusedError{resp.StatusCode, reason}}
	}
}

// responseBuffer fits the head of a response, in bytes.
const responseBuffer = 1 << 10

// RefusedError is a refusal by the other router itself.
type RefusedError struct {
	status int
	reason string
}

// Error implements error.
func (e *RefusedError) Error() string { return http.StatusText(e.status) + ": " + e.reason }

// NotReaching reports whether the router does not reach the server itself.
func (e *RefusedError) NotReaching() bool { return e.reason == ErrNotReaching.Error() }

// Temporary reports whether the router has no room now but reaches the server.
func (e *RefusedError) Temporary() bool { return e.reason == reasonFull }
