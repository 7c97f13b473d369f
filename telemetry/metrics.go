// Package telemetry provides the router's metrics, traces and log writer.
package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

const namespace = "tamarindstep"

// Metrics contains all metrics of a router.
type Metrics struct {
	Registry  *prometheus.Registry
	Peer      *Peer
	Halls     *Halls
	Front     *Front
	Scheduler *Scheduler
	Platform  *Platform
}

// Peer contains the metrics of the traffic between routers.
type Peer struct {
	SentBytes     prometheus.Counter
	SentDatagrams prometheus.Counter
	ReceivedBytes prometheus.Counter
	Refused       prometheus.Counter
	SendFailures  prometheus.Counter
}

// Halls contains the metrics of the traffic between this data hall and others.
type Halls struct {
	Bytes  *prometheus.CounterVec // by kind
	Copied prometheus.Counter     // tokens
}

// The kinds of traffic between data halls.
const (
	HallRequests = "requests" // to backend servers
	HallAnswers  = "answers"  // from backend servers
	HallControl  = "control"  // datagrams to other routers
)

// Front contains the metrics of callers' requests.
type Front struct {
	Requests          *prometheus.CounterVec   // by account, route, outcome
	Refusals          *prometheus.CounterVec   // by code
	Wait              *prometheus.HistogramVec // seconds, by account, class, policy
	FirstByte         *prometheus.HistogramVec // seconds to the first byte, by route
	HeldBytes         *prometheus.GaugeVec     // bytes, by what
	HeldBytesLimit    prometheus.Gauge
	MemoryLimited     *prometheus.CounterVec // by what
	EndedServers      prometheus.Counter
	Versions          *prometheus.CounterVec   // ended sends, by pool, software version, outcome
	FirstEvent        *prometheus.HistogramVec // seconds from a send to the first event, by pool, software version
	IncompleteAnswers *prometheus.CounterVec   // incomplete answers to callers, by BreakCause
	Notices           *prometheus.CounterVec   // by kind
	Open              prometheus.Gauge
	RefusedUnread     *prometheus.CounterVec // by reason
	Pending           prometheus.Gauge
	PendingLimit      prometheus.Gauge // requests; infinite if no decision was late
	Streams           prometheus.Gauge
	StreamsLimit      prometheus.Gauge       // streams; infinite while there is no scheduling delay
	Work              *prometheus.CounterVec // by kind
}

// BreakCause is the reason for an incomplete answer.
type BreakCause string

// The reasons for incomplete answers.
const (
	BreakCallerStalled BreakCause = "caller-stalled" // the caller didn't read the answer for too long
	BreakCallerLeft    BreakCause = "caller-left"    // the caller closed its connection
	BreakBackend       BreakCause = "backend"        // the backend server interrupted the answer, and no other could continue it
	BreakLimit         BreakCause = "over-limit"     // the backend server sent more than is accepted, or no response
	BreakTimeout       BreakCause = "time-over"      // the request's timeout expired
	BreakStop          BreakCause = "router-stopped" // the router's time for a stop ended
)

// Scheduler contains the metrics of the scheduler.
type Scheduler struct {
	Dispatched     *prometheus.CounterVec // by account, backend, policy
	Tokens         *prometheus.CounterVec // by account, pool, policy
	StepTime       prometheus.Counter     // seconds
	Steps          prometheus.Counter
	EventWait      prometheus.Histogram // seconds from an event to the step that handles it
	Step           prometheus.Histogram // duration of a step in seconds
	Members        prometheus.Gauge
	OwnedBackends  prometheus.Gauge
	HeldRequests   prometheus.Gauge
	OverdueReports prometheus.Gauge
	ResumedStreams *prometheus.CounterVec // by the source of the lineage, or the reason of the refusal
}

// Platform contains the metrics of the platform's services.
type Platform struct {
	StoreCalls    *prometheus.CounterVec // by call
	StoreFailures *prometheus.CounterVec // by call
	Claims        *prometheus.CounterVec // by result
	Generation    prometheus.Gauge
	Evacuated     prometheus.Gauge
	Unreadable    prometheus.Counter
	SharedHashes  prometheus.Gauge
	Restarts      prometheus.Counter
	Era           prometheus.Gauge
	EraRefused    prometheus.Counter
}

// durationBuckets are the histogram buckets in seconds, from a millisecond to some minutes.
var durationBuckets = prometheus.ExponentialBuckets(0.001, 2, 19)

