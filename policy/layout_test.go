package policy

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"unicode/utf8"
)

// sourceFiles returns the names of the package's files, without its tests.
func sourceFiles(t *testing.T) (files []string) {
	t.Helper()
	all, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range all {
		if !strings.HasSuffix(f, "_test.go") {
			files = append(files, f)
		}
	}
	if len(files) == 0 {
		t.Fatal("no source files")
	}
	return files
}

// No line of a source file has more than 110 columns and no file more than 220 non-blank lines, and
// the package comment names the files of the interface.
func TestSourceFilesKeepSizeLimits(t *testing.T) {
	for _, f := range sourceFiles(t) {
		text, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		nonBlank := 0
		for i, line := range strings.Split(string(text), "\n") {
			if strings.TrimSpace(line) != "" {
				nonBlank++
			}
			if columns := utf8.RuneCountInString(strings.ReplaceAll(line, "\t", "    ")); columns > 110 {
				t.Errorf("%s: line %d has %d columns, want at most 110", f, i+1, columns)
			}
		}
		if nonBlank > 220 {
			t.Errorf("%s: %d non-blank lines, want at most 220", f, nonBlank)
		}
	}
	text, err := os.ReadFile("policy.go")
	if err != nil {
		t.Fatal(err)
	}
	comment, _, found := strings.Cut(string(text), "\npackage policy\n")
	if !found || !strings.HasPrefix(comment, "// Package policy ") {
		t.Fatal("policy.go has no package comment")
	}
	for _, f := range []string{"settings.go", "event.go", "action.go", "state.go", "throttle.go"} {
		if _, err := os.Stat(f); err != nil || !strings.Contains(comment, f) {
			t.Errorf("the package comment does not name %s, or the file does not exist: %v", f, err)
		}
	}
}

// The deployment's settings list every file that makes decisions, and no other.
func TestDeploymentListsAllDecisionFiles(t *testing.T) {
	text, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	list := regexp.MustCompile(`(?m)^policy = \[(.*)\]$`).FindStringSubmatch(string(text))
	if list == nil {
		t.Fatal("balancer.toml has no list of files under the key policy")
	}
	var listed []string
	for _, m := range regexp.MustCompile(`"([^"]*)"`).FindAllStringSubmatch(list[1], -1) {
		listed = append(listed, m[1])
	}
	// These files hold the interface, plain state and containers, and make no decisions.
	nonDeciding := []string{"settings.go", "event.go", "action.go", "state.go", "snapshot.go", "history.go", "latency.go", "token_bucket.go"}
	var want []string
	for _, f := range sourceFiles(t) {
		if !slices.Contains(nonDeciding, f) {
			want = append(want, "policy/"+f)
		}
	}
	slices.Sort(listed)
	slices.Sort(want)
	if !slices.Equal(listed, want) {
		t.Errorf("balancer.toml lists %q\nwant                %q", listed, want)
	}
}
