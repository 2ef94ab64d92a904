package relayctl

import (
	"bytes"
	"encoding/json"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"plovershore/internal/cli"
	"plovershore/internal/failover"
	"plovershore/internal/registry"
	"plovershore/internal/registry/registrytest"
)

// fixture is a list service that tests send relayctl commands to.
type fixture struct {
	t    *testing.T
	addr string
}

func startFixture(t *testing.T) *fixture {
	t.Helper()
	return &fixture{t, registrytest.Start(t, 1, nil).Addrs[0]}
}

// run runs a relayctl command and returns its exit code, standard output and standard
// error.
func (f *fixture) run(args ...string) (code int, out, errOut string) {
	f.t.Helper()
	var stdout, stderr bytes.Buffer
	code = Main(f.t.Context(), append([]string{"--nodes", f.addr}, args...), &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

// mustRun runs a command, fails the test if it does not succeed, and returns its output.
func (f *fixture) mustRun(args ...string) string {
	f.t.Helper()
	code, out, errOut := f.run(args...)
	if code != cli.ExitOK {
		f.t.Fatalf("%v: exit code %d: %s", args, code, errOut)
	}
	return out
}

func (f *fixture) post(path string, body, out any) {
	f.t.Helper()
	if _, err := registrytest.Client(f.t, f.addr).Do(f.t.Context(), http.MethodPost, path, body, out); err != nil {
		f.t.Fatal(err)
	}
}

// grantRole opens a session of controller c-1, and has it acquire a role and save a
// checkpoint. It returns the fencing token.
func (f *fixture) grantRole(role string) (token int64) {
	f.t.Helper()
	f.post(registry.SessionsPath, registry.SessionRequest{ID: "s-1", Controller: "c-1", TTLMS: (5 * time.Minute).Milliseconds()}, nil)
	var granted registry.Result
	f.post(registry.RolesPath+"/"+role+"/grant", registry.RoleRequest{Session: "s-1"}, &granted)
	f.post(registry.RolesPath+"/"+role+"/note", registry.RoleRequest{Token: granted.Token, Note: "step 7"}, nil)
	return granted.Token
}

// The old names of command groups are aliases of the new ones: every command has the same
// output and exit code under both.
func TestOldCommandNamesAreAliases(t *testing.T) {
	f := startFixture(t)
	f.grantRole("count")
	f.mustRun("failover", "start", "n3", "--folder", "/var/relay/n3")
	for _, names := range [][2]string{{"roles", "duties"}, {"failover", "salvage"}, {"expirations", "lapses"}} {
		for _, arguments := range [][]string{
			{"list"}, {"show", "count"}, {"show", "none"}, {"show"}, {"status"}, {"status", "--json"}, {"status", "--follow=false"},
			{"start", "x", "--folder", "relative"}, {"confirm"}, {"confirm", "--json"}, {"confirm", "extra"}, {"list", "--json"}, {"list", "--no-such-flag"},
		} {
			newCode, newOut, newErr := f.run(append([]string{names[0]}, arguments...)...)
			oldCode, oldOut, oldErr := f.run(append([]string{names[1]}, arguments...)...)
			if newCode != oldCode || newOut != oldOut || newErr != oldErr {
				t.Errorf("%v %v: the results differ: exit code, output, errors\n%d %q %q\n%d %q %q", names, arguments, newCode, newOut, newErr, oldCode, oldOut, oldErr)
			}
		}
	}
}

// The command group roles lists and shows roles. hold disables a role, unhold enables it
// again, and release leaves it enabled; after hold and release it has no holder. The same
// holds under the old name duties.
func TestRolesCommandsShowAndDisableRoles(t *testing.T) {
	for _, group := range []string{"roles", "duties"} {
		t.Run(group, func(t *testing.T) {
			f := startFixture(t)
			f.grantRole("count")
			list := strings.Split(f.mustRun(group, "list"), "\n")
			if strings.Join(strings.Fields(list[0]), " ") != "DUTY HOLDER TOKEN TERM FAILS HELD BACK SINCE" || !strings.HasPrefix(list[1], "count  c-1") {
				t.Errorf("unexpected list of roles: %q", list)
			}
			if list[2] != "warden c-1: session s-1, time to live 5m0s" {
				t.Errorf("unexpected line of the session: %q", list[2])
			}
			if show := f.mustRun(group, "show", "count"); !strings.HasPrefix(show, "duty       count\n") || !strings.HasSuffix(show, "note       step 7\n") {
				t.Errorf("unexpected output of show: %q", show)
			}
			if code, _, errOut := f.run(group, "show", "none"); code != cli.ExitFailed || errOut != "relayctl: duty none is unknown\n" {
				t.Errorf("show of an unknown role: exit code %d, %q", code, errOut)
			}
			for _, test := range []struct {
				verb               string
				disabled, assigned bool
			}{{"hold", true, false}, {"unhold", false, false}, {"release", false, false}} {
				if out := f.mustRun(group, test.verb, "count"); out != "done\n" {
					t.Errorf("unexpected output of %s: %q", test.verb, out)
				}
				var roles registry.RoleList
				if err := json.Unmarshal([]byte(f.mustRun(group, "list", "--json")), &roles); err != nil {
					t.Fatal(err)
				}
				if role := roles.Roles[0]; role.Disabled != test.disabled || (role.Holder != "") != test.assigned {
					t.Errorf("unexpected role after %s: %+v", test.verb, role)
				}
			}
		})
	}
}

// The command group failover, and its old name salvage, start an operation of the kind
// salvage and set its desired state. A relative folder is rejected.
func TestFailoverCommandsControlOperation(t *testing.T) {
	for _, group := range []string{"failover", "salvage"} {
		t.Run(group, func(t *testing.T) {
			f := startFixture(t)
			if code, _, errOut := f.run(group, "start", "n3", "--folder", "relative"); code != cli.ExitUsage || errOut != "relayctl: --folder: \"relative\"; an absolute path is wanted\n" {
				t.Errorf("relative folder: exit code %d, %q", code, errOut)
			}
			if out := f.mustRun(group, "start", "n3", "--folder", "/var/relay/n3", "--disk-mb", "8", "--safe", "alert-update"); !strings.HasPrefix(out, "done, at revision ") {
				t.Errorf("unexpected output of start: %q", out)
			}
			for _, verbAndState := range [][2]string{{"pause", registry.DesiredPause}, {"resume", registry.DesiredRun}, {"abort", registry.DesiredAbort}} {
				f.mustRun(group, verbAndState[0], "n3")
				var operations []registry.Operation
				if err := json.Unmarshal([]byte(f.mustRun(group, "status", "--json")), &operations); err != nil {
					t.Fatal(err)
				}
				var spec failover.Spec
				if len(operations) != 1 || operations[0].Kind != "salvage" || operations[0].DesiredState != verbAndState[1] || json.Unmarshal(operations[0].Spec, &spec) != nil {
					t.Fatalf("unexpected operations after %s: %+v", verbAndState[0], operations)
				}
				if spec.Folder != "/var/relay/n3" || spec.DiskMB != 8 || len(spec.IdempotentClasses) != 1 {
					t.Errorf("unexpected spec of the operation: %s", operations[0].Spec)
				}
			}
			if out := f.mustRun(group, "status"); out != "NAME  WISH   DONE   SAYS  PROGRESS\nn3    abort  false        \n" {
				t.Errorf("unexpected status of the aborted failover: %q", out)
			}
		})
	}
}

// The command expirations confirm, also under its old name lapses, prints the number of
// suspended expirations that it confirmed.
func TestExpirationsConfirmPrintsCount(t *testing.T) {
	f := startFixture(t)
	for _, group := range []string{"expirations", "lapses"} {
		if out := f.mustRun(group, "confirm"); out != "0 lapse\n" {
			t.Errorf("unexpected output of %s confirm: %q", group, out)
		}
		if out := f.mustRun(group, "confirm", "--json"); out != "{\n \"lapses\": 0\n}\n" {
			t.Errorf("unexpected output of %s confirm --json: %q", group, out)
		}
	}
}

// Members can be added, drained, undrained and removed. Zones can be put into regions and
// evacuated: a dry run only prints capacities, and invalid or repeated requests are rejected.
func TestMembersAndZonesCommandsChangeListAndRejectInvalidRequests(t *testing.T) {
	f := startFixture(t)
	for _, member := range [][3]string{{"m-1", "127.0.0.1:9001", "a"}, {"m-2", "127.0.0.1:9002", "b"}} {
		f.mustRun("members", "add", "--id", member[0], "--address", member[1], "--zone", member[2], "--flavor", "agent", "--cell", "3")
	}
	f.mustRun("members", "drain", "m-1")
	list := f.mustRun("members", "list", "--consistent")
	if !strings.Contains(list, "m-1  127.0.0.1:9001  a     agent   3     draining") || !strings.Contains(list, "m-2  127.0.0.1:9002  b     agent   3     up") {
		t.Errorf("unexpected list of members: %q", list)
	}
	f.mustRun("members", "undrain", "m-1")
	f.mustRun("zones", "set", "a", "north")
	if zones := f.mustRun("zones", "list"); zones != "ZONE  REGION  MEMBERS  DRAINING\na     north   1        0\nb             1        0\n" {
		t.Errorf("unexpected list of zones: %q", zones)
	}
	if out := f.mustRun("zones", "evacuate", "b", "--dry-run"); out != "DESTINATION  NOW  LEFT  ENOUGH\n3            2    1     true\n" {
		t.Errorf("unexpected output of the dry run: %q", out)
	}
	if code, _, errOut := f.run("zones", "evacuate", "b", "--dry-run", "--keep", "0.6"); code != cli.ExitFailed || errOut != "relayctl: 1 destinations would not keep 0.6 of their endpoints\n" {
		t.Errorf("dry run with too little capacity: exit code %d, %q", code, errOut)
	}
	if code, _, errOut := f.run("zones", "evacuate", "b", "--rate", "0"); code != cli.ExitUsage || errOut != "relayctl: --rate: 0; above 0, up to 1000 endpoints a second\n" {
		t.Errorf("evacuation with rate 0: exit code %d, %q", code, errOut)
	}
	if code, _, errOut := f.run("zones", "return", "b"); code != cli.ExitFailed || errOut != "relayctl: zone b is not being evacuated\n" {
		t.Errorf("return of a zone that is not evacuated: exit code %d, %q", code, errOut)
	}
	f.mustRun("zones", "evacuate", "b")
	if code, _, errOut := f.run("zones", "evacuate", "b"); code != cli.ExitFailed || !strings.HasPrefix(errOut, "relayctl: zone b is being evacuated already, by b-") {
		t.Errorf("second evacuation of a zone: exit code %d, %q", code, errOut)
	}
	f.mustRun("zones", "hold", "b")
	if status := f.mustRun("zones", "status"); !strings.Contains(status, "  pause  false") {
		t.Errorf("unexpected status of the paused evacuation: %q", status)
	}
	f.mustRun("members", "remove", "m-2")
}

// A restored snapshot brings back a removed member. status lists nodes that do not answer,
// and fails if no node answers.
func TestSnapshotRestoreBringsBackMemberAndStatusNamesUnreachableNodes(t *testing.T) {
	f := startFixture(t)
	f.mustRun("members", "add", "--id", "m-1", "--address", "127.0.0.1:9001", "--zone", "a", "--flavor", "agent")
	path := filepath.Join(t.TempDir(), "state")
	if out := f.mustRun("snapshot", "save", path); !strings.HasSuffix(out, " bytes in "+path+"\n") {
		t.Errorf("unexpected output of save: %q", out)
	}
	f.mustRun("members", "remove", "m-1")
	f.mustRun("snapshot", "restore", path)
	if list := f.mustRun("members", "list", "--consistent"); !strings.Contains(list, "m-1") {
		t.Errorf("member m-1 is missing after the restore: %q", list)
	}
	if code, _, _ := f.run("snapshot", "restore", path+"-none"); code != cli.ExitUsage {
		t.Errorf("restore of a missing file: exit code %d", code)
	}
	down := "127.0.0.1:1"
	status := f.mustRun("--nodes", down, "--wait", "2s", "status")
	if !strings.HasPrefix(status, "ID ") || !strings.Contains(status, "Leader") || !strings.Contains(status, down+"  does not answer") {
		t.Errorf("unexpected status of one reachable and one unreachable node: %q", status)
	}
	var out, errOut bytes.Buffer
	if code := Main(t.Context(), []string{"--nodes", down, "--wait", "200ms", "status"}, &out, &errOut); code != cli.ExitUnavailable || !strings.HasPrefix(errOut.String(), "relayctl: no node answers: ") {
		t.Errorf("status without a reachable node: exit code %d, %q", code, errOut.String())
	}
	if code, _, errOut := f.run("no-such-command"); code != cli.ExitUsage || !strings.HasPrefix(errOut, `relayctl: unknown command "no-such-command"`) {
		t.Errorf("unknown command: exit code %d, %q", code, errOut)
	}
}

// A rollout is not started if its plan cannot be read or parsed; the error of an invalid
// plan names the file. The plan in deploy/rollout.toml is valid.
func TestRolloutStartRejectsInvalidPlan(t *testing.T) {
	f := startFixture(t)
	if code, _, errOut := f.run("rollout", "start", "up", "../../deploy/none.toml"); code != cli.ExitUsage {
		t.Errorf("start with a missing file: exit code %d, %q", code, errOut)
	}
	if code, _, errOut := f.run("rollout", "start", "up", "relayctl.go"); code != cli.ExitUsage || !strings.HasPrefix(errOut, "relayctl: relayctl.go: plan: ") {
		t.Errorf("start with a file that is not a plan: exit code %d, %q", code, errOut)
	}
	f.mustRun("rollout", "start", "up", "../../deploy/rollout.toml")
	f.mustRun("rollout", "pause", "up")
	if status := f.mustRun("rollout", "status"); !strings.Contains(status, "up    pause  false") {
		t.Errorf("unexpected status of the paused rollout: %q", status)
	}
}
