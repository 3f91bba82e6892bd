package jobs

import (
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"almondcove/admission"
	"almondcove/owner"
	"almondcove/store"
)

// metrics holds the metrics that a node records as it works. nodeCollector reads
// the others from the state of the node when Prometheus asks for them.
type metrics struct {
	registry       *prometheus.Registry
	requests       *prometheus.CounterVec
	requestSeconds *prometheus.HistogramVec
	commits        *prometheus.CounterVec
	commitSeconds  prometheus.Histogram
	orders         *prometheus.CounterVec
}

// firstBucketSeconds is the upper bound of the first histogram bucket. Each of the
// others has twice the bound of the one before.
const firstBucketSeconds = 0.001

func newMetrics(n *Node) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "almondcove_requests_total", Help: "Requests about jobs by kind and outcome.",
		}, []string{"request", "outcome"}),
		requestSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "almondcove_request_seconds", Help: "Time from a request about a job to its outcome.",
			Buckets: prometheus.ExponentialBuckets(firstBucketSeconds, 2, 13),
		}, []string{"request"}),
		commits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "almondcove_commits_total", Help: "Commits to the ledger by outcome.",
		}, []string{"outcome"}),
		commitSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "almondcove_commit_seconds", Help: "Time of a commit to the ledger.",
			Buckets: prometheus.ExponentialBuckets(firstBucketSeconds, 2, 13),
		}),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "almondcove_orders_total", Help: "Orders to VMs and machines by kind and result.",
		}, []string{"order", "result"}),
	}
	labels := prometheus.Labels{"entry": n.config.Self.Name, "centre": n.config.Self.Centre}
	prometheus.WrapRegistererWith(labels, m.registry).MustRegister(
		m.requests, m.requestSeconds, m.commits, m.commitSeconds, m.orders, &nodeCollector{node: n},
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return m
}

// observeRequest counts a request by its outcome, records its duration, and returns
// its answer unchanged.
func (m *metrics) observeRequest(kind string, began time.Time, a owner.Answer) owner.Answer {
	m.requests.WithLabelValues(kind, a.Outcome.String()).Inc()
	m.requestSeconds.WithLabelValues(kind).Observe(time.Since(began).Seconds())
	return a
}

// observeCommit counts a commit to the ledger and records its duration. Its outcome tells a
// commit that the store will never accept from one that failed because the store is away.
func (m *metrics) observeCommit(took time.Duration, err error) {
	outcome := "written"
	if err != nil {
		outcome = "failed"
	}
	if _, ok := errors.Into[*store.Invalid](err); ok {
		outcome = "invalid"
	}
	m.commits.WithLabelValues(outcome).Inc()
	m.commitSeconds.Observe(took.Seconds())
}

func (m *metrics) countOrder(order, result string) {
	m.orders.WithLabelValues(order, result).Inc()
}

// RegisterMetrics adds the metrics of c to those that [Node.Metrics] serves. It panics if
// the node has metrics of the same name.
func (n *Node) RegisterMetrics(c prometheus.Collector) {
	labels := prometheus.Labels{"entry": n.config.Self.Name, "centre": n.config.Self.Centre}
	prometheus.WrapRegistererWith(labels, n.metrics.registry).MustRegister(c)
}

// Metrics returns a handler that serves the node's metrics to Prometheus.
func (n *Node) Metrics() http.Handler {
	return promhttp.HandlerFor(n.metrics.registry, promhttp.HandlerOpts{})
}

// nodeCollector collects the metrics that are read from the state of a node.
type nodeCollector struct {
	node *Node
}

