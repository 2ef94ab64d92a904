package client

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"plovershore/internal/discovery"
	"plovershore/internal/registry"
)

// TestPositionNeverGoesBackOrRepeats draws updates of two epochs with newer and older
// revisions. It checks that Advance accepts no older revision of the same epoch, no
// change twice, and no change of another epoch.
func TestPositionNeverGoesBackOrRepeats(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Position{}
		for range rapid.IntRange(1, 50).Draw(t, "updates") {
			update := &Update{Epoch: rapid.SampledFrom([]string{"e", "f"}).Draw(t, "epoch")}
			update.Revision, update.Complete = int64(rapid.IntRange(0, 9).Draw(t, "revision")), rapid.Bool().Draw(t, "complete")
			next, ok := p.Advance(update)
			switch {
			case !ok:
				continue
			case next.Epoch == p.Epoch && next.Revision < p.Revision:
				t.Fatalf("the position went back from %v to %v", p, next)
			case next.Epoch != p.Epoch && !update.Complete:
				t.Fatalf("a change of another epoch was accepted")
			case next.Epoch == p.Epoch && !update.Complete && next.Revision == p.Revision:
				t.Fatalf("a change was accepted twice")
			}
			p = next
		}
	})
}

// TestAllAttemptsShareOneRequestID checks that a write that fails at one node is sent to
// another under the same request id, that a response below 500 is final, and that Do ends
// with its context.
func TestAllAttemptsShareOneRequestID(t *testing.T) {
	var mu sync.Mutex
	ids := map[string]int{}
	node := func(status int) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			ids[r.Header.Get(registry.RequestHeader)]++
			mu.Unlock()
			w.WriteHeader(status)
			io.WriteString(w, `{"error":"so it is","changed":7}`)
		}))
		t.Cleanup(s.Close)
		return s.Listener.Addr().String()
	}
	c, err := New([]string{node(503), node(500), node(409)}, 1, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.current = 0
	_, err = c.Do(t.Context(), http.MethodPost, "/x", map[string]int{}, nil)
	var rejected *RejectedError
	if !errors.As(err, &rejected) || rejected.Status != 409 || rejected.Changed != 7 {
		t.Errorf("error %v, want the rejection with status 409 and revision 7", err)
	}
	if len(ids) != 1 {
		t.Errorf("attempts by request id: %v, want one id", ids)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	unavailable, _ := New([]string{node(503)}, 1, slog.New(slog.DiscardHandler))
	if _, err := unavailable.Do(ctx, http.MethodGet, "/x", nil, nil); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("error %v, want that of the context", err)
	}
}

// TestCancelledContextIsReturnedBeforeEachNodeWasTried checks that the error of Do wraps
// that of its context, also if the context is done before each node was tried once.
func TestCancelledContextIsReturnedBeforeEachNodeWasTried(t *testing.T) {
	c, err := New([]string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"}, 1, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := c.Do(ctx, http.MethodGet, "/x", nil, nil); !errors.Is(err, context.Canceled) {
		t.Errorf("error %v, want that of the context", err)
	}
}

// TestFollowSwitchesFromStaleNode checks that Follow rejects the list of a node if it is
// older than the position, and opens a watch at another node.
func TestFollowSwitchesFromStaleNode(t *testing.T) {
	node := func(revision int64) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			fmt.Fprintf(w, "{\"revision\":%d,\"complete\":true,\"members\":[],\"epoch\":\"e\"}\n", revision)
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}))
		t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
		return s.Listener.Addr().String()
	}
	c, _ := New([]string{node(5), node(9)}, 1, slog.New(slog.DiscardHandler))
	c.current = 0
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	c.Follow(ctx, Position{"e", 7}, func(update Update) {
		if update.Revision != 9 {
			t.Errorf("accepted revision %d, want 9", update.Revision)
		}
		cancel()
	}, func(bool) {})
	if ctx.Err() != context.Canceled {
		t.Error("Follow didn't receive the list of the node that is ahead within 30 s")
	}
}

func FuzzReadUpdate(f *testing.F) {
	f.Add([]byte(`{"revision":1,"complete":true,"members":[],"epoch":"e"}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		update, err := ReadUpdate(text)
		if err != nil {
			return
		}
		for i := range update.Members {
			if m := &update.Members[i]; m.Validate() != nil || m.Phase != discovery.Removed && m.HostPort == "" {
				t.Fatalf("accepted an invalid member: %+v", m)
			}
		}
	})
}
