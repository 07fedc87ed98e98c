package server

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/gaplink/gaplink/controller/loads"
	"github.com/gaplink/gaplink/controller/origins"
	"github.com/gaplink/gaplink/controller/verdicts"
	"github.com/gaplink/gaplink/link"
	"github.com/gaplink/gaplink/store"
	"github.com/gaplink/gaplink/wakeups"
)

// MetricsPath is the path of the Prometheus metrics.
const MetricsPath = "/metrics"

// serveMetrics serves the metrics at the metrics address, if one is set.
func (s *Server) serveMetrics() error {
	s.registerState()
	if s.settings.Listen.Metrics == "" {
		return nil
	}
	mux := http.NewServeMux()
	mux.Handle(MetricsPath, promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{}))
	s.metrics = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	return s.listen(s.settings.Listen.Metrics, s.metrics, s.boundChecks)
}

// registerState registers the metrics that are computed at each scrape.
func (s *Server) registerState() {
	s.gauge("gaplink_config_version", "Version of the configuration in force.", func() float64 { return float64(s.configs.Version()) })
	s.gauge("gaplink_config_age_seconds", "Age of what is known of the configuration, counted from the store's answer; below 0: nothing was heard.", func() float64 { return s.updates.Ages().Config.Seconds() })
	s.gauge("gaplink_domains_evacuated", "Failure domains whose servers get no request, by the operator's word.", func() float64 { return float64(len(s.evacuations.Domains())) })
	s.gauge("gaplink_servers_cold", "Backend servers that are known to be cold and get little work.", func() float64 { return float64(s.servers.Cold()) })
	s.gauge("gaplink_servers_announced_leaving", "Registered backend servers that announced in responses that they are leaving, or whose address another server has taken.", func() float64 { return float64(s.servers.Departures()) })
	s.gauge("gaplink_servers_limited", "Backend servers that name a rate limit.", func() float64 { return float64(s.limits.Limited()) })
	s.gauge("gaplink_services_brittle", "Services whose backend servers say that they fall over if they must reject many requests.", func() float64 { return float64(s.servers.BrittleServices()) })
	s.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "gaplink_budget_moves_beyond_usable_total", Help: "Messages to other routers that were to carry tokens in escrow."},
		func() float64 { return float64(s.budgets.MovesBeyondUsable()) }))
	s.gauge("gaplink_requests_in_flight", "Requests being served.", func() float64 { return float64(s.gateway.InFlight()) })
	s.gauge("gaplink_caller_connections", "Open connections of callers.", func() float64 { return float64(s.callerListener.Open()) })
	s.gauge("gaplink_registrations_unreadable", "Registrations of backend servers that could not be read, since the start.", func() float64 { return float64(s.servers.Unreadable()) })
	s.gauge("gaplink_link_load_in", "Part of the link's capacity that was used inwards in the last window.", func() float64 { return s.meter.Load().In })
	s.gauge("gaplink_link_load_out", "The same outwards.", func() float64 { return s.meter.Load().Out })
	s.gauge("gaplink_backlog_bytes", "Bytes of large writes in progress to callers and servers.", func() float64 { return float64(s.backlog.Sum()) })
	s.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "gaplink_slow_readers_reset_total", Help: "Connections that were reset because callers and servers that read slowly held too much memory."},
		func() float64 { return float64(s.backlog.Aborted()) }))
	s.gauge("gaplink_log_lines_dropped", "Log lines left out because the reader was slow.", func() float64 { return float64(s.writer.Dropped()) })
	s.gauge("gaplink_poison_suspects", "Requests that ran at a server when it ended.", func() float64 { _, suspects, _ := s.verdicts.Stats(); return float64(suspects) })
	s.gauge("gaplink_poison_held", "Requests that are held back.", func() float64 { _, _, quarantined := s.verdicts.Stats(); return float64(quarantined) })
	s.gauge("gaplink_load_age_seconds", "Age of the oldest observation in the load of servers that other routers share; below 0: unknown.", func() float64 { return loadAge(s.loads.Stats()) })
	s.gauge("gaplink_load_servers", "Backend servers whose load by other routers is known.", func() float64 { return float64(s.loads.Stats().Servers) })
	s.loadCounter("gaplink_load_dropped_total", "Figures that other routers reported of loads and that were dropped because they make no sense.", func(t loads.Stats) int64 { return t.Dropped })
	s.verdictCounter("gaplink_poison_looks_total", "Looks at servers at which answers broke off.", func(c verdicts.Counts) int64 { return c.LivenessChecks })
	s.verdictCounter("gaplink_poison_verdicts_total", "Verdicts that this router reached.", func(c verdicts.Counts) int64 { return c.Verdicts })
	s.verdictCounter("gaplink_poison_trials_total", "Runs that this router let through after a quarantine.", func(c verdicts.Counts) int64 { return c.Trials })
	s.verdictCounter("gaplink_poison_forgotten_total", "Crashes whose prompt parts were dropped for room.", func(c verdicts.Counts) int64 { return c.Forgotten })
	s.verdictCounter("gaplink_poison_evidence_writes_total", "Writes of crashes before a verdict to the store.", func(c verdicts.Counts) int64 { return c.EvidenceWrites })
	s.verdictCounter("gaplink_poison_lifted_total", "Verdicts that were lifted by good runs or operators.", func(c verdicts.Counts) int64 { return c.Lifted })
	s.gauge("gaplink_streams_on_record", "Streams of which this router knows which software version began them.", func() float64 { _, streams := s.origins.Counts(); return float64(streams) })
	s.originCounter("gaplink_origins_recorded_total", "Streams whose origin another router had before their first event.", func(c origins.Counts) int64 { return c.Recorded })
	s.originCounter("gaplink_origins_unrecorded_total", "Streams whose origin no other router had in time.", func(c origins.Counts) int64 { return c.Unrecorded })
	s.originCounter("gaplink_origins_found_total", "Streams taken up whose origin was found.", func(c origins.Counts) int64 { return c.Found })
	s.originCounter("gaplink_versions_unlisted_total", "First events of streams that left before the version of their server was on record in the store.", func(c origins.Counts) int64 { return c.Unlisted })
	s.originCounter("gaplink_origins_unknown_total", "Streams taken up whose origin was unknown while several versions served.", func(c origins.Counts) int64 { return c.Unknown })
	s.storeCounter("gaplink_store_reads_total", "Store reads.", func(c store.Counts) int64 { return c.Reads })
	s.storeCounter("gaplink_store_writes_total", "Store writes.", func(c store.Counts) int64 { return c.Writes })
	s.storeCounter("gaplink_store_watches_total", "Store watches.", func(c store.Counts) int64 { return c.Watches })
	s.gauge("gaplink_server_dials", "Connections opened to backend servers.", func() float64 { return float64(s.pool.Stats().Dials) })
	s.gauge("gaplink_server_reuses", "Requests sent on kept connections.", func() float64 { return float64(s.pool.Stats().Reuses) })
	s.registerSockets()
	s.registerPaths()
	s.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	s.registry.MustRegister(&stateCollector{server: s})
}

