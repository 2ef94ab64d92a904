package command

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"plovershore/internal/faultlab/stub"
)

// stubEnv is the environment variable that makes the test's own program a stub relay:
// the programs that the lab starts inherit the lab's environment.
const stubEnv = "FAULTLAB_TEST_STUB"

func TestMain(m *testing.M) {
	if os.Getenv(stubEnv) != "" {
		os.Exit(stub.Main(os.Getenv))
	}
	os.Exit(m.Run())
}

const shortScenario = "seconds = 1\n[fleet]\nrelays = 1\n[partners]\nendpoints = 2\ndestinations = 1\n[load]\nrate = 20\nclumps = 0\n"

func runMain(t *testing.T, defect stub.Defect, args ...string) (code int, out string) {
	t.Helper()
	t.Setenv(stubEnv, "1")
	t.Setenv(stub.DefectEnv, string(defect))
	var output bytes.Buffer
	code = Main(t.Context(), args, &output, &output)
	return code, output.String()
}

// TestMainExitCodeTellsViolationUsageErrorAndFailedRun checks the exit code and output of
// all commands but up, bench registry, bench duty and bench wal: 0 if no rule was
// violated, 1 if one was, 2 for bad usage or an invalid scenario, 3 if the scenario could
// not be run. It also checks that the report has its plot and refers to no other file.
func TestMainExitCodeTellsViolationUsageErrorAndFailedRun(t *testing.T) {
	dir := t.TempDir()
	validPath, invalidPath := filepath.Join(dir, "good.toml"), filepath.Join(dir, "bad.toml")
	os.WriteFile(validPath, []byte(shortScenario), 0o600)
	os.WriteFile(invalidPath, []byte(shortScenario+"speed = 3\n"), 0o600)
	self := os.Args[0]
	runArgs := func(extra ...string) []string {
		return append([]string{"run", validPath, "--relay", self, "--out", filepath.Join(dir, "out"), "--late", "10s"}, extra...)
	}
	benchScaleArgs := func(name, controllerFlag string) []string {
		return []string{"bench", "scale", "--smoke", "--only", "parse", "--relay", self, "--registry", self, controllerFlag, self,
			"--out", filepath.Join(dir, "scale"), "--json", filepath.Join(dir, "scale-"+name)}
	}
	for _, test := range []struct {
		name       string
		defect     stub.Defect
		args       []string
		wantCode   int
		wantOutput string
	}{
		{"no rule violated", "", runArgs("--json", filepath.Join(dir, "a.json")), Success, "KEPT"},
		{"no rule violated, other seed", "", runArgs("--json", filepath.Join(dir, "a.json"), "--seed", "2"), Success, "KEPT"},
		{"rule violated", stub.SlowTerm, runArgs("--json", filepath.Join(dir, "b.json")), Violated, "BROKEN: term"},
		{"lab late", "", runArgs("--late", "1ns"), NotRun, "VOID"},
		{"relay does not start", "", runArgs("--relay", "/bin/false"), NotRun, "did not start"},
		{"relay program missing", "", runArgs("--relay", filepath.Join(dir, "none")), Usage, "none"},
		{"invalid scenario", "", []string{"run", invalidPath, "--relay", self}, Usage, "bad.toml:10: load.speed"},
		{"scenario file missing", "", []string{"check", filepath.Join(dir, "none.toml")}, Usage, "none.toml"},
		{"unknown command", "", []string{"fly"}, Usage, "fly"},
		{"unknown flag", "", []string{"list", "--fly"}, Usage, "fly"},
		{"argument missing", "", []string{"run"}, Usage, "arg"},
		{"check", "", []string{"check", validPath}, Success, "can be run"},
		{"list", "", []string{"list", "--dir", filepath.Join("..", "..", "..", "lab", "scenarios")}, Success, "smoke.toml"},
		{"compare", "", []string{"compare", filepath.Join(dir, "a.json"), filepath.Join(dir, "b.json")}, Success, "(2 runs)"},
		{"compare files without summaries", "", []string{"compare", validPath, validPath}, Usage, "neither"},
		{"bench scale", "", benchScaleArgs("a", "--controller"), Success, "slope x target"},
		{"bench scale with older controller flag", "", benchScaleArgs("b", "--warden"), Success, "slope x target"},
		{"compare results of bench scale", "", []string{"compare", filepath.Join(dir, "scale-a"), filepath.Join(dir, "scale-b")}, Success, "parse: reading a whole list"},
		{"bench scale with unknown job", "", append(benchScaleArgs("c", "--warden"), "--only", "none"), Usage, "no job"},
		{"simrelay without configuration", "", []string{"simrelay", filepath.Join(dir, "none.json")}, NotRun, "none.json"},
		{"older name of simrelay", "", []string{"hollow", filepath.Join(dir, "none.json")}, NotRun, "none.json"},
		{"older controller flag", "", runArgs("--warden", self), Success, "KEPT"},
		{"controller flag", "", runArgs("--controller", self), Success, "KEPT"},
		{"sweep", "", []string{"sweep", validPath, "--relay", self, "--late", "10s", "--set", "load.rate=10,20", "--seeds", "1-2", "--out", filepath.Join(dir, "sweep")}, Success, "sweep.svg"},
		{"sweep over unknown key", "", []string{"sweep", validPath, "--relay", self, "--set", "load.rates=10", "--seeds", "1"}, Usage, "load.rates"},
	} {
		code, out := runMain(t, test.defect, test.args...)
		if code != test.wantCode || !strings.Contains(out, test.wantOutput) {
			t.Errorf("%s: exit %d, want %d; output: %s", test.name, code, test.wantCode, out)
		}
	}
	page, err := os.ReadFile(filepath.Join(dir, "out", "report.html"))
	if err != nil || !bytes.Contains(page, []byte("<svg")) || bytes.Contains(page, []byte("<script")) || bytes.Contains(page, []byte("src=")) {
		t.Errorf("the report lacks its plot or refers to other files; reading it: %v", err)
	}
}
