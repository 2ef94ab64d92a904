package controller

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"plovershore/internal/cli"
	"plovershore/internal/registry"
	"plovershore/internal/registry/registrytest"
)

// syncBuffer is an output that a test can read while a command writes to it.
type syncBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// Invalid flags and arguments end the program with the exit code for usage errors and a
// line that names the flag or argument.
func TestUsageErrorNamesFlagOrArgument(t *testing.T) {
	for _, test := range []struct {
		args       []string
		wantPrefix string
	}{
		{[]string{"extra"}, `controller: usage: "extra" is not expected`},
		{[]string{"--no-such-flag"}, "controller: usage: unknown flag: --no-such-flag"},
		{[]string{"--log", "xml"}, `controller: usage: --log: "xml"; text and json are allowed`},
		{[]string{"--nodes", "nowhere"}, "controller: usage: --nodes: "},
		{[]string{"--platform", "nowhere"}, "controller: usage: --platform: "},
		{[]string{"--drill-clock", "rate=fast"}, "controller: usage: --drill-clock: "},
		{[]string{"--duties", "sweep"}, `controller: usage: --duties: "sweep" is unknown; list-keeper, salvage, rollout, zone-warden and count are known`},
		{[]string{"--roles", "sweep"}, `controller: usage: --roles: "sweep" is unknown; list-keeper, salvage, rollout, zone-warden and count are known`},
		{[]string{"--roles", "count", "--duties", "count"}, "controller: usage: --duties is the old name of --roles"},
		{[]string{"runner"}, "controller: usage: a program is wanted"},
		{[]string{"runner", "--folder", t.TempDir(), "--listen", "127.0.0.1:0", "--operators", "a:1", "--", "true"}, "controller: usage: --operators: two are wanted"},
	} {
		var out, errOut syncBuffer
		code := Main(t.Context(), test.args, &out, &errOut)
		if code != cli.ExitUsage || !strings.HasPrefix(errOut.String(), test.wantPrefix) {
			t.Errorf("%v: exit code %d, %q", test.args, code, errOut.String())
		}
	}
}

// --roles and its old name --duties both select the roles that the controller acquires. When
// its context ends, the controller releases the role and returns exit code 0.
func TestRolesFlagAndOldNameSelectRoles(t *testing.T) {
	for _, flag := range []string{"--roles", "--duties"} {
		t.Run(flag, func(t *testing.T) {
			group := registrytest.Start(t, 1, nil)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var out, errOut syncBuffer
			code := make(chan int, 1)
			go func() {
				code <- Main(ctx, []string{"--nodes", group.Addrs[0], "--name", "c-1", "--ttl", "2s", flag, "count"}, &out, &errOut)
			}()
			registrytest.WaitFor(t, "an accepted step of the role count", func() bool {
				return strings.Contains(errOut.String(), `msg="count accepted" controller=c-1 count=`)
			})
			cancel()
			select {
			case got := <-code:
				if got != cli.ExitOK {
					t.Errorf("exit code %d, want 0: %s", got, errOut.String())
				}
			case <-time.After(20 * time.Second):
				t.Fatal("the controller did not return within 20 seconds")
			}
			var list registry.RoleList
			if _, err := group.Client().Do(t.Context(), "GET", registry.RolesPath, nil, &list); err != nil {
				t.Fatal(err)
			}
			if len(list.Roles) != 1 || list.Roles[0].Name != "count" || list.Roles[0].Holder != "" {
				t.Errorf("roles after the end of the controller: %+v; want only count, without a holder", list.Roles)
			}
		})
	}
}