func (s *Server) gauge(name, help string, read func() float64) {
	s.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
}

func (s *Server) storeCounter(name, help string, read func(store.Counts) int64) {
	value := func() float64 { return float64(read(s.store.Counts())) }
	s.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, value))
}

func (s *Server) originCounter(name, help string, read func(origins.Counts) int64) {
	value := func() float64 {
		counts, _ := s.origins.Counts()
		return float64(read(counts))
	}
	s.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, value))
}

func (s *Server) verdictCounter(name, help string, read func(verdicts.Counts) int64) {
	value := func() float64 {
		counts, _, _ := s.verdicts.Stats()
		return float64(read(counts))
	}
	s.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, value))
}

func (s *Server) loadCounter(name, help string, read func(loads.Stats) int64) {
	value := func() float64 { return float64(read(s.loads.Stats())) }
	s.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, value))
}

// loadAge returns the age of the shared load in seconds, below 0 if it is unknown.
func loadAge(t loads.Stats) float64 {
	if t.Age < 0 {
		return -1
	}
	return t.Age.Seconds()
}

// stateCollector collects the metrics whose labels are known only at a scrape: budgets, store
// and peer calls, wake-ups, permits and backend servers.
type stateCollector struct{ server *Server }

var (
	budgetTokensDesc = prometheus.NewDesc("gaplink_budget_tokens", "Tokens of an account that this router holds, by use.", []string{"account", "use"}, nil)
	storeCallsDesc   = prometheus.NewDesc("gaplink_store_calls_total", "Store calls, by kind of object and call; a list of several pages counts as one.", []string{"kind", "call"}, nil)
	peerBytesDesc    = prometheus.NewDesc("gaplink_peer_bytes_total", "Bytes of this router's calls of other routers, by method and direction, without framing.", []string{"method", "direction"}, nil)
	wakeupsDesc      = prometheus.NewDesc("gaplink_wakeups_total", "Times that the process woke by its own timers, by purpose.", []string{"purpose"}, nil)
	peerCallsDesc    = prometheus.NewDesc("gaplink_peer_calls_total", "Calls of other routers, by method.", []string{"method"}, nil)
	loadCallsDesc    = prometheus.NewDesc("gaplink_load_messages_total", "Reports of loads that this router sent to other routers, by what became of them.", []string{"outcome"}, nil)
	slotsDesc        = prometheus.NewDesc("gaplink_slot_loans_total", "Requests that need a slot of a brittle server that is no router's part, by what became of it.", []string{"outcome"}, nil)
	permitsDesc      = prometheus.NewDesc("gaplink_permits_total", "Requests for servers with a rate limit, by what became of their permit.", []string{"outcome"}, nil)
	choicesDesc      = prometheus.NewDesc("gaplink_server_choices_total", "Choices of a backend server, by reason.", []string{"reason"}, nil)
	linkBytesDesc    = prometheus.NewDesc("gaplink_link_bytes_total", "Bytes of connections, by purpose and direction.", []string{"purpose", "direction"}, nil)
	accountBytesDesc = prometheus.NewDesc("gaplink_link_account_bytes", "Bytes of requests and responses in the last window of the link, of the accounts with the most.", []string{"account"}, nil)
	serversDesc      = prometheus.NewDesc("gaplink_servers", "Backend servers known, by state.", []string{"service", "state"}, nil)
)

