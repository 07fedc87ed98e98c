package router_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gaplink/gaplink/admin"
	"github.com/gaplink/gaplink/backend"
	"github.com/gaplink/gaplink/filter"
	"github.com/gaplink/gaplink/result"
	"github.com/gaplink/gaplink/store/standin"
)

var _ = Describe("bad input", func() {
	var f *fleet
	BeforeEach(func() { f = newFleet(1) })

	It("is refused with a code, as not run, and bills nothing", func() {
		good := chat("hello", 10, false)
		cases := map[string]struct {
			call call
			code result.Code
		}{
			"malformed JSON":       {call{path: good.path, body: `{"model":`}, result.BadJSON},
			"body over the limit":  {chat(strings.Repeat("x", 5000), 10, false), result.BodyTooLarge},
			"unknown model":        {call{path: good.path, body: `{"model":"none","max_tokens":1}`}, result.UnknownModel},
			"no token cap":         {call{path: good.path, body: `{"model":"tagger"}`}, result.BadTokenCap},
			"negative token cap":   {chat("x", -1, false), result.BadTokenCap},
			"huge token cap":       {chat("x", 1001, false), result.BadTokenCap},
			"unknown service":      {call{path: "/v1/services/none/x", body: "{}"}, result.UnknownService},
			"key missing":          {call{path: "/v1/services/lookup/x", body: "{}"}.with(filter.HeaderNotRepeatable, "true"), result.MissingKey},
			"bad header":           {good.with(filter.HeaderNotRepeatable, "maybe"), result.BadHeader},
			"bad deadline":         {good.with(filter.HeaderDeadline, "-5"), result.BadHeader},
			"no account's key":     {good.with("Authorization", "Bearer nobody"), result.Unauthenticated},
			"another's budget":     {good.with(filter.HeaderBudget, "theirs"), result.BudgetNotOwned},
			"more than the budget": {chat("x", 51, false).with(filter.HeaderBudget, "small"), result.BudgetExhausted},
		}
		for name, c := range cases {
			got := f.do(0, c.call)
			Expect(got.code).To(Equal(c.code), name)
			Expect(got.notRun).To(BeTrue(), name)
			Expect(got.status).To(Equal(c.code.Info().HTTPStatus), name)
		}
		Expect(f.servedTokens()).To(BeZero())
	})

	It("refuses a key that is used with another body", func() {
		Expect(f.do(0, lookup("one", "k1")).status).To(Equal(200))
		got := f.do(0, lookup("two", "k1"))
		Expect(got.code).To(Equal(result.KeyReused))
		Expect(f.service.Runs()).To(HaveLen(1))
	})
})

var _ = Describe("answers", func() {
	var f *fleet
	BeforeEach(func() { f = newFleet(2) })

	It("are whole, the caller's own, and billed once", func() {
		for i, stream := range []bool{true, false} {
			key := fmt.Sprint("a", i)
			got := f.do(i, chat("hello "+key, 20, stream).with(filter.HeaderKey, key))
			want, tokens := backend.Answer("hello "+key, 20)
			Expect(got.status).To(Equal(200))
			if stream {
				text, whole := parseStream(got.body)
				Expect(whole).To(BeTrue())
				Expect(text).To(Equal(want))
			} else {
				Expect(got.body).To(ContainSubstring(want))
			}
			Expect(f.billedTokens("k/acme/" + key)).To(Equal([]int64{tokens}))
		}
	})

	DescribeTable("of a failing backend server are never passed on",
		func(kind backend.Fault, code result.Code) {
			f.setFaults(kind, 1)
			got := f.do(0, chat("hello", 20, false).with(filter.HeaderKey, "f1"))
			Expect(got.code).To(Equal(code))
			Expect(got.notRun).To(Equal(kind == backend.Refuse))
			if kind == backend.Refuse {
				Expect(f.billedTokens("k/acme/f1")).To(BeEmpty())
				return
			}
			Expect(f.billedTokens("k/acme/f1")).To(Equal([]int64{f.servedTokens()}))
		},
		Entry("garbage", backend.Garbage, result.BackendGarbage),
		Entry("stops half way", backend.Cut, result.BackendCut),
		Entry("another request's answer", backend.Foreign, result.ForeignAnswer),
		Entry("more than the cap", backend.Excess, result.TokenCapPassed),
		Entry("refuses", backend.Refuse, result.NotAccepted),
	)

	It("come from another server when one refuses or cuts before the caller saw a byte", func() {
		f.engines[0].SetFaults(backend.Faults{Kind: backend.Cut, Every: 1})
		for i := range 4 {
			Expect(f.do(0, chat(fmt.Sprint("p", i), 20, false)).status).To(Equal(200))
		}
	})

	It("of an abandoned stream are billed for what was served", func() {
		resp, err := f.send(0, chat("long answer 3", 900, true).with(filter.HeaderKey, "gone"))
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadFull(resp.Body, make([]byte, 100))
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Body.Close()).To(Succeed())
		Eventually(func() []int64 { return f.billedTokens("k/acme/gone") }, eventualTimeout).Should(HaveLen(1))
		Expect(f.billedTokens("k/acme/gone")[0]).To(BeNumerically(">=", f.servedTokens()))
	})
})

