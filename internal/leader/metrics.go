package leader

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// labelRole is the metric label that names the role. Dashboards use it, so it keeps its
// old name.
const labelRole = "duty"

// Metrics are the Prometheus metrics of a controller, in a Prometheus registry of their
// own. They are created by NewMetrics; the zero value is not usable. They are safe for
// concurrent use, but each Run needs its own.
type Metrics struct {
	registry *prometheus.Registry
	token    *prometheus.GaugeVec
	term     *prometheus.GaugeVec
	grants   *prometheus.CounterVec
	fenced   *prometheus.CounterVec
	changed  *prometheus.GaugeVec
}

// NewMetrics returns registered metrics that have no values yet.
func NewMetrics() *Metrics {
	labels := []string{labelRole}
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		token:    prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "duty_token", Help: "Fencing token of each role that this controller holds."}, labels),
		term:     prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "duty_term", Help: "Term of each role that this controller holds: grants of it so far."}, labels),
		grants:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "duty_grants_total", Help: "Roles granted to this controller."}, labels),
		fenced:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "duty_refused_total", Help: "Effects rejected for an older fencing token."}, labels),
		changed:  prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "duty_since_seconds", Help: "When this controller last acquired or released a role, in Unix time."}, labels),
	}
	m.registry.MustRegister(m.token, m.term, m.grants, m.fenced, m.changed)
	return m
}

// observeLease registers a gauge of a candidate's remaining lease. It must be called
// only once.
func (m *Metrics) observeLease(c *candidate) {
	opts := prometheus.GaugeOpts{Name: "duty_lease_seconds", Help: "Remaining lease of this controller's session by its own clock."}
	m.registry.MustRegister(prometheus.NewGaugeFunc(opts, func() float64 {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.lease.Remaining(c.elapsed()).Seconds()
	}))
}

func (m *Metrics) recordAcquired(g *Grant) {
	m.token.WithLabelValues(g.Role).Set(float64(g.Token))
	m.term.WithLabelValues(g.Role).Set(float64(g.Term))
	m.grants.WithLabelValues(g.Role).Inc()
	m.changed.WithLabelValues(g.Role).Set(float64(time.Now().Unix()))
}

func (m *Metrics) recordReleased(g *Grant) {
	m.token.DeleteLabelValues(g.Role)
	m.term.DeleteLabelValues(g.Role)
	m.changed.WithLabelValues(g.Role).Set(float64(time.Now().Unix()))
}

func (m *Metrics) recordFenced(g *Grant) { m.fenced.WithLabelValues(g.Role).Inc() }

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