// Describe implements prometheus.Collector.
func (c *stateCollector) Describe(ch chan<- *prometheus.Desc) {
	ch <- budgetTokensDesc
	ch <- storeCallsDesc
	ch <- serversDesc
	ch <- peerBytesDesc
	ch <- peerCallsDesc
	ch <- permitsDesc
	ch <- slotsDesc
	ch <- choicesDesc
	ch <- loadCallsDesc
	ch <- wakeupsDesc
	ch <- linkBytesDesc
	ch <- accountBytesDesc
}

// Collect implements prometheus.Collector.
func (c *stateCollector) Collect(ch chan<- prometheus.Metric) {
	sendGauge := func(d *prometheus.Desc, n int64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, float64(n), labels...)
	}
	for account, h := range c.server.budgets.Holdings(nil) {
		sendGauge(budgetTokensDesc, h.Balance, account, "free")
		sendGauge(budgetTokensDesc, h.Reserved, account, "reserved")
		sendGauge(budgetTokensDesc, h.Writing, account, "writing")
	}
	for p, n := range c.server.store.ByPurpose() {
		ch <- prometheus.MustNewConstMetric(storeCallsDesc, prometheus.CounterValue, float64(n), p.Kind, string(p.Call))
	}
	for method, t := range c.server.peers.ByMethod() {
		ch <- prometheus.MustNewConstMetric(peerBytesDesc, prometheus.CounterValue, float64(t.Sent), method, "sent")
		ch <- prometheus.MustNewConstMetric(peerBytesDesc, prometheus.CounterValue, float64(t.Received), method, "received")
		ch <- prometheus.MustNewConstMetric(peerCallsDesc, prometheus.CounterValue, float64(t.Calls), method)
	}
	for purpose, n := range wakeups.Counts() {
		ch <- prometheus.MustNewConstMetric(wakeupsDesc, prometheus.CounterValue, float64(n), purpose.String())
	}
	c.collectLink(ch)
	permits := c.server.limits.Counts()
	for outcome, n := range map[string]int64{"granted": permits.Granted, "denied": permits.Denied, "unanswered": permits.Unanswered} {
		ch <- prometheus.MustNewConstMetric(permitsDesc, prometheus.CounterValue, float64(n), outcome)
	}
	loans := c.server.slots.Counts()
	for outcome, n := range map[string]int64{"lent": loans.Lent, "denied": loans.Denied, "unanswered": loans.Unanswered} {
		ch <- prometheus.MustNewConstMetric(slotsDesc, prometheus.CounterValue, float64(n), outcome)
	}
	for reason, n := range c.server.servers.Choices() {
		ch <- prometheus.MustNewConstMetric(choicesDesc, prometheus.CounterValue, float64(n), reason)
	}
	shared := c.server.loads.Stats()
	for outcome, n := range map[string]int64{"answered": shared.Answered, "failed": shared.Failed, "unsupported": shared.Unsupported} {
		ch <- prometheus.MustNewConstMetric(loadCallsDesc, prometheus.CounterValue, float64(n), outcome)
	}
	for service, n := range c.server.servers.Counts() {
		sendGauge(serversDesc, int64(n.Up), service, "up")
		sendGauge(serversDesc, int64(n.Ejected), service, "ejected")
		sendGauge(serversDesc, int64(n.Leaving), service, "leaving")
		sendGauge(serversDesc, int64(n.Evacuated), service, "evacuated")
		sendGauge(serversDesc, int64(n.BackingOff), service, "backing_off")
	}
}

// collectLink collects the bytes at the link.
func (c *stateCollector) collectLink(ch chan<- prometheus.Metric) {
	for _, p := range link.Purposes {
		total := c.server.meter.Total(p)
		ch <- prometheus.MustNewConstMetric(linkBytesDesc, prometheus.CounterValue, float64(total.In), p.String(), "in")
		ch <- prometheus.MustNewConstMetric(linkBytesDesc, prometheus.CounterValue, float64(total.Out), p.String(), "out")
	}
	for _, a := range c.server.meter.Usage().Accounts {
		ch <- prometheus.MustNewConstMetric(accountBytesDesc, prometheus.GaugeValue, float64(a.Bytes), a.Key)
	}
}
