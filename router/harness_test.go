package router_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/gaplink/gaplink/admin"
	"github.com/gaplink/gaplink/backend"
	"github.com/gaplink/gaplink/filter"
	"github.com/gaplink/gaplink/filter/authenticate"
	"github.com/gaplink/gaplink/lab/loopback"
	"github.com/gaplink/gaplink/ledger"
	"github.com/gaplink/gaplink/membership"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/result"
	"github.com/gaplink/gaplink/router"
	"github.com/gaplink/gaplink/settings"
	"github.com/gaplink/gaplink/store/standin"
	"github.com/gaplink/gaplink/table"
)

func TestRouter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "router")
}

// eventualTimeout limits the wait for conditions that must eventually hold; no test
// asserts how soon.
const eventualTimeout = 20 * time.Second

const operatorKey = "test-operator-key"

// fleet runs routers in this process against fakes of the platform and the backend
// servers on loopback.
type fleet struct {
	platform *standin.Platform
	store    *httptest.Server
	engine   *backend.Engine
	engines  []*backend.Engine
	service  *backend.Service
	routers  []*router.Router
	settings []settings.Settings
	key      string
}

func newFleet(n int) *fleet {
	f := &fleet{platform: standin.New(standin.Limits{}, 1)}
	f.store = httptest.NewServer(f.platform)
	DeferCleanup(f.store.CloseClientConnections)
	f.service = backend.NewService(0)
	for range 2 {
		f.engines = append(f.engines, backend.NewEngine(2*time.Millisecond))
	}
	f.engine = f.engines[0]
	for i := range n {
		f.addRouter(i + 1)
	}
	f.createObjects()
	return f
}

// addRouter starts router number n, counted from 1, and registers it with the platform.
func (f *fleet) addRouter(n int) {
	s := settings.Default()
	s.Instance.ID, s.Instance.Domain = fmt.Sprintf("r%d", n), fmt.Sprintf("fd%d", n)
	s.Instance.FenceAfter = settings.Duration(time.Second)
	s.Listen = settings.Listen{Callers: freeAddr(), Peers: freeAddr()}
	s.Platform.URL = f.store.URL
	s.Platform.ListEvery = settings.Duration(100 * time.Millisecond)
	s.Requests.RetryWindow = 0 // no earlier process has used the fleet's retries
	s.Operator.KeyHash = authenticate.Hash(operatorKey)
	s.Requests.MaxBodyBytes = 4096
	s.Requests.MaxTokens = 1000
	s.Requests.LeaveGrace = settings.Duration(50 * time.Millisecond)
	s.Table.AckWithin = settings.Duration(2 * time.Second)
	f.settings = append(f.settings, s)
	f.routers = append(f.routers, nil)
	f.startRouter(n - 1)
}

func (f *fleet) startRouter(i int) {
	s := f.settings[i]
	f.platform.SetInstance(membership.Member{ID: s.Instance.ID, Kind: "router", Addr: s.Listen.Peers, Domain: s.Instance.Domain, State: membership.Live})
	r, err := router.New(s, zap.NewNop())
	Expect(err).NotTo(HaveOccurred())
	Expect(r.Start()).To(Succeed())
	f.routers[i] = r
	DeferCleanup(r.Kill)
	Eventually(r.Ready, eventualTimeout).Should(BeTrue())
}

func freeAddr() string {
	GinkgoHelper()
	addr, err := loopback.FreeAddr("127.0.0.1")
	Expect(err).NotTo(HaveOccurred())
	return addr
}

func serve(h http.Handler) string {
	s := httptest.NewServer(h)
	DeferCleanup(s.CloseClientConnections)
	return strings.TrimPrefix(s.URL, "http://")
}

func (f *fleet) createObjects() {
	Expect(f.admin(0, admin.AccountCreate, admin.AccountArgs{ID: "acme"}, nil)).To(Succeed())
	Expect(f.admin(0, admin.BudgetCreate, admin.BudgetArgs{ID: "main", Account: "acme", Tokens: 100000}, nil)).To(Succeed())
	Expect(f.admin(0, admin.BudgetCreate, admin.BudgetArgs{ID: "small", Account: "acme", Tokens: 50}, nil)).To(Succeed())
	var key admin.KeyAnswer
	Expect(f.admin(0, admin.AccountKey, admin.AccountArgs{ID: "acme"}, &key)).To(Succeed())
	f.key = key.Key
	pools := []table.Pool{
		{Name: "m", Kind: table.Model, Target: "tagger", Site: "old"},
		{Name: "s", Kind: table.Service, Target: "lookup", Site: "old", Servers: []table.Server{{ID: "s1", Addr: serve(f.service)}}},
	}
	for i, e := range f.engines {
		pools[0].Servers = append(pools[0].Servers, table.Server{ID: fmt.Sprintf("e%d", i+1), Addr: serve(e)})
	}
	for _, p := range pools {
		Expect(f.admin(0, admin.PoolSet, admin.PoolArgs{Pool: p}, nil)).To(Succeed())
	}
	Expect(f.admin(0, admin.TableSet, admin.TableSetArgs{Row: "*/tagger/old", Assignments: []string{"weight=10"}}, nil)).To(Succeed())
	for i := range f.routers {
		Eventually(func() int64 { return f.revision(i) }, eventualTimeout).Should(Equal(f.revision(0)))
	}
}

