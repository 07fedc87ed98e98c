// Package peer implements the protocol between gaplink's own processes: drpc
// with typed Go messages in msgpack.
//
// drpc supports custom encodings; msgpack requires no code generation.
package peer

import (
	"bytes"
	"context"
	"errors"
	"net"

	"github.com/vmihailenco/msgpack/v5"
	"storj.io/drpc"
	"storj.io/drpc/drpcerr"
	"storj.io/drpc/drpcserver"

	"github.com/gaplink/gaplink/result"
)

// ErrNotSent is wrapped by errors of calls that certainly did not reach the peer.
var ErrNotSent = errors.New("peer: not sent")

// codec is the drpc encoding of all messages.
type codec struct{}

// Marshal implements drpc.Encoding.
func (codec) Marshal(msg drpc.Message) ([]byte, error) { return Marshal(msg) }

// Unmarshal implements drpc.Encoding.
func (codec) Unmarshal(buf []byte, msg drpc.Message) error { return msgpack.Unmarshal(buf, msg) }

// Marshal encodes a message in msgpack. Structs are encoded as arrays, since field
// names would take half of the message. All processes of a fleet must therefore have
// the same fields in the same order.
func Marshal(msg any) ([]byte, error) {
	var b bytes.Buffer
	enc := msgpack.NewEncoder(&b)
	enc.UseArrayEncodedStructs(true)
	if err := enc.Encode(msg); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

type handler func(drpc.Stream) error

// Mux dispatches calls by method name; it implements drpc.Handler.
type Mux struct {
	methods map[string]handler
}

// NewMux returns an empty Mux.
func NewMux() *Mux {
	return &Mux{methods: map[string]handler{}}
}

// Handle registers a handler for a typed method.
func Handle[Req, Resp any](m *Mux, name string, fn func(context.Context, *Req) (*Resp, error)) {
	m.methods[name] = func(stream drpc.Stream) error {
		var req Req
		if err := stream.MsgRecv(&req, codec{}); err != nil {
			return err
		}
		resp, err := fn(stream.Context(), &req)
		if err != nil {
			return encodeError(err)
		}
		return stream.MsgSend(resp, codec{})
	}
}

// HandleRPC implements drpc.Handler.
func (m *Mux) HandleRPC(stream drpc.Stream, rpc string) error {
	h, ok := m.methods[rpc]
	if !ok {
		return drpcerr.WithCode(errors.New("unknown method "+rpc), drpcerr.Unimplemented)
	}
	return h(stream)
}

// encodeError converts an error to a drpc error with its result code.
func encodeError(err error) error {
	e := result.From(err)
	return drpcerr.WithCode(errors.New(e.Detail), uint64(e.Code))
}

// decodeError is the inverse of encodeError; it returns other errors unchanged.
func decodeError(err error) error {
	code := drpcerr.Code(err)
	if code == 0 || code == drpcerr.Unimplemented {
		return err
	}
	return result.New(result.Code(code), "%s", err.Error())
}

// Unimplemented reports whether a call failed because the peer does not know the method, as a process of
// an older release.
func Unimplemented(err error) bool { return drpcerr.Code(err) == drpcerr.Unimplemented }

// Serve serves calls on the listener until the context ends.
func Serve(ctx context.Context, listener net.Listener, m *Mux) error {
	return drpcserver.New(m).Serve(ctx, listener)
}
