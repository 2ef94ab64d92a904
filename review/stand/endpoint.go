package stand

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Call is one call at an endpoint.
type Call struct {
	Endpoint string
	Messages []string // ids, in their order
	At       time.Time
	EndedAt  time.Time // when the answer was written or the connection ended
	Open     bool
}

// Answer writes the answer to a call. It may write anything, also nothing, and reports whether the
// connection stays open.
type Answer func(call *Call, conn net.Conn) (keep bool)

// Endpoint is an endpoint of a destination. It counts a call as begun with its last byte.
type Endpoint struct {
	Name    string
	Address string
	ln      net.Listener
	record  *Record
	answer  Answer
	calls   *Calls
}

// Calls are the calls at all endpoints, in the order in which they began.
type Calls struct {
	mu    sync.Mutex
	calls []*Call
}

// All returns copies of all calls so far.
func (c *Calls) All() []Call {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]Call, len(c.calls))
	for i, call := range c.calls {
		all[i] = *call
	}
	return all
}

// Of returns the calls that carried a message.
func (c *Calls) Of(id string) (of []Call) {
	for _, call := range c.All() {
		for _, m := range call.Messages {
			if m == id {
				of = append(of, call)
			}
		}
	}
	return of
}

// NewEndpoint starts an endpoint.
func NewEndpoint(name string, calls *Calls, answer Answer, record *Record) (*Endpoint, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &Endpoint{Name: name, Address: ln.Addr().String(), ln: ln, record: record, answer: answer, calls: calls}
	go e.serve()
	return e, nil
}

// Close ends the endpoint's listener.
func (e *Endpoint) Close() { e.ln.Close() }

func (e *Endpoint) serve() {
	for {
		conn, err := e.ln.Accept()
		if err != nil {
			return
		}
		go e.serveConn(conn)
	}
}

func (e *Endpoint) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		call := &Call{Endpoint: e.Name, Messages: messageIDs(req, body), At: time.Now(), Open: true}
		e.calls.mu.Lock()
		e.calls.calls = append(e.calls.calls, call)
		e.calls.mu.Unlock()
		e.record.Printf("call at %s: %s", e.Name, strings.Join(call.Messages, " "))
		keep := e.answer(call, conn)
		e.calls.mu.Lock()
		call.EndedAt, call.Open = time.Now(), false
		e.calls.mu.Unlock()
		if !keep {
			return
		}
	}
}

func messageIDs(req *http.Request, body []byte) []string {
	if !strings.HasSuffix(req.URL.Path, ":batch") {
		return []string{req.Header.Get("X-Request-ID")}
	}
	var items []struct {
		ID string `json:"id"`
	}
	json.Unmarshal(body, &items)
	ids := make([]string, len(items))
	for i, item := range items {
		ids[i] = item.ID
	}
	return ids
}

// Accepted is the answer that each message of a call was delivered, as a sound endpoint gives it.
func Accepted(call *Call) string {
	if len(call.Messages) == 1 {
		return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	}
	items := make([]map[string]string, len(call.Messages))
	for i, id := range call.Messages {
		items[i] = map[string]string{"id": id, "state": "accepted"}
	}
	text, _ := json.Marshal(items)
	return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + itoa(len(text)) + "\r\n\r\n" + string(text)
}

// AwaitClose waits until the peer closes the connection, for at most the timeout.
func AwaitClose(conn net.Conn, timeout time.Duration) {
	conn.SetReadDeadline(time.Now().Add(timeout))
	io.Copy(io.Discard, conn)
}
