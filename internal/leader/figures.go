package leader

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Metrics are a warden's metrics, in a registry of their own.
type Metrics struct {
	reg     *prometheus.Registry
	held    *prometheus.GaugeVec
	term    *prometheus.GaugeVec
	grants  *prometheus.CounterVec
	refuses *prometheus.CounterVec
	since   *prometheus.GaugeVec
}

// NewMetrics makes them.
func NewMetrics() *Metrics {
	f := &Metrics{reg: prometheus.NewRegistry(),
		held:    prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "duty_token", Help: "Token of each duty that this warden holds."}, []string{"duty"}),
		term:    prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "duty_term", Help: "Term of each duty that this warden holds: grants of it so far."}, []string{"duty"}),
		grants:  prometheus.NewCounterVec(prometheus.CounterOpts{Name: "duty_grants_total", Help: "Duties granted to this warden."}, []string{"duty"}),
		refuses: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "duty_refused_total", Help: "Effects refused for an older token."}, []string{"duty"}),
		since:   prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "duty_since_seconds", Help: "When this warden last took or left a duty, in Unix time."}, []string{"duty"})}
	f.reg.MustRegister(f.held, f.term, f.grants, f.refuses, f.since)
	return f
}

func (f *Metrics) watch(h *Candidate) {
	f.reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "duty_lease_seconds", Help: "How long the lease of this warden's session is still believed in."},
		func() float64 {
			h.mu.Lock()
			defer h.mu.Unlock()
			return h.lease.Remaining(h.now()).Seconds()
		}))
}

func (f *Metrics) granted(g *Grant) {
	f.held.WithLabelValues(g.Role).Set(float64(g.Token))
	f.term.WithLabelValues(g.Role).Set(float64(g.Term))
	f.grants.WithLabelValues(g.Role).Inc()
	f.since.WithLabelValues(g.Role).Set(float64(time.Now().Unix()))
}

func (f *Metrics) gone(g *Grant) {
	f.held.DeleteLabelValues(g.Role)
	f.term.DeleteLabelValues(g.Role)
	f.since.WithLabelValues(g.Role).Set(float64(time.Now().Unix()))
}

func (f *Metrics) refused(g *Grant) { f.refuses.WithLabelValues(g.Role).Inc() }

// Handler serves them.
func (f *Metrics) Handler() http.Handler { return promhttp.HandlerFor(f.reg, promhttp.HandlerOpts{}) }