// Guards against a failed stream that is framed as complete: the handler returned
// normally after writing the error event, so net/http sent the final chunk. Triggered by
// a backend server that fails after its first event.
var _ = Describe("streamed answers that fail after their first event", func() {
	var f *fleet
	const tokenCap = 40
	longPrompt := ""
	BeforeEach(func() {
		f = newFleet(1)
		for i := 0; ; i++ {
			longPrompt = fmt.Sprint("long ", i)
			if _, tokens := backend.Answer(longPrompt, tokenCap); tokens > tokenCap/2 {
				break
			}
		}
	})

	DescribeTable("tell of the error and are not framed as complete",
		func(kind backend.Fault, code result.Code) {
			f.setFaults(kind, 1)
			resp, err := f.send(0, chat(longPrompt, tokenCap, true))
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = resp.Body.Close() }()
			body, err := io.ReadAll(resp.Body)
			Expect(err).To(MatchError(io.ErrUnexpectedEOF))
			text, whole := parseStream(string(body))
			want, _ := backend.Answer(longPrompt, tokenCap)
			Expect(whole).To(BeFalse())
			Expect(text).NotTo(BeEmpty())
			shared := min(len(text), len(want))
			Expect(text[:shared]).To(Equal(want[:shared]))
			Expect(string(body)).To(And(ContainSubstring("event: error"), ContainSubstring(code.String())))
		},
		Entry("cut", backend.Cut, result.BackendCut),
		Entry("cut without framing, between events", backend.Unframed, result.BackendCut),
		Entry("framed as whole without the end marker", backend.Early, result.BackendCut),
		Entry("garbage", backend.Garbage, result.BackendGarbage),
		Entry("more than the cap", backend.Excess, result.TokenCapPassed),
	)

	It("end without the end marker for a caller of HTTP/1.0 too", func() {
		f.setFaults(backend.Early, 1)
		conn, err := net.Dial("tcp", f.settings[0].Listen.Callers)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		c := chat(longPrompt, tokenCap, true)
		_, err = fmt.Fprintf(conn, "POST %s HTTP/1.0\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", c.path, f.key, len(c.body), c.body)
		Expect(err).NotTo(HaveOccurred())
		answer, err := io.ReadAll(conn)
		Expect(err).NotTo(HaveOccurred())
		_, whole := parseStream(string(answer))
		Expect(whole).To(BeFalse())
		Expect(string(answer)).To(ContainSubstring("event: error"))
	})

	It("leave the router able to stop", func() {
		f.setFaults(backend.Cut, 1)
		resp, err := f.send(0, chat(longPrompt, tokenCap, true))
		Expect(err).NotTo(HaveOccurred())
		_, _ = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		ctx, cancel := context.WithTimeout(context.Background(), eventualTimeout)
		defer cancel()
		f.routers[0].Stop(ctx)
		Expect(ctx.Err()).NotTo(HaveOccurred())
	})
})

