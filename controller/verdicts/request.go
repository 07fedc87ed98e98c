package verdicts

import (
	"context"
	"time"

	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/poison"
	"github.com/gaplink/gaplink/result"
	"github.com/gaplink/gaplink/upstream"
)

// maxRetryAfter bounds the retry delay given to the caller of a quarantined request: it does not
// change sooner unless an operator lifts the verdict.
const maxRetryAfter = time.Hour

// partCheckWait bounds the wait for a liveness check for the sake of a part of the prompt alone: many requests have
// it, and a check of a process that only this router does not reach takes longer.
const partCheckWait = 100 * time.Millisecond

// Request tracks one request in flight for crash detection. It is not safe for concurrent use.
type Request struct {
	verdicts *Controller
	identity func() poison.Identity
	// fingerprint is computed on first use; most requests never need it.
	fingerprint *poison.Fingerprint
	// parts are those of the prompt that may be shared with other requests, computed with fingerprint.
	parts []poison.Part
	// checked is closed when the result of the liveness check for the last broken attempt is
	// known; nil: no attempt has broken off. brokenAttempts counts the attempts that broke
	// off.
	checked        <-chan struct{}
	brokenAttempts int
	// trial is set if the request is the trial run after a quarantine.
	trial bool
}

// Request returns the tracking state of a request. It calls identity only if the fingerprint
// is needed.
func (c *Controller) Request(identity func() poison.Identity) *Request {
	return &Request{verdicts: c, identity: identity}
}

// Fingerprint returns the request's fingerprint, or nil if it has not been computed.
func (r *Request) Fingerprint() *poison.Fingerprint { return r.fingerprint }

func (r *Request) ensureFingerprint() poison.Fingerprint {
	if r.fingerprint == nil {
		id := r.identity()
		f := id.Fingerprint()
		r.fingerprint, r.parts = &f, poison.PartsOf(id.Account, id.Parts)
	}
	return *r.fingerprint
}

// Refusal returns the error for a request that is quarantined, or nil. Without the quarantine, each
// arrival of such a request, as a router's retry or as a new attempt of its caller, crashed
// another server and failed the other requests there: with six servers and one such request
// every 0.3 s, more than four in five of all others failed
// (TestRequestThatEndsServersIsHeldBack).
func (r *Request) Refusal() *result.Error {
	if r.trial || !r.verdicts.Watching() {
		return nil
	}
	if v, held := r.verdicts.Holds(r.ensureFingerprint(), r.parts); held {
		return quarantineRefusal(v)
	}
	return nil
}

// Admit is Refusal for a request that is about to be sent to a server. After a quarantine it is admitted only if
// it becomes the trial run, for which it waits for up to claimTimeout.
func (r *Request) Admit() *result.Error {
	if r.trial || !r.verdicts.Watching() {
		return nil
	}
	v, refused, trial := r.verdicts.admit(r.ensureFingerprint(), r.parts)
	if refused {
		return quarantineRefusal(v)
	}
	r.trial = trial
	return nil
}

func quarantineRefusal(v poison.Verdict) *result.Error {
	what := "the request"
	if v.Scope != poison.ScopeRequest {
		what = "requests with the part " + v.Part + " in their prompts"
	}
	return result.New(result.HeldBack, "%d servers ended under %s", len(v.Servers), what).After(min(v.Remaining, maxRetryAfter))
}

// RecordBroken records that the connection to a server closed before the response was complete.
func (r *Request) RecordBroken(s placement.Server) {
	f := r.ensureFingerprint()
	r.checked = r.verdicts.RecordBroken(s, f, r.parts...)
	r.brokenAttempts++
}

// EndedWithServer finds out whether the server of a response that ended with its connection has crashed, in which
// case the response may lack its end, or is alive. Neither may be known.
func (r *Request) EndedWithServer(ctx context.Context, s placement.Server) (crashed, alive bool) {
	f := r.ensureFingerprint()
	found, crashed := r.verdicts.CheckEnded(ctx, s, f, r.parts...)
	return crashed, found == upstream.Alive
}

// MayCrashServers reports whether more than one server has crashed while a request with a broken
// attempt ran there, or several have under requests with a part of its prompt, in which case no router may
// retry it on its own. It waits for the liveness check of the last server only if another server has
// crashed before, or may have: most requests that break off merely ran on a server that crashed, or the
// server has not crashed, and these are retried at once.
func (r *Request) MayCrashServers(ctx context.Context) bool {
	if r.checked == nil {
		return false
	}
	if r.trial {
		return true
	}
	mayBeFatal, isSuspected := r.verdicts.PartMayBeFatal(r.parts)
	suspected := r.brokenAttempts > 1 || r.verdicts.Crashes(r.ensureFingerprint()) > 0
	switch {
	case mayBeFatal:
		return true
	case !isSuspected && !suspected:
		return false
	case !suspected:
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, partCheckWait)
		defer cancel()
	}
	select {
	case <-r.checked:
	case <-ctx.Done():
	}
	mayBeFatal, _ = r.verdicts.PartMayBeFatal(r.parts)
	return mayBeFatal || r.verdicts.Crashes(r.ensureFingerprint()) > 1
}

// RecordSuccess records that a server of the service completed the request and is alive, which
// counts as evidence if other servers crashed while it ran there.
func (r *Request) RecordSuccess(service string) {
	if !r.verdicts.Watching() {
		id := r.identity()
		r.verdicts.recordPartSuccess(service, poison.PartsOf(id.Account, id.Parts))
		return
	}
	f := r.ensureFingerprint()
	r.verdicts.RecordSuccess(service, f, r.parts...)
}

// Affinity returns the affinity of a request that ran on a server when it crashed, 0 for any
// other. All routers send such a request to the same server, independent of its prompt:
// concurrent copies then crash one server instead of several, and requests that shared one
// crash do not share a second one.
func (r *Request) Affinity() uint64 {
	if !r.verdicts.Watching() || r.verdicts.Crashes(r.ensureFingerprint()) == 0 {
		return 0
	}
	return r.ensureFingerprint().Affinity()
}
