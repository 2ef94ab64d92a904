package leader

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"plovershore/internal/registry"
	"plovershore/internal/registry/client"
	"plovershore/internal/registry/registrytest"
)

var quiet, waitFor = registrytest.Quiet, registrytest.WaitFor

func startNode(t *testing.T, tune func(*registry.Config)) (g *registrytest.Group, addr string) {
	t.Helper()
	g = registrytest.Start(t, 1, tune)
	return g, g.Addrs[0]
}

func newClient(t *testing.T, addr string) *client.Client { return registrytest.Client(t, addr) }

// startCandidate runs a candidate, with a client for the node at addr, until the test
// ends. stop shuts the candidate down gracefully and waits until it has returned.
func startCandidate(t *testing.T, addr, name string, ttl time.Duration, roles map[string]Work) (stop func()) {
	t.Helper()
	return startCandidateWith(t, newClient(t, addr), name, ttl, roles)
}

func startCandidateWith(t *testing.T, c *client.Client, name string, ttl time.Duration, roles map[string]Work) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := Run(ctx, Options{Client: c, Name: name, TTL: ttl, Roles: roles, Log: quiet()}); err != nil {
			t.Error(err)
		}
	}()
	stop = sync.OnceFunc(func() { cancel(); <-done })
	t.Cleanup(stop)
	return stop
}

func listRoles(t *testing.T, addr string) registry.RoleList {
	t.Helper()
	var l registry.RoleList
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if _, err := newClient(t, addr).Do(ctx, http.MethodGet, registry.RolesPath, nil, &l); err != nil {
		t.Fatal(err)
	}
	return l
}

func roleState(t *testing.T, addr, name string) registry.Role {
	for _, d := range listRoles(t, addr).Roles {
		if d.Name == name {
			return d
		}
	}
	return registry.Role{}
}

// workUntilCanceled returns work that stores name under the grant's token and then runs
// until its context ends.
func workUntilCanceled(began *sync.Map, name string) Work {
	return func(ctx context.Context, g *Grant) error {
		began.Store(g.Token, name)
		<-ctx.Done()
		return nil
	}
}

func entryCount(m *sync.Map) (n int) {
	m.Range(func(any, any) bool { n++; return true })
	return n
}

// proxy forwards the requests of a candidate to the list service. It can drop all
// requests, or only the responses to grant requests.
type proxy struct {
	server             *httptest.Server
	addr               string
	partitioned        atomic.Bool
	lostGrantResponses atomic.Int32 // number of further responses to grant requests to drop
}

func startProxy(t *testing.T, to string) *proxy {
	p := &proxy{}
	forward := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: to})
	forward.ErrorLog = slog.NewLogLogger(quiet().Handler(), slog.LevelDebug)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.partitioned.Load() {
			panic(http.ErrAbortHandler)
		}
		if strings.HasSuffix(r.URL.Path, "/grant") && p.lostGrantResponses.Add(-1) >= 0 {
			forward.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		forward.ServeHTTP(w, r)
	}))
	s.Config.ErrorLog = slog.NewLogLogger(quiet().Handler(), slog.LevelDebug)
	t.Cleanup(s.Close)
	p.server = s
	p.addr = strings.TrimPrefix(s.URL, "http://")
	return p
}