// NewMetrics returns a router's metrics, registered in a new registry.
func NewMetrics() *Metrics {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(collectors.WithGoCollectorRuntimeMetrics(collectors.MetricsScheduler)), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	f := metricFactory{r}
	return &Metrics{
		Registry: r,
		Peer: &Peer{
			SentBytes:     f.counter("peer_sent_bytes_total", "Bytes of datagrams sent to other routers."),
			SentDatagrams: f.counter("peer_sent_datagrams_total", "Datagrams sent to other routers."),
			ReceivedBytes: f.counter("peer_received_bytes_total", "Bytes of datagrams received."),
			Refused:       f.counter("peer_refused_total", "Datagrams and connections that weren't taken."),
			SendFailures:  f.counter("peer_send_failures_total", "Datagrams that couldn't be sent."),
		},
		Halls: &Halls{
			Bytes:  f.counters("between_halls_bytes_total", "Bytes between this data hall and others, without heads and framing.", "kind"),
			Copied: f.counter("between_halls_copied_tokens_total", "Tokens of prompts that backend servers were told to copy from another data hall."),
		},
		Front: newFront(f),
		Scheduler: &Scheduler{
			Dispatched:     f.counters("dispatched_total", "Requests sent to a backend server.", "account", "backend", "policy"),
			Tokens:         f.counters("tokens_total", "Tokens delivered, input and output.", "account", "pool", "policy"),
			StepTime:       f.counter("core_seconds_total", "Processor time of the decisions."),
			Steps:          f.counter("core_steps_total", "Events that the decisions took."),
			EventWait:      f.histogram("core_event_wait_seconds", "Time from an event to the step of the decisions that takes it."),
			Step:           f.histogram("core_step_duration_seconds", "Time of one step of the decisions, its actions included."),
			Members:        f.gauge("members", "Live routers, this one included."),
			OwnedBackends:  f.gauge("owned_backends", "Backend servers whose slots this router grants."),
			HeldRequests:   f.gauge("held_requests", "Requests that are held back, as backend servers ended under them."),
			ResumedStreams: f.counters("resumed_streams_total", "Streams taken up by callers, by where the software that began them is known from, or why they were refused.", "outcome"),
			OverdueReports: f.gauge("load_reports_overdue", "Live routers of which no load reports arrive."),
		},
		Platform: &Platform{
			StoreCalls:    f.counters("store_calls_total", "Calls of the store.", "call"),
			StoreFailures: f.counters("store_failures_total", "Calls of the store that failed.", "call"),
			Claims:        f.counters("claims_total", "Claims of idempotency keys, by result.", "result"),
			Generation:    f.gauge("generation", "Generation of the configuration in force."),
			Evacuated:     f.gauge("evacuated_halls", "Data halls that are evacuated, but for those of the operators' file."),
			Era:           f.gauge("store_era", "Era of the store: how often it has come back from a copy."),
			EraRefused:    f.counter("store_era_refused_total", "Answers of the store whose era is over or can't be read."),
			Restarts:      f.counter("backend_server_restarts_total", "Backend servers that have started again under their names."),
			SharedHashes:  f.gauge("shared_hashes", "Names in force that share a hash with another of their kind."),
			Unreadable:    f.counter("unreadable_announcements_total", "Announcements of backend servers that couldn't be read."),
		},
	}
}

// newFront returns the metrics of the services for callers.
func newFront(f metricFactory) *Front {
	return &Front{
		Requests:          f.counters("requests_total", "Requests by their end.", "account", "route", "outcome"),
		Refusals:          f.counters("refusals_total", "Requests refused, by reason.", "code"),
		Wait:              f.histograms("wait_seconds", "Time until a request was dispatched.", "account", "class", "policy"),
		FirstByte:         f.histograms("first_byte_seconds", "Time until the answer's first byte.", "route"),
		EndedServers:      f.counter("ended_servers_total", "Answers that broke off as their backend server ended."),
		HeldBytes:         f.gauges("held_bytes", "Bytes that are held for callers.", "what"),
		HeldBytesLimit:    f.gauge("held_bytes_limit", "Bytes that may be held for callers."),
		MemoryLimited:     f.counters("gave_way_total", "Requests refused unread and answers passed on in parts, as there was no room to hold them.", "what"),
		Versions:          f.counters("version_answers_total", "What came of requests sent to backend servers, by software version.", "pool", "version", "outcome"),
		FirstEvent:        f.histograms("version_first_event_seconds", "Time from sending a request to the first event of its stream, by software version.", "pool", "version"),
		IncompleteAnswers: f.counters("broken_answers_total", "Answers broken off towards their callers, by cause.", "cause"),
		Notices:           f.counters("server_notices_total", "What backend servers said of themselves beside answers.", "notice"),
		Open:              f.gauge("requests_open", "Requests being served."),
		RefusedUnread:     f.counters("refused_unread_total", "Requests refused by their header, by reason.", "reason"),
		Pending:           f.gauge("requests_pending", "Requests that were let in and aren't decided on yet."),
		PendingLimit:      f.gauge("requests_pending_limit", "Requests that may wait for a decision as it would else be late."),
		Streams:           f.gauge("streams_carried", "Streams that were let in and haven't ended."),
		StreamsLimit:      f.gauge("streams_carried_limit", "Streams that may be carried, as more would be passed on late."),
		Work:              f.counters("callers_work_total", "What was done for callers, by kind: what processor time goes into.", "kind"),
	}
}

type metricFactory struct{ registry *prometheus.Registry }

func (f metricFactory) counter(name, help string) prometheus.Counter {
	c := prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
	f.registry.MustRegister(c)
	return c
}

func (f metricFactory) counters(name, help string, labels ...string) *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
	f.registry.MustRegister(c)
	return c
}

func (f metricFactory) gauge(name, help string) prometheus.Gauge {
	g := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
	f.registry.MustRegister(g)
	return g
}

func (f metricFactory) gauges(name, help string, labels ...string) *prometheus.GaugeVec {
	g := prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, labels)
	f.registry.MustRegister(g)
	return g
}

func (f metricFactory) histogram(name, help string) prometheus.Histogram {
	h := prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: durationBuckets})
	f.registry.MustRegister(h)
	return h
}

func (f metricFactory) histograms(name, help string, labels ...string) *prometheus.HistogramVec {
	h := prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: name, Help: help, Buckets: durationBuckets,
	}, labels)
	f.registry.MustRegister(h)
	return h
}
