package command

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const scaleSummary = `[{"name": "scale", "verdict": {"counts": {}}, "stats": {"own": [%s]}}]`

// TestCompareMatchesScaleFiguresByName compares two scale runs whose figures have
// different orders: figures of the same name stand in one line, and a figure that one
// run lacks is shown as "-".
func TestCompareMatchesScaleFiguresByName(t *testing.T) {
	dir := t.TempDir()
	write := func(name, figures string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(strings.Replace(scaleSummary, "%s", figures, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	a := write("a.json", `{"name": "CPU", "unit": "% of a core", "value": 2}, {"name": "only a", "value": 1}`)
	b := write("b.json", `{"name": "only b", "value": 3}, {"name": "CPU", "unit": "% of a core", "value": 3}`)
	code, out := runMain(t, "", "compare", a, b)
	if code != Success {
		t.Fatalf("exit %d: %s", code, out)
	}
	lines := map[string][]string{}
	for _, line := range strings.Split(out, "\n") {
		for _, name := range []string{"CPU", "only a", "only b"} {
			if rest, ok := strings.CutPrefix(line, name); ok {
				lines[name] = strings.Fields(rest)
			}
		}
	}
	if got := strings.Join(lines["CPU"], " "); got != "2 % of a core 3 % of a core 1.500" {
		t.Errorf("line of CPU: got %q in\n%s", got, out)
	}
	if got := strings.Join(lines["only a"], " "); !strings.HasPrefix(got, "1 -") {
		t.Errorf("line of \"only a\": got %q, want a value only for the first run", got)
	}
	if got := strings.Join(lines["only b"], " "); !strings.HasPrefix(got, "- 3") {
		t.Errorf("line of \"only b\": got %q, want a value only for the second run", got)
	}
}