// The descriptions of the metrics of nodeCollector.
var (
	ownerDesc       = prometheus.NewDesc("almondcove_owner", "1 while this entry owns the jobs.", nil, nil)
	epochDesc       = prometheus.NewDesc("almondcove_epoch", "Epoch of the owner that this entry knows.", nil, nil)
	recordsDesc     = prometheus.NewDesc("almondcove_records_revision", "Revision of the operators' records in force.", nil, nil)
	storeDesc       = prometheus.NewDesc("almondcove_store_age_seconds", "Time since the store last answered this entry itself.", nil, nil)
	recordsAgeDesc  = prometheus.NewDesc("almondcove_records_age_seconds", "Time since the operators' records were known to be current.", nil, nil)
	callDelayDesc   = prometheus.NewDesc("almondcove_vm_call_delay_seconds", "Mean delay of the owner's calls to VMs.", nil, nil)
	startWindowDesc = prometheus.NewDesc("almondcove_start_window", "Start orders that the owner may have in flight.", nil, nil)
	carriersDesc    = prometheus.NewDesc("almondcove_carriers", "Entries that carry the owner's calls to VMs.", nil, nil)
	vmsDesc         = prometheus.NewDesc("almondcove_vms", "VMs of the owner by pool and state.", []string{"pool", "state"}, nil)
	waitingDesc     = prometheus.NewDesc("almondcove_tasks_waiting", "Tasks that wait for a VM, by pool.", []string{"pool"}, nil)
	speedDesc       = prometheus.NewDesc("almondcove_vms_notable_speed", "VMs whose speed differs notably from usual, by pool.", []string{"pool", "speed"}, nil)
	copiesDesc      = prometheus.NewDesc("almondcove_task_copies_total", "Second runs of tasks that were started because the VM of the first is slow.", nil, nil)
	copiesWonDesc   = prometheus.NewDesc("almondcove_task_copies_won_total", "Such runs that were done first.", nil, nil)
	contendedDesc   = prometheus.NewDesc("almondcove_pools_contended", "Pools in which tasks wait that fit on no VM.", nil, nil)
	suspensionsDesc = prometheus.NewDesc("almondcove_suspensions_total", "Runs that were stopped at a checkpoint for urgent tasks.", nil, nil)
	excessDesc      = prometheus.NewDesc("almondcove_excess_jobs_total", "Jobs that were handed in beyond the rates of their teams.", nil, nil)
	deferredDesc    = prometheus.NewDesc("almondcove_records_deferred", "Records of the owner that the store does not take.", nil, nil)
	deferralsDesc   = prometheus.NewDesc("almondcove_records_deferred_total", "Records that the store did not take, each time that they were tried.", nil, nil)
	startsDesc      = prometheus.NewDesc("almondcove_task_starts_total", "Orders to start a task.", nil, nil)
	endsDesc        = prometheus.NewDesc("almondcove_task_ends_total", "Ends of runs that VMs have listed.", nil, nil)
	failuresDesc    = prometheus.NewDesc("almondcove_task_failures_total", "Ends of runs as failed.", nil, nil)
	lapsesDesc      = prometheus.NewDesc("almondcove_task_lapses_total", "Runs taken as ended without an end.", nil, nil)
	crashesDesc     = prometheus.NewDesc("almondcove_vm_crashes_total", "VMs that have crashed while they ran tasks.", nil, nil)
	trialsDesc      = prometheus.NewDesc("almondcove_suspect_starts_total", "Starts of tasks that may crash their VMs.", nil, nil)
	suspendedDesc   = prometheus.NewDesc("almondcove_service_tasks_suspended_total", "Service tasks that are not started any more because their VMs crash.", nil, nil)
	nearWaitsDesc   = prometheus.NewDesc("almondcove_near_waits_total", "Waits of tasks and gangs for a place near their data.", nil, nil)
	nearEndsDesc    = prometheus.NewDesc("almondcove_near_waits_ended_total", "Waits for a near place that ended with a start, by outcome.", []string{"outcome"}, nil)
	awayStartsDesc  = prometheus.NewDesc("almondcove_away_starts_total", "Starts of tasks away from their data.", nil, nil)
	refusedDesc     = prometheus.NewDesc("almondcove_jobs_refused_total", "Jobs refused because they would end too late to be of use, by what binds.", []string{"reason"}, nil)
	givenUpDesc     = prometheus.NewDesc("almondcove_jobs_given_up_total", "Jobs that have failed because a task crashes its VMs.", nil, nil)
)

// Describe implements prometheus.Collector.
func (nc *nodeCollector) Describe(c chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		refusedDesc, deferredDesc, deferralsDesc,
		ownerDesc, epochDesc, recordsDesc, storeDesc, vmsDesc, waitingDesc, startsDesc, endsDesc, failuresDesc, lapsesDesc,
		recordsAgeDesc, callDelayDesc, startWindowDesc, crashesDesc, trialsDesc, givenUpDesc, suspendedDesc, carriersDesc,
		speedDesc, copiesDesc, copiesWonDesc,
		contendedDesc, excessDesc, suspensionsDesc,
		nearWaitsDesc, nearEndsDesc, awayStartsDesc,
	} {
		c <- d
	}
}

// Collect implements prometheus.Collector.
func (nc *nodeCollector) Collect(c chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		c <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	count := func(d *prometheus.Desc, v int64, labels ...string) {
		c <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(v), labels...)
	}
	isOwner := 0.0
	if nc.node.holdsOwnership() {
		isOwner = 1
	}
	gauge(ownerDesc, isOwner)
	if o, ok := nc.node.shard.Owner(); ok {
		gauge(epochDesc, float64(o.Epoch))
	}
	gauge(recordsDesc, float64(nc.node.operatorRecords.Snapshot().Rev))
	gauge(storeDesc, time.Since(nc.node.relay.LastDirectAnswer()).Seconds())
	stats, pools := nc.node.owner.Stats()
	contended := 0
	for _, p := range pools {
		if p.Contended {
			contended++
		}
		gauge(vmsDesc, float64(p.Usable), p.Name, "usable")
		gauge(vmsDesc, float64(p.Silent), p.Name, "silent")
		gauge(vmsDesc, float64(p.Closed), p.Name, "closed")
		gauge(waitingDesc, float64(p.Waiting), p.Name)
		gauge(speedDesc, float64(p.Slow), p.Name, "slow")
		gauge(speedDesc, float64(p.Fast), p.Name, "fast")
	}
	gauge(contendedDesc, float64(contended))
	if age, known := nc.node.operatorRecords.Age(); known {
		gauge(recordsAgeDesc, age.Seconds())
	}
	delay, window := nc.node.owner.Congestion()
	gauge(callDelayDesc, delay.Seconds())
	gauge(startWindowDesc, float64(window))
	gauge(carriersDesc, float64(nc.node.carriers.Links()))
	for reason, n := range stats.Refused {
		count(refusedDesc, n, admission.Reason(reason).String())
	}
	gauge(deferredDesc, float64(nc.node.owner.Deferred()))
	count(deferralsDesc, stats.Deferred)
	count(startsDesc, stats.Starts)
	count(endsDesc, stats.Ends)
	count(failuresDesc, stats.Failures)
	count(lapsesDesc, stats.Lapses)
	count(crashesDesc, stats.Crashes)
	count(trialsDesc, stats.Trials)
	count(givenUpDesc, stats.GivenUp)
	count(suspendedDesc, stats.Suspended)
	count(copiesDesc, stats.Copies)
	count(copiesWonDesc, stats.CopiesWon)
	count(excessDesc, stats.Excess)
	count(suspensionsDesc, stats.Suspensions)
	count(nearWaitsDesc, stats.NearWaits)
	count(nearEndsDesc, stats.NearWaitsPaid, "paid")
	count(nearEndsDesc, stats.NearWaitsGivenUp, "given up")
	count(awayStartsDesc, stats.AwayStarts)
}
