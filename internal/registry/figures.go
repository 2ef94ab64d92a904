package registry

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/hashicorp/raft"
)

// metrics are a node's metrics, in a registry of its own.
type metrics struct {
	registry    *prometheus.Registry
	commands    *prometheus.CounterVec
	notices     prometheus.Counter
	watchersCut prometheus.Counter
}

func newMetrics(n *Node) *metrics {
	f := &metrics{registry: prometheus.NewRegistry(),
		commands:    prometheus.NewCounterVec(prometheus.CounterOpts{Name: "registry_commands_total", Help: "Commands applied, by what they do and how they came out."}, []string{"op", "status"}),
		notices:     prometheus.NewCounter(prometheus.CounterOpts{Name: "registry_notices_total", Help: "Notices taken."}),
		watchersCut: prometheus.NewCounter(prometheus.CounterOpts{Name: "registry_watchers_cut_total", Help: "Watchers cut since they took nothing."})}
	gauge := func(name, help string, of func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, of)
	}
	f.registry.MustRegister(f.commands, f.notices, f.watchersCut, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		gauge("registry_revision", "Revision of the list.", func() float64 { _, revision, _ := n.store.position(); return float64(revision) }),
		gauge("registry_members", "Members listed.", func() float64 { _, _, members := n.store.position(); return float64(members) }),
		gauge("registry_watchers", "Watches that are open.", func() float64 { return float64(n.watchers.Load()) }),
		gauge("registry_leader", "1 on the leader.", func() float64 {
			if n.raft != nil && n.raft.State() == raft.Leader {
				return 1
			}
			return 0
		}),
		gauge("registry_lapses_held", "Lapses that are held back.", func() float64 { held, _ := n.heartbeats.suspension(); return float64(held) }))
	return f
}

func (f *metrics) countCommand(c Command, a Result) {
	f.commands.WithLabelValues(string(c.Op), http.StatusText(a.Status)).Inc()
}

func (f *metrics) routes() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /v1/metrics", promhttp.HandlerFor(f.registry, promhttp.HandlerOpts{}))
	return mux
}
