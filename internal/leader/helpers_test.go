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

var newDiscardLogger, waitFor = registrytest.DiscardLog, registrytest.WaitFor

func startNode(t *testing.T, configure func(*registry.Config)) (group *registrytest.Group, addr string) {
	t.Helper()
	group = registrytest.Start(t, 1, configure)
	return group, group.Addrs[0]
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
		if err := Run(ctx, Options{Client: c, Name: name, TTL: ttl, Roles: roles, Log: newDiscardLogger()}); err != nil {
			t.Error(err)
		}
	}()
	stop = sync.OnceFunc(func() { cancel(); <-done })
	t.Cleanup(stop)
	return stop
}

func listRoles(t *testing.T, addr string) registry.RoleList {
	t.Helper()
	var list registry.RoleList
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if _, err := newClient(t, addr).Do(ctx, http.MethodGet, registry.RolesPath, nil, &list); err != nil {
		t.Fatal(err)
	}
	return list
}

func roleState(t *testing.T, addr, name string) registry.Role {
	for _, role := range listRoles(t, addr).Roles {
		if role.Name == name {
			return role
		}
	}
	return registry.Role{}
}

// workUntilCanceled returns work that stores name under the grant's token and then runs
// until its context ends.
func workUntilCanceled(namesByToken *sync.Map, name string) Work {
	return func(ctx context.Context, g *Grant) error {
		namesByToken.Store(g.Token, name)
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

func startProxy(t *testing.T, target string) *proxy {
	p := &proxy{}
	reverseProxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: target})
	reverseProxy.ErrorLog = slog.NewLogLogger(newDiscardLogger().Handler(), slog.LevelDebug)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.partitioned.Load() {
			panic(http.ErrAbortHandler)
		}
		if strings.HasSuffix(r.URL.Path, "/grant") && p.lostGrantResponses.Add(-1) >= 0 {
			reverseProxy.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		reverseProxy.ServeHTTP(w, r)
	}))
	server.Config.ErrorLog = slog.NewLogLogger(newDiscardLogger().Handler(), slog.LevelDebug)
	t.Cleanup(server.Close)
	p.server = server
	p.addr = strings.TrimPrefix(server.URL, "http://")
	return p
}
