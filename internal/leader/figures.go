package leader

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Figures are a warden's metrics, in a registry of their own.
type Figures struct {
	reg     *prometheus.Registry
	held    *prometheus.GaugeVec
	term    *prometheus.GaugeVec
	grants  *prometheus.CounterVec
	refuses *prometheus.CounterVec
	since   *prometheus.GaugeVec
}

// NewFigures makes them.
func NewFigures() *Figures {
	f := &Figures{reg: prometheus.NewRegistry(),
		held:    prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "duty_token", Help: "Token of each duty that this warden holds."}, []string{"duty"}),
		term:    prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "duty_term", Help: "Term of each duty that this warden holds: grants of it so far."}, []string{"duty"}),
		grants:  prometheus.NewCounterVec(prometheus.CounterOpts{Name: "duty_grants_total", Help: "Duties granted to this warden."}, []string{"duty"}),
		refuses: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "duty_refused_total", Help: "Effects refused for an older token."}, []string{"duty"}),
		since:   prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "duty_since_seconds", Help: "When this warden last took or left a duty, in Unix time."}, []string{"duty"})}
	f.reg.MustRegister(f.held, f.term, f.grants, f.refuses, f.since)
	return f
}

func (f *Figures) watch(h *Holder) {
	f.reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "duty_lease_seconds", Help: "How long the lease of this warden's session is still believed in."},
		func() float64 {
			h.mu.Lock()
			defer h.mu.Unlock()
			return h.lease.Left(h.now()).Seconds()
		}))
}

func (f *Figures) granted(g *Grant) {
	f.held.WithLabelValues(g.Duty).Set(float64(g.Token))
	f.term.WithLabelValues(g.Duty).Set(float64(g.Term))
	f.grants.WithLabelValues(g.Duty).Inc()
	f.since.WithLabelValues(g.Duty).Set(float64(time.Now().Unix()))
}

func (f *Figures) gone(g *Grant) {
	f.held.DeleteLabelValues(g.Duty)
	f.term.DeleteLabelValues(g.Duty)
	f.since.WithLabelValues(g.Duty).Set(float64(time.Now().Unix()))
}

func (f *Figures) refused(g *Grant) { f.refuses.WithLabelValues(g.Duty).Inc() }

// Handler serves them.
func (f *Figures) Handler() http.Handler { return promhttp.HandlerFor(f.reg, promhttp.HandlerOpts{}) }
