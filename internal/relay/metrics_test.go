package relay

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"plovershore/policy"
)

// Guards the text of the figures, byte for byte: names, labels, help and order are what
// the operators' tools were written for.
func TestMetricsTextMatchesGoldenFile(t *testing.T) {
	m := newMetrics([]policy.Class{{Name: "plain"}, {Name: "once"}})
	n := int64(0)
	next := func() int64 { n++; return n }
	for i := range m.classes {
		lane := &m.classes[i]
		lane.completed.Store(next())
		lane.rejected.Store(next())
		lane.failed.Store(next())
		lane.written.Store(next())
	}
	for _, why := range rejections {
		m.rejections[why].Store(next())
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
	want, err := os.ReadFile("testdata/metrics.txt")
	if err != nil {
		t.Fatal(err)
	}
	if got := string(m.prometheusText()); got != string(want) {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}

// Guards that each figure that docs/on-call.md names is there.
func TestMetricsNamedInOnCallPageExist(t *testing.T) {
	page, err := os.ReadFile("../../docs/on-call.md")
	if err != nil {
		t.Fatal(err)
	}
	text := string(newMetrics([]policy.Class{{Name: "plain"}}).prometheusText())
	names := regexp.MustCompile(`app_[a-z_]+`).FindAllString(string(page), -1)
	if len(names) < 15 {
		t.Fatalf("the page names %d figures", len(names))
	}
	for _, name := range names {
		if !strings.Contains(text, "# TYPE "+name+" ") {
			t.Errorf("no figure %s", name)
		}
	}
}
