// Package httpstore implements a client of the platform's HTTP object API.
//
// Objects are read and written under /v1/objects/KEY. If-Match carries the
// version of a conditional update; If-None-Match: * marks a create. A missing
// response is ErrUnknown because the change may have taken effect.
package httpstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gaplink/gaplink/framing"
	"github.com/gaplink/gaplink/membership"
	"github.com/gaplink/gaplink/store"
)

// VersionHeader is the response header that carries an object's version.
const VersionHeader = "Gaplink-Store-Version"

// watchSlack is added to the wait of a watch to form the client's timeout.
const watchSlack = 2 * time.Second

// Client is a store over HTTP. It also reads the platform's instance list.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
}

var _ store.Store = (*Client)(nil)

// New returns a client of the API at base (such as "http://127.0.0.1:9000")
// whose calls time out after timeout.
func New(base string, timeout time.Duration) *Client {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 64,
		DialContext:         (&net.Dialer{Timeout: timeout}).DialContext,

		MaxResponseHeaderBytes: framing.MaxHead,
	}
	return &Client{base: base, timeout: timeout, http: &http.Client{Transport: framing.Transport{Transport: transport}}}
}

// Get implements store.Store.
func (c *Client) Get(ctx context.Context, key string) (store.Object, error) {
	return c.object(ctx, http.MethodGet, key, nil, "", "")
}

// Create implements store.Store.
func (c *Client) Create(ctx context.Context, key string, value []byte) (store.Object, error) {
	return c.object(ctx, http.MethodPut, key, value, "If-None-Match", "*")
}

// Update implements store.Store.
func (c *Client) Update(ctx context.Context, key string, version int64, value []byte) (store.Object, error) {
	return c.object(ctx, http.MethodPut, key, value, "If-Match", strconv.FormatInt(version, 10))
}

// Delete implements store.Store.
func (c *Client) Delete(ctx context.Context, key string, version int64) error {
	_, err := c.object(ctx, http.MethodDelete, key, nil, "If-Match", strconv.FormatInt(version, 10))
	return err
}

// List implements store.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]store.Object, int64, error) {
	ev, err := c.events(ctx, c.timeout, "/v1/list?prefix="+url.QueryEscape(prefix))
	if err == nil && ev.Gap {
		err = store.ErrUnknown // only a watch can have a gap
	}
	return ev.Objects, ev.Revision, err
}

// Watch implements store.Store.
func (c *Client) Watch(ctx context.Context, prefix string, since int64, wait time.Duration) (store.Events, error) {
	path := fmt.Sprintf("/v1/watch?prefix=%s&since=%d&wait=%d", url.QueryEscape(prefix), since, wait.Milliseconds())
	return c.events(ctx, wait+watchSlack, path)
}

// events reads a list or a watch. A response without a revision is ErrUnknown: it
// doesn't show that there are no objects or no changes.
func (c *Client) events(ctx context.Context, timeout time.Duration, path string) (store.Events, error) {
	var got struct {
		store.Events
		Revision *int64 `json:"revision"`
	}
	if err := c.json(ctx, timeout, path, &got); err != nil {
		return store.Events{}, err
	}
	if got.Revision != nil {
		got.Events.Revision = *got.Revision
	} else if !got.Gap {
		return store.Events{}, store.ErrUnknown
	}
	return got.Events, nil
}

// Instances reads the platform's list of live and draining instances.
func (c *Client) Instances(ctx context.Context) ([]membership.Member, error) {
	var members []membership.Member
	if err := c.json(ctx, c.timeout, "/v1/instances", &members); err != nil {
		return nil, err
	}
	if members == nil {
		return nil, store.ErrUnknown // null is not an empty list
	}
	return members, nil
}

func (c *Client) object(ctx context.Context, method, key string, value []byte, header, condition string) (store.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+"/v1/objects/"+key, bytes.NewReader(value))
	if err != nil {
		return store.Object{}, err
	}
	if header != "" {
		req.Header.Set(header, condition)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return store.Object{}, transportError(err)
	}
	defer resp.Body.Close()
	body, err := readBody(resp, store.MaxValueBytes)
	if err != nil {
		return store.Object{}, store.ErrUnknown
	}
	if err := statusError(resp.StatusCode); err != nil {
		return store.Object{}, err
	}
	version, err := strconv.ParseInt(resp.Header.Get(VersionHeader), 10, 64)
	if err != nil {
		return store.Object{}, store.ErrUnknown
	}
	if method == http.MethodGet && !bodyComplete(resp) {
		return store.Object{}, store.ErrUnknown
	}
	if method == http.MethodGet {
		value = body
	}
	return store.Object{Key: key, Version: version, Value: value}, nil
}

func (c *Client) json(ctx context.Context, timeout time.Duration, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return transportError(err)
	}
	defer resp.Body.Close()
	if err := statusError(resp.StatusCode); err != nil {
		return err
	}
	body, err := readBody(resp, maxListBytes)
	if err != nil {
		return store.ErrUnknown
	}
	if err := json.Unmarshal(body, into); err != nil {
		return store.ErrUnknown
	}
	return nil
}

// maxListBytes bounds the body of a list of objects.
const maxListBytes = 64 * store.MaxValueBytes

// errBodyTooLong is returned for a body that exceeds its bound.
var errBodyTooLong = errors.New("httpstore: the body of the response is too long")

// readBody reads a body of at most the given number of bytes.
func readBody(resp *http.Response, most int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, most+1))
	if err == nil && int64(len(body)) > most {
		err = errBodyTooLong
	}
	return body, err
}

// bodyComplete reports whether the HTTP framing or the gzip trailer marks the end of the
// body. A value has no end marker of its own, so a value truncated by a connection
// close would look complete.
func bodyComplete(resp *http.Response) bool { return framing.Delimited(resp) || resp.Uncompressed }

// transportError returns ErrUnavailable if the connection could not be opened, so
// that the call was never sent, and ErrUnknown if the response is missing.
func transportError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return store.ErrUnavailable
	}
	return store.ErrUnknown
}

func statusError(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return store.ErrNotFound
	case http.StatusPreconditionFailed:
		return store.ErrConflict
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return store.ErrUnavailable
	default:
		return store.ErrUnknown
	}
}