func (f *fleet) revision(i int) int64 {
	var s admin.StatusAnswer
	Expect(f.admin(i, admin.Status, struct{}{}, &s)).To(Succeed())
	return s.Revision
}

// admin sends an operator command to a router.
func (f *fleet) admin(i int, command string, args, into any) error {
	body, err := json.Marshal(args)
	Expect(err).NotTo(HaveOccurred())
	p := peer.NewClient(peer.Options{DialTimeout: time.Second})
	defer func() { _ = p.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), eventualTimeout)
	defer cancel()
	resp, err := peer.Call[peer.AdminRequest, peer.AdminAnswer](ctx, p, f.settings[i].Listen.Peers, peer.MethodAdmin, &peer.AdminRequest{Operator: "test", Key: operatorKey, Command: command, Args: body})
	if err != nil || into == nil {
		return err
	}
	return json.Unmarshal(resp.Result, into)
}

// incarnation queries a router for its incarnation.
func (f *fleet) incarnation(i int) string {
	var who *peer.WhoAnswer
	Expect(f.peer(i, func(ctx context.Context, c *peer.Client, addr string) (err error) {
		who, err = peer.Call[peer.Empty, peer.WhoAnswer](ctx, c, addr, peer.MethodWho, &peer.Empty{})
		return err
	})).To(Succeed())
	return who.Incarnation
}

// fence requests a router to fence off an incarnation.
func (f *fleet) fence(i int, incarnation string) error {
	return f.peer(i, func(ctx context.Context, c *peer.Client, addr string) error {
		_, err := peer.Call[peer.BarrierRequest, peer.Empty](ctx, c, addr, peer.MethodBarrier, &peer.BarrierRequest{Fenced: []string{incarnation}})
		return err
	})
}

// peer calls a router as another router would.
func (f *fleet) peer(i int, call func(context.Context, *peer.Client, string) error) error {
	p := peer.NewClient(peer.Options{DialTimeout: time.Second})
	defer func() { _ = p.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), eventualTimeout)
	defer cancel()
	return call(ctx, p, f.settings[i].Listen.Peers)
}

// call is one request to a router.
type call struct {
	path    string
	body    string
	headers map[string]string
}

func chat(prompt string, maxTokens int, stream bool) call {
	return call{path: "/v1/chat/completions", body: fmt.Sprintf(`{"model":"tagger","max_tokens":%d,"stream":%t,"messages":[{"role":"user","content":%q}]}`, maxTokens, stream, prompt)}
}

func lookup(body, key string) call {
	c := call{path: "/v1/services/lookup/status", body: body}
	return c.with(filter.HeaderKey, key).with(filter.HeaderNotRepeatable, "true")
}

func (c call) with(name, value string) call {
	headers := map[string]string{name: value}
	for k, v := range c.headers {
		if k != name {
			headers[k] = v
		}
	}
	c.headers = headers
	return c
}

// reply is the outcome of a call.
type reply struct {
	status int
	code   result.Code
	notRun bool
	body   string
	header http.Header
}

func (f *fleet) send(i int, c call) (*http.Response, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+f.settings[i].Listen.Callers+c.path, bytes.NewBufferString(c.body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+f.key)
	for k, v := range c.headers {
		req.Header.Set(k, v)
	}
	return http.DefaultClient.Do(req)
}

func (f *fleet) do(i int, c call) reply {
	resp, err := f.send(i, c)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	body, _ := io.ReadAll(resp.Body)
	code, _ := strconv.Atoi(resp.Header.Get(filter.HeaderCode))
	return reply{status: resp.StatusCode, code: result.Code(code), notRun: resp.Header.Get(filter.HeaderNotRun) == "true", body: string(body), header: resp.Header}
}

// billedTokens returns the billed tokens of each of a request's attempts, as recorded in
// the store.
func (f *fleet) billedTokens(request string) []int64 {
	objects, _, err := f.platform.Objects().List(context.Background(), "ledger/")
	Expect(err).NotTo(HaveOccurred())
	var tokens []int64
	for _, o := range objects {
		seg, err := ledger.DecodeSegment(o.Value)
		Expect(err).NotTo(HaveOccurred())
		for _, b := range seg.Batches {
			for _, op := range b.Ops {
				if op.Kind == ledger.Bill && op.Request == request {
					tokens = append(tokens, op.Tokens)
				}
			}
		}
	}
	return tokens
}

func (f *fleet) servedTokens() int64 {
	var sum int64
	for _, e := range f.engines {
		for _, r := range e.Runs() {
			sum += r.Tokens
		}
	}
	return sum
}

func (f *fleet) setFaults(kind backend.Fault, every int) {
	for _, e := range f.engines {
		e.SetFaults(backend.Faults{Kind: kind, Every: every})
	}
	f.service.SetFaults(backend.Faults{Kind: kind, Every: every})
}

// parseStream returns the text of a streamed response and whether its end marker arrived.
func parseStream(body string) (text string, complete bool) {
	for _, line := range strings.Split(body, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, true
		}
		var ev struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(data), &ev) == nil && len(ev.Choices) > 0 {
			text += ev.Choices[0].Delta.Content
		}
	}
	return text, false
}
