package relay

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"plovershore/policy"
)

// The text of the metrics must stay the same byte for byte, as tools of the operators depend
// on its names, labels, help texts and order.
func TestMetricsTextMatchesGoldenFile(t *testing.T) {
	m := newMetrics([]policy.Class{{Name: "plain"}, {Name: "once"}})
	n := int64(0)
	next := func() int64 { n++; return n }
	for i := range m.classes {
		classMetrics := &m.classes[i]
		classMetrics.completed.Store(next())
		classMetrics.rejected.Store(next())
		classMetrics.failed.Store(next())
		classMetrics.written.Store(next())
	}
	for _, reason := range rejections {
		m.rejections[reason].Store(next())
	}
	m.clockSteps.Store(next())
	m.localFailures.Store(next())
	m.loaded.Store(next())
	m.pending.Store(next())
	m.members.Store(next())
	m.unavailable.Store(next())
	m.spilled.Store(next())
	m.overdue.Store(next())
	m.logWaiting.Store(next())
	m.logUnread.Store(next())
	m.logDamaged.Store(next())
	m.logLost.Store(next())
	m.logAffected.Store(next())
	m.dropped.Store(next())
	want, err := os.ReadFile("testdata/metrics.txt")
	if err != nil {
		t.Fatal(err)
	}
	if got := string(m.prometheusText()); got != string(want) {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}

// Each metric that docs/on-call.md names must exist.
func TestMetricsNamedInOnCallPageExist(t *testing.T) {
	page, err := os.ReadFile("../../docs/on-call.md")
	if err != nil {
		t.Fatal(err)
	}
	text := string(newMetrics([]policy.Class{{Name: "plain"}}).prometheusText())
	names := regexp.MustCompile(`app_[a-z_]+`).FindAllString(string(page), -1)
	if len(names) < 15 {
		t.Fatalf("the page names only %d metrics", len(names))
	}
	for _, name := range names {
		if !strings.Contains(text, "# TYPE "+name+" ") {
			t.Errorf("no metric %s", name)
		}
	}
}