var _ = Describe("not-repeatable requests", func() {
	var f *fleet
	BeforeEach(func() { f = newFleet(2) })

	It("run once and are answered alike at another router", func() {
		first := f.do(0, lookup("plate 1", "once"))
		second := f.do(1, lookup("plate 1", "once"))
		Expect(first.body).To(Equal(backend.ServiceAnswer([]byte("plate 1"))))
		Expect(second.body).To(Equal(first.body))
		Expect(f.service.Runs()).To(HaveLen(1))
	})

	It("are not run again when their answer was cut", func() {
		f.setFaults(backend.Cut, 1)
		Expect(f.do(0, lookup("plate 2", "cut")).code).To(Equal(result.OutcomeUnknown))
		f.setFaults(backend.None, 0)
		got := f.do(1, lookup("plate 2", "cut"))
		Expect(got.code).To(Equal(result.OutcomeUnknown))
		Expect(got.notRun).To(BeFalse())
		Expect(f.service.Runs()).To(HaveLen(1))
	})

	It("are not answered with a part, nor at a retry, when their answer was cut without framing", func() {
		f.setFaults(backend.Unframed, 1)
		Expect(f.do(0, lookup("plate 2", "part")).code).To(Equal(result.OutcomeUnknown))
		f.setFaults(backend.None, 0)
		Expect(f.do(1, lookup("plate 2", "part")).code).To(Equal(result.OutcomeUnknown))
		Expect(f.service.Runs()).To(HaveLen(1))
	})

	It("are refused as not run while the store is out, and may come back", func() {
		f.platform.SetFaults(standin.Faults{Outage: true})
		got := f.do(0, lookup("plate 3", "later"))
		Expect(got.code).To(Equal(result.StoreUnavailable))
		Expect(got.notRun).To(BeTrue())
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
		f.platform.SetFaults(standin.Faults{})
		Eventually(func() int { return f.do(1, lookup("plate 3", "later")).status }, eventualTimeout).Should(Equal(200))
		Expect(f.service.Runs()).To(HaveLen(1))
	})
})

var _ = Describe("the store", func() {
	It("may be out: held grants serve on, and bills follow", func() {
		f := newFleet(3)
		for i := range 3 {
			Expect(f.do(i, chat(fmt.Sprint("warm", i), 100, false)).status).To(Equal(200))
		}
		f.platform.SetFaults(standin.Faults{Outage: true})
		answered := 0
		for i := range 6 {
			got := f.do(i%3, chat(fmt.Sprint("dark", i), 5, false).with(filter.HeaderKey, fmt.Sprint("dark", i)))
			if got.status == 200 {
				answered++
				continue
			}
			Expect(got.notRun).To(BeTrue())
		}
		Expect(answered).To(BeNumerically(">", 0))
		f.platform.SetFaults(standin.Faults{})
		Eventually(func() int {
			billed := 0
			for i := range 6 {
				billed += len(f.billedTokens(fmt.Sprint("k/acme/dark", i)))
			}
			return billed
		}, eventualTimeout).Should(Equal(answered))
	})

	It("may lose answers: every answered request is billed once", func() {
		f := newFleet(2)
		f.platform.SetFaults(standin.Faults{LoseAnswers: 0.4})
		for i := range 20 {
			key := fmt.Sprint("lost", i)
			if f.do(i%2, chat(key, 10, false).with(filter.HeaderKey, key)).status != 200 {
				continue
			}
			Eventually(func() []int64 { return f.billedTokens("k/acme/" + key) }, eventualTimeout).Should(HaveLen(1))
		}
	})

	It("is needed by a router that starts with nothing", func() {
		f := newFleet(1)
		f.routers[0].Kill()
		f.platform.SetFaults(standin.Faults{Outage: true})
		f.settings[0].Listen.Callers = freeAddr()
		go func() {
			defer GinkgoRecover()
			f.startRouter(0)
		}()
		Eventually(func() result.Code {
			resp, err := f.send(0, chat("x", 5, false))
			if err != nil {
				return 0
			}
			_ = resp.Body.Close()
			return f.do(0, chat("x", 5, false)).code
		}, eventualTimeout).Should(Equal(result.Starting))
		f.platform.SetFaults(standin.Faults{})
		Eventually(func() int { return f.do(0, chat("x", 5, false)).status }, eventualTimeout).Should(Equal(200))
	})
})

