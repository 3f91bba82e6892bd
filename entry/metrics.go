package entry

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"almondcove/peer"
	"almondcove/task"
)

// metrics counts what the entry does.
type metrics struct {
	registry *prometheus.Registry
	tasks    *prometheus.CounterVec
	took     *prometheus.HistogramVec
	calls    *prometheus.CounterVec
	sent     prometheus.Counter
	messages prometheus.Counter
	retries  prometheus.Counter
	revision prometheus.Gauge
	alarm    *prometheus.GaugeVec
}

func newMetrics(self peer.Member) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		tasks: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "almondcove_tasks_total", Help: "Tasks by queue and outcome.",
		}, []string{"queue", "outcome"}),
		took: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "almondcove_task_seconds", Help: "Time from arrival to outcome.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 16),
		}, []string{"queue"}),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "almondcove_platform_calls_total", Help: "Calls to the platform by path.",
		}, []string{"path"}),
		sent: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "almondcove_peer_sent_bytes_total", Help: "Bytes of messages sent to other entries.",
		}),
		messages: prometheus.NewCounter(prometheus.CounterOpts{
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
		m.tasks, m.took, m.calls, m.sent, m.messages, m.retries, m.revision, m.alarm,
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return m
}

func (m *metrics) platformCall(path string) {
	m.calls.WithLabelValues(path).Inc()
}

func (m *metrics) peerSent(bytes int) {
	m.sent.Add(float64(bytes))
	m.messages.Inc()
}

// finished counts a task's outcome.
func (m *metrics) finished(queue string, out task.Outcome, took time.Duration) {
	m.tasks.WithLabelValues(queue, outcomeName(out)).Inc()
	m.took.WithLabelValues(queue).Observe(took.Seconds())
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

// raise sets or clears an alarm.
func (m *metrics) raise(kind string, on bool) {
	v := 0.0
	if on {
		v = 1
	}
	m.alarm.WithLabelValues(kind).Set(v)
}

func itoa(n uint64) string {
	return strconv.FormatUint(n, 10)
}
