package peer

import (
	"sync"
	"sync/atomic"

	"storj.io/drpc"
)

// Traffic counts the calls of one method and their message bytes, without framing.
type Traffic struct {
	// Calls is the number of requests; Sent and Received are bytes of requests and responses.
	Calls, Sent, Received int64
}

// ByMethod returns the traffic of the client's calls by method.
func (c *Client) ByMethod() map[string]Traffic {
	all := map[string]Traffic{}
	c.meter.methods.Range(func(name, m any) bool {
		all[name.(string)] = m.(*countingCodec).traffic()
		return true
	})
	return all
}

// meter counts traffic by method.
type meter struct{ methods sync.Map }

// encodingFor returns the encoding that counts a method's messages, creating it if necessary.
func (m *meter) encodingFor(method string) *countingCodec {
	if known, ok := m.methods.Load(method); ok {
		return known.(*countingCodec)
	}
	known, _ := m.methods.LoadOrStore(method, &countingCodec{})
	return known.(*countingCodec)
}

// countingCodec is the message encoding of one method; it counts calls and bytes.
type countingCodec struct {
	codec
	calls, sent, received atomic.Int64
}

func (c *countingCodec) traffic() Traffic {
	return Traffic{Calls: c.calls.Load(), Sent: c.sent.Load(), Received: c.received.Load()}
}

// Marshal implements drpc.Encoding.
func (c *countingCodec) Marshal(msg drpc.Message) ([]byte, error) {
	data, err := c.codec.Marshal(msg)
	c.calls.Add(1)
	c.sent.Add(int64(len(data)))
	return data, err
}

// Unmarshal implements drpc.Encoding.
func (c *countingCodec) Unmarshal(data []byte, msg drpc.Message) error {
	c.received.Add(int64(len(data)))
	return c.codec.Unmarshal(data, msg)
}