var _ = Describe("stops and deaths", func() {
	It("let another router finish the job with one record when a router dies", func() {
		f := newFleet(3)
		c := chat("a long dossier", 900, true).with(filter.HeaderKey, "dossier")
		resp, err := f.send(0, c)
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadFull(resp.Body, make([]byte, 100))
		Expect(err).NotTo(HaveOccurred())
		f.routers[0].Kill()
		_, _ = io.ReadAll(resp.Body)
		var got reply
		Eventually(func() int {
			got = f.do(1, c)
			return got.status
		}, eventualTimeout).Should(Equal(200))
		want, tokens := backend.Answer("a long dossier", 900)
		text, whole := parseStream(got.body)
		Expect(whole).To(BeTrue())
		Expect(text).To(Equal(want))
		Expect(f.billedTokens("k/acme/dossier")).To(ContainElement(tokens))
	})

	It("bring the tokens of a dead router back", func() {
		f := newFleet(3)
		for i := range 3 {
			Expect(f.do(i, chat(fmt.Sprint("w", i), 100, false)).status).To(Equal(200))
		}
		f.routers[2].Kill()
		f.platform.RemoveInstance("r3")
		Eventually(func() int64 {
			var b admin.BudgetAnswer
			Expect(f.admin(0, admin.BudgetShow, admin.BudgetArgs{ID: "main"}, &b)).To(Succeed())
			return b.SpentOrStranded
		}, eventualTimeout).Should(Equal(f.servedTokens()))
	})

	It("end a router that was taken to be dead, with its stream whole and billed", func() {
		f := newFleet(3)
		resp, err := f.send(0, chat("a long dossier", 900, true).with(filter.HeaderKey, "fenced"))
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadFull(resp.Body, make([]byte, 10))
		Expect(err).NotTo(HaveOccurred())
		for _, i := range []int{1, 2} {
			Expect(f.fence(i, f.incarnation(0))).To(Succeed())
		}
		Eventually(func() result.Code {
			return f.do(0, chat("x", 3, false).with(filter.HeaderKey, fmt.Sprint("after", time.Now().UnixNano()))).code
		}, eventualTimeout).Should(Equal(result.Leaving))
		body, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		_, whole := parseStream(string(body))
		Expect(whole).To(BeTrue())
		Eventually(f.routers[0].Fenced(), eventualTimeout).Should(BeClosed())
		_, tokens := backend.Answer("a long dossier", 900)
		Expect(f.billedTokens("k/acme/fenced")).To(Equal([]int64{tokens}))
	})

	It("cut no stream at a planned stop", func() {
		f := newFleet(2)
		resp, err := f.send(0, chat("long answer 3", 300, true))
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadFull(resp.Body, make([]byte, 10))
		Expect(err).NotTo(HaveOccurred())
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			ctx, cancel := context.WithTimeout(context.Background(), eventualTimeout)
			defer cancel()
			f.routers[0].Stop(ctx)
		}()
		body, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		_, whole := parseStream(string(body))
		Expect(whole).To(BeTrue())
		Eventually(stopped, eventualTimeout).Should(BeClosed())
		var b admin.BudgetAnswer
		Expect(f.admin(1, admin.BudgetShow, admin.BudgetArgs{ID: "main"}, &b)).To(Succeed())
		Expect(b.Issued).To(Equal(f.servedTokens()), "a stopped router returns what it held")
	})

	It("give a leaving backend server no new work", func() {
		f := newFleet(2)
		f.engines[0].Leave()
		Eventually(func() int {
			before := len(f.engines[0].Runs())
			for i := range 8 {
				Expect(f.do(i%2, chat(fmt.Sprint("n", i, time.Now()), 3, false)).status).To(Equal(200))
			}
			return len(f.engines[0].Runs()) - before
		}, eventualTimeout).Should(BeZero())

		By("not even from a router that starts afterwards")
		before := len(f.engines[0].Runs())
		f.routers[0].Kill()
		f.startRouter(0)
		for i := range 8 {
			Expect(f.do(0, chat(fmt.Sprint("after", i), 3, false)).status).To(Equal(200))
		}
		Expect(f.engines[0].Runs()).To(HaveLen(before))
	})
})

