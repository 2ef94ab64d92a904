package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"

	"plovershore/internal/wal"
	"plovershore/policy"
)

// A batch must be sent in the format of the protocol, and each message gets the outcome that
// the response states for it. A message that the response does not name may have run.
func TestBatchResponseMapsToOutcomes(t *testing.T) {
	const ok = `[{"id":"b","state":"fault"},{"id":"a","state":"accepted"},{"id":"c","state":"deferred"},{"id":"d","state":"expired"},{"id":"e","state":"no_more"}]`
	body := func(head, text string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", head, len(text), text)
	}
	same := func(o policy.Outcome) []policy.Outcome { return slices.Repeat([]policy.Outcome{o}, 6) }
	for name, x := range map[string]struct {
		answer string
		what   []policy.Outcome
		wait   policy.Time
	}{
		"state per message": {answer: body("200 OK\r\nRetry-After: 0.5", ok), wait: 500000, what: []policy.Outcome{policy.Delivered,
			policy.Errored, policy.Rejected, policy.NotSent, policy.NotSent, policy.Errored}},
		"429":               {answer: body("429 W\r\nRetry-After: 2", ""), wait: 2000000, what: same(policy.Rejected)},
		"503":               {answer: body("503 F", ""), what: same(policy.Rejected)},
		"500":               {answer: body("500 E", ""), what: same(policy.Errored)},
		"invalid JSON":      {answer: body("200 OK", `[{"id":"a","state":"acc`), what: same(policy.Errored)},
		"garbled chunks":    {answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", what: same(policy.Errored)},
		"cut":               {answer: "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n" + ok, what: same(policy.ConnectionReset)},
	} {
		t.Run(name, func(t *testing.T) {
			got := make(chan string, 1)
			addr := startRawEndpoint(t, func(c net.Conn) {
				req, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				text, _ := io.ReadAll(req.Body)
				got <- req.URL.Path + " " + string(text)
				io.WriteString(c, x.answer)
			})
			conns := newTestTransport(t, 2)
			defer conns.CloseIdleConnections()
			recs := []*wal.Record{{ID: "a", Key: "k", Body: []byte("hello")}, {ID: "b"}, {ID: "c"}, {ID: "d"}, {ID: "e"}, {ID: "f"}}
			out := newTestCall().run(conns, addr, recs, testCallTimeout, nil)
			for i, o := range out {
				settled := x.what[i] == policy.Delivered || name == "state per message" && recs[i].ID == "d"
				if o.kind != x.what[i] || o.isFinal != settled || o.retryAfter != x.wait {
					t.Errorf("%s: got %+v, want %v", recs[i].ID, o, x.what[i])
				}
			}
			if s := <-got; !strings.HasPrefix(s, batchPath+` [{"id":"a","key":"k","body":"aGVsbG8="},{"id":"b","body":""},`) {
				t.Errorf("request %s", s)
			}
		})
	}
}

func TestParseRetryAfter(t *testing.T) {
	for s, want := range map[string]policy.Time{"1.5": 1500000, " 2 ": 2000000, "": 0, "soon": 0, "-1": 0, "NaN": 0, "1e99": 600e6} {
		if got := parseRetryAfter(s); got != want {
			t.Errorf("%q: %d, want %d", s, got, want)
		}
	}
}

func TestParseLoadReport(t *testing.T) {
	fields := []string{"x0", "x1"}
	for s, want := range map[string]policy.LoadReport{"x0=0.4,x1=25": {Remaining: 0.4, Limit: 25, Present: true}, "x1=3": {Limit: 3, Present: true}, "": {}, "x0=?,x1=-2": {}, "x1=NaN": {}} {
		if got := parseLoadReport(s, fields); got != want {
			t.Errorf("%q: %+v", s, got)
		}
	}
	if got := parseLoadReport("x0=1", nil); got != (policy.LoadReport{}) {
		t.Errorf("settings without report fields: got %+v, want no report", got)
	}
}
