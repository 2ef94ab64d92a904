package command

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"plovershore/internal/loopback"
)

// TestDeprecatedVariableWarnsOnce checks that a node reads a variable under its deprecated
// name, and warns once for each such variable and names its replacement.
func TestDeprecatedVariableWarnsOnce(t *testing.T) {
	env := map[string]string{"TROUTREGISTRY_ID": "r7", "TROUTREGISTRY_DATA": "ignored", "REGISTRY_DATA": t.TempDir(),
		"REGISTRY_LISTEN": loopback.Free(), "REGISTRY_RAFT": loopback.Free()}
	ctx, cancel := context.WithCancel(t.Context())
	cancel() // the node is stopped as soon as it has started
	var out, log bytes.Buffer
	if code := Registry(ctx, []string{"serve"}, func(name string) string { return env[name] }, &out, &log); code != 0 {
		t.Fatalf("exit code %d: %s", code, log.String())
	}
	for _, want := range []string{
		`level=WARN msg="environment variable deprecated" node=r7 variable=TROUTREGISTRY_ID replacement=REGISTRY_ID ignored=false`,
		`level=WARN msg="environment variable deprecated" node=r7 variable=TROUTREGISTRY_DATA replacement=REGISTRY_DATA ignored=true`,
	} {
		if strings.Count(log.String(), want) != 1 {
			t.Errorf("the log doesn't have exactly one line with %s:\n%s", want, log.String())
		}
	}
	if n := strings.Count(log.String(), "deprecated"); n != 2 {
		t.Errorf("%d warnings about deprecated variables, want 2: %s", n, log.String())
	}
}
