package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"plovershore/internal/discovery"
)

const watchIdleInterval = 2 * time.Second // time between the empty lines that agents send to keep an idle watch open

// countedListener counts the bytes that its connections receive and send.
type countedListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept returns a connection that adds its bytes to the listener's counter.
func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{c, l.bytes}, nil
}

// countedConn counts the bytes that a connection receives and sends.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read counts the bytes that it reads.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write counts the bytes that it writes.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// listServer imitates the agent of one relay: it serves one list that never changes, keeps
// watches open and accepts notices.
type listServer struct {
	addr     string
	list     *discovery.List
	listJSON []byte
	server   *http.Server
	wg       sync.WaitGroup
	bytes    atomic.Int64
	lists    atomic.Int64 // requests for the complete list
	watches  atomic.Int64
	notices  atomic.Int64
}

func newListServer(l *discovery.List) (*listServer, error) {
	text, err := json.Marshal(l)
	if err != nil {
		return nil, fmt.Errorf("list: %w", err)
	}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("list server: %w", err)
	}
	s := &listServer{addr: ln.Addr().String(), list: l, listJSON: append(text, '\n')}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+discovery.ListPath, s.getList)
	mux.HandleFunc("POST "+discovery.NoticePath, s.postNotice)
	s.server = &http.Server{Handler: mux, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		s.server.Serve(countedListener{ln, &s.bytes}) // Serve returns once close is called.
	}()
	return s, nil
}

// previousList returns the list without the last change, for a relay to start with. The
// relay's watch then begins with that change at once, whereas a relay with the present
// list would wait at its start for a change that never comes.
func (s *listServer) previousList() *discovery.List {
	return &discovery.List{Revision: s.list.Revision - 1, Complete: true, Members: s.list.Members}
}

func (s *listServer) close() {
	s.server.Close()
	s.wg.Wait()
}

func (s *listServer) getList(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("watch") == "" {
		s.lists.Add(1)
		w.Write(s.listJSON) // A failed write needs no handling: a relay that lost its connection asks again.
		return
	}
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.watches.Add(1)
	s.watch(r.Context(), w, from)
}

func (s *listServer) watch(ctx context.Context, w http.ResponseWriter, from int64) {
	out := http.NewResponseController(w)
	w.WriteHeader(http.StatusOK)
	if from < s.list.Revision {
		json.NewEncoder(w).Encode(discovery.List{Revision: s.list.Revision, Members: s.list.Members[:1]})
	}
	idleTicker := time.NewTicker(watchIdleInterval)
	defer idleTicker.Stop()
	for out.Flush() == nil {
		select {
		case <-idleTicker.C:
			io.WriteString(w, "\n")
		case <-ctx.Done():
			return
		}
	}
}

func (s *listServer) postNotice(w http.ResponseWriter, r *http.Request) {
	all, err := discovery.ReadNotices(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.notices.Add(int64(len(all)))
	w.WriteHeader(http.StatusNoContent)
}
