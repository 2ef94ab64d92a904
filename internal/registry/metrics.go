package registry

import (
	"net/http"

	"github.com/hashicorp/raft"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// metrics are a node's metrics, in a Prometheus registry of their own. They are safe
// for concurrent use. Names and labels are kept from earlier versions.
type metrics struct {
	registry    *prometheus.Registry
	commands    *prometheus.CounterVec
	notices     prometheus.Counter
	watchersCut prometheus.Counter
}

func newMetrics(n *Node) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		commands: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "registry_commands_total",
			Help: "Commands applied, by operation and result.",
		}, []string{"op", "status"}),
		notices: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "registry_notices_total",
			Help: "Notices received.",
		}),
		watchersCut: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "registry_watchers_cut_total",
			Help: "Watchers cut because they read nothing.",
		}),
	}
	m.registry.MustRegister(
		m.commands,
		m.notices,
		m.watchersCut,
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		newGauge("registry_revision", "Revision of the list.", func() float64 {
			_, revision, _ := n.store.position()
			return float64(revision)
		}),
		newGauge("registry_members", "Members listed.", func() float64 {
			_, _, members := n.store.position()
			return float64(members)
		}),
		newGauge("registry_watchers", "Watches that are open.", func() float64 { return float64(n.watchers.Load()) }),
		newGauge("registry_leader", "1 on the leader.", func() float64 {
			if n.raft != nil && n.raft.State() == raft.Leader {
				return 1
			}
			return 0
		}),
		newGauge("registry_lapses_held", "Expirations that are suspended.", func() float64 {
			suspended, _ := n.heartbeats.suspension()
			return float64(suspended)
		}),
	)
	return m
}

func newGauge(name, help string, value func() float64) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value)
}

// countCommand counts an applied command.
func (m *metrics) countCommand(c Command, result Result) {
	m.commands.WithLabelValues(string(c.Op), http.StatusText(result.Status)).Inc()
}

func (m *metrics) routes() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /v1/metrics", promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{}))
	return mux
}
