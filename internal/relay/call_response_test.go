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
	body := func(statusLine, text string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", statusLine, len(text), text)
	}
	allWith := func(o policy.Outcome) []policy.Outcome { return slices.Repeat([]policy.Outcome{o}, 6) }
	for name, test := range map[string]struct {
		answer         string
		wantKinds      []policy.Outcome
		wantRetryAfter policy.Time
	}{
		"state per message": {answer: body("200 OK\r\nRetry-After: 0.5", ok), wantRetryAfter: 500000, wantKinds: []policy.Outcome{policy.Delivered,
			policy.Errored, policy.Rejected, policy.NotSent, policy.NotSent, policy.Errored}},
		"429":            {answer: body("429 W\r\nRetry-After: 2", ""), wantRetryAfter: 2000000, wantKinds: allWith(policy.Rejected)},
		"503":            {answer: body("503 F", ""), wantKinds: allWith(policy.Rejected)},
		"500":            {answer: body("500 E", ""), wantKinds: allWith(policy.Errored)},
		"invalid JSON":   {answer: body("200 OK", `[{"id":"a","state":"acc`), wantKinds: allWith(policy.Errored)},
		"garbled chunks": {answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", wantKinds: allWith(policy.Errored)},
		"cut":            {answer: "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n" + ok, wantKinds: allWith(policy.ConnectionReset)},
	} {
		t.Run(name, func(t *testing.T) {
			received := make(chan string, 1)
			addr := startRawEndpoint(t, func(c net.Conn) {
				req, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				text, _ := io.ReadAll(req.Body)
				received <- req.URL.Path + " " + string(text)
				io.WriteString(c, test.answer)
			})
			transport := newTestTransport(t, 2)
			defer transport.CloseIdleConnections()
			records := []*wal.Record{{ID: "a", Key: "k", Body: []byte("hello")}, {ID: "b"}, {ID: "c"}, {ID: "d"}, {ID: "e"}, {ID: "f"}}
			out := newTestCall().run(transport, addr, records, testCallTimeout, nil)
			for i, o := range out {
				wantFinal := test.wantKinds[i] == policy.Delivered || name == "state per message" && records[i].ID == "d"
				if o.kind != test.wantKinds[i] || o.isFinal != wantFinal || o.retryAfter != test.wantRetryAfter {
					t.Errorf("%s: got %+v, want %v", records[i].ID, o, test.wantKinds[i])
				}
			}
			if s := <-received; !strings.HasPrefix(s, batchPath+` [{"id":"a","key":"k","body":"aGVsbG8="},{"id":"b","body":""},`) {
				t.Errorf("unexpected request %s", s)
			}
		})
	}
}

func TestParseRetryAfterIgnoresInvalidAndLimitsLongTimes(t *testing.T) {
	for s, want := range map[string]policy.Time{"1.5": 1500000, " 2 ": 2000000, "": 0, "soon": 0, "-1": 0, "NaN": 0, "1e99": 600e6} {
		if got := parseRetryAfter(s); got != want {
			t.Errorf("%q: %d, want %d", s, got, want)
		}
	}
}

func TestParseLoadReportIgnoresInvalidFields(t *testing.T) {
	fields := []string{"x0", "x1"}
	for s, want := range map[string]policy.LoadReport{"x0=0.4,x1=25": {Remaining: 0.4, Limit: 25, Present: true}, "x1=3": {Limit: 3, Present: true}, "": {}, "x0=?,x1=-2": {}, "x1=NaN": {}, "x1=Inf": {}, "x0=+Inf,x1=1e308": {}, "x1=1e999": {}} {
		if got := parseLoadReport(s, fields); got != want {
			t.Errorf("%q: %+v", s, got)
		}
	}
	if got := parseLoadReport("x0=1", nil); got != (policy.LoadReport{}) {
		t.Errorf("settings without report fields: got %+v, want no report", got)
	}
}