var _ = Describe("the table", func() {
	var f *fleet
	BeforeEach(func() { f = newFleet(3) })
	row := "*/tagger/old"

	set := func(i, weight int, expect int64) error {
		return f.admin(i, admin.TableSet, admin.TableSetArgs{Row: row, Assignments: []string{fmt.Sprint("weight=", weight)}, Expect: &expect}, nil)
	}

	It("takes one of two changes of the same row, and shows the other the row", func() {
		at := f.revision(0)
		errs := make(chan error, 2)
		for i := range 2 {
			go func() { errs <- set(i, 20+i, at) }()
		}
		first, second := <-errs, <-errs
		if first == nil {
			first, second = second, first
		}
		Expect(second).NotTo(HaveOccurred())
		Expect(result.From(first).Code).To(Equal(result.RowConflict))
	})

	It("is in force on every router when a change is accepted, and stays after a restart", func() {
		Expect(set(1, 33, f.revision(0))).To(Succeed())
		for i := range f.routers {
			Eventually(func() int64 { return f.revision(i) }, eventualTimeout).Should(Equal(f.revision(1)))
		}
		at := f.revision(0)
		f.routers[2].Kill()
		f.startRouter(2)
		Expect(f.revision(2)).To(Equal(at))
	})

	It("refuses a change that a listed router cannot follow, naming it", func() {
		f.routers[2].Kill()
		err := set(0, 44, f.revision(0))
		Expect(result.From(err).Code).To(Equal(result.CannotFollow))
		Expect(err.Error()).To(ContainSubstring("r3"))
		var entries []admin.AuditEntry
		Expect(f.admin(1, admin.Audit, struct{}{}, &entries)).To(Succeed())
		Expect(entries[len(entries)-1].Outcome).To(ContainSubstring("r3"))
	})

	It("refuses what makes no sense before anything moves", func() {
		at := f.revision(0)
		for _, assignment := range []string{"colour=red", "rate_per_second=-2", "weight=0", "weight=-1"} {
			err := f.admin(0, admin.TableSet, admin.TableSetArgs{Row: row, Assignments: []string{assignment}}, nil)
			Expect(result.From(err).Code).To(Equal(result.BadRow), "%s: %v", assignment, err)
		}
		Expect(f.revision(0)).To(Equal(at))
		var entries []admin.AuditEntry
		Expect(f.admin(0, admin.Audit, struct{}{}, &entries)).To(Succeed())
		Expect(entries[len(entries)-1].Outcome).To(ContainSubstring("weight -1"), "refused changes are in the audit trail")
	})

	// Guards against an audit trail that silently omits an unreadable entry, because
	// the decoding error was ignored. Triggered by a truncated entry in the store.
	It("shows an audit entry that cannot be read", func() {
		_, err := f.platform.Objects().Create(context.Background(), "audit/1700000000000000000-x", []byte(`{"operator":"o`))
		Expect(err).NotTo(HaveOccurred())
		var entries []admin.AuditEntry
		Expect(f.admin(0, admin.Audit, struct{}{}, &entries)).To(Succeed())
		Expect(entries[0].What).To(Equal("audit/1700000000000000000-x"))
		Expect(entries[0].Outcome).To(ContainSubstring("not readable"))
	})

	It("accepts no change while the store is out, and keeps the last one", func() {
		at := f.revision(0)
		f.platform.SetFaults(standin.Faults{Outage: true})
		Expect(result.From(set(0, 55, at)).Code).To(Equal(result.StoreUnavailable))
		Expect(f.revision(0)).To(Equal(at))
		Expect(f.do(0, chat("x", 5, false)).code).NotTo(Equal(result.TablePending))
	})
})
