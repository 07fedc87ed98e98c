package router

import (
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/kataras/iris/v12"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/filter"
	"github.com/gaplink/gaplink/result"
	"github.com/gaplink/gaplink/table"
)

// retryElsewhereAfter is the Retry-After value of refusals that another router can serve.
const retryElsewhereAfter = time.Second

// callerHandler returns the HTTP handler for callers and the load balancer.
func (r *Router) callerHandler() (http.Handler, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Post("/v1/chat/completions", func(ctx iris.Context) {
		r.serve(ctx.ResponseWriter(), ctx.Request(), table.Model, "")
	})
	app.Post("/v1/services/{path:path}", func(ctx iris.Context) {
		r.serve(ctx.ResponseWriter(), ctx.Request(), table.Service, ctx.Params().Get("path"))
	})
	app.Get("/healthz", func(ctx iris.Context) { r.healthz(ctx) })
	app.Get("/metrics", iris.FromStd(promhttp.HandlerFor(r.metrics.Registry, promhttp.HandlerOpts{})))
	if err := app.Build(); err != nil {
		return nil, err
	}
	return app, nil
}

// healthz answers the load balancer's health check: 200 while the router accepts new
// requests, 503 otherwise.
func (r *Router) healthz(ctx iris.Context) {
	if r.leaving.Load() || !r.Ready() {
		ctx.StatusCode(http.StatusServiceUnavailable)
	}
	_ = ctx.JSON(map[string]any{
		"ready":    r.Ready(),
		"leaving":  r.leaving.Load(),
		"revision": r.tables.State().Revision,
	})
}

// serve runs one request through the filter chain and sends any error to the caller.
func (r *Router) serve(w http.ResponseWriter, req *http.Request, kind table.PoolKind, path string) {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	x := &filter.Exchange{
		ID:       uuid.NewString(),
		W:        w,
		R:        req,
		Received: clock.Now(),
		Kind:     kind,
		Path:     path,
	}
	x.Log = r.log.With(zap.String("request", x.ID))
	err := r.admit()
	if err == nil {
		err = r.chain.Serve(req.Context(), x)
	}
	r.finishRequest(x, err)
	if err != nil && x.ResponseStarted {
		// Returning normally would send the final chunk, so a caller that relies on
		// HTTP framing would take the partial response as complete.
		panic(http.ErrAbortHandler)
	}
}

// admit returns an error if this router must not accept requests now.
func (r *Router) admit() error {
	switch {
	case r.refusing.Load():
		return result.New(result.Leaving, "this router is stopping").After(retryElsewhereAfter)
	case !r.Ready():
		return result.New(result.Starting, "this router has not yet read its configuration").After(retryElsewhereAfter)
	case r.pauseDetector.paused(clock.Now()):
		return result.New(result.Paused, "this router was paused").After(retryElsewhereAfter)
	}
	return nil
}

// finishRequest sends the error response, if any, and logs and counts the request.
func (r *Router) finishRequest(x *filter.Exchange, err error) {
	code := result.OK
	if err != nil {
		e := result.From(err)
		code = e.Code
		filter.WriteError(x, e)
	}
	took := clock.Since(x.Received)
	r.metrics.Requests.WithLabelValues(strconv.Itoa(int(code))).Inc()
	r.metrics.Seconds.WithLabelValues(string(x.Kind)).Observe(took.Seconds())
	r.metrics.Unrecorded.Set(float64(r.ledgers.Unrecorded()))
	if x.Budget != "" {
		r.metrics.Tokens.WithLabelValues(x.Budget).Add(float64(x.Tokens))
	}
	x.Log.Info("request ended",
		zap.Int("code", int(code)),
		zap.String("account", x.Account.ID),
		zap.Int64("tokens", x.Tokens),
		zap.Duration("took", took),
		zap.Error(err))
}
