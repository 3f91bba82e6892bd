package entry

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"almondcove/peer"
	"almondcove/task"
)

// metrics holds the entry's Prometheus metrics.
type metrics struct {
	registry      *prometheus.Registry
	tasks         *prometheus.CounterVec
	taskSeconds   *prometheus.HistogramVec
	platformCalls *prometheus.CounterVec
	peerBytes     prometheus.Counter
	peerMessages  prometheus.Counter
	retries       prometheus.Counter
	revision      prometheus.Gauge
	alarm         *prometheus.GaugeVec
}

func newMetrics(self peer.Member) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		tasks: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "almondcove_tasks_total", Help: "Tasks by queue and outcome.",
		}, []string{"queue", "outcome"}),
		taskSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "almondcove_task_seconds", Help: "Time from arrival to outcome.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 16),
		}, []string{"queue"}),
		platformCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "almondcove_platform_calls_total", Help: "Calls to the platform by path.",
		}, []string{"path"}),
		peerBytes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "almondcove_peer_sent_bytes_total", Help: "Bytes of messages sent to other entries.",
		}),
		peerMessages: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "almondcove_peer_sent_total", Help: "Messages sent to other entries.",
		}),
		retries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "almondcove_retries_total", Help: "Tasks sent again.",
		}),
		revision: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "almondcove_config_revision", Help: "Revision of the configuration in force.",
		}),
		alarm: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "almondcove_alarm", Help: "1 while the named condition needs an operator.",
		}, []string{"kind"}),
	}
	labels := prometheus.Labels{"entry": self.Name, "centre": self.Centre}
	prometheus.WrapRegistererWith(labels, m.registry).MustRegister(
		m.tasks, m.taskSeconds, m.platformCalls, m.peerBytes, m.peerMessages, m.retries, m.revision, m.alarm,
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return m
}

func (m *metrics) countPlatformCall(path string) {
	m.platformCalls.WithLabelValues(path).Inc()
}

func (m *metrics) countPeerMessage(bytes int) {
	m.peerBytes.Add(float64(bytes))
	m.peerMessages.Inc()
}

// countOutcome records a task's outcome and the time from its arrival to the
// outcome.
func (m *metrics) countOutcome(queue string, out task.Outcome, took time.Duration) {
	m.tasks.WithLabelValues(queue, outcomeName(out)).Inc()
	m.taskSeconds.WithLabelValues(queue).Observe(took.Seconds())
}

func outcomeName(out task.Outcome) string {
	switch out := out.(type) {
	case task.Answered:
		return "answered"
	case task.Failed:
		return "failed"
	case task.NotRun:
		return "not run: " + string(out.Reason)
	}
	return "unknown"
}

// setAlarm raises the alarm of a kind, or clears it.
func (m *metrics) setAlarm(kind string, raised bool) {
	v := 0.0
	if raised {
		v = 1
	}
	m.alarm.WithLabelValues(kind).Set(v)
}

func itoa(n uint64) string {
	return strconv.FormatUint(n, 10)
}
