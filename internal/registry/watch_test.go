package registry

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"plovershore/internal/discovery"
)

// TestSlowWatcherIsDisconnectedAndOtherIsServed checks that a watcher that reads nothing
// is disconnected, and that another one is sent every change until then.
func TestSlowWatcherIsDisconnectedAndOtherIsServed(t *testing.T) {
	t.Parallel()
	g := startGroup(t, 1)
	n := g.nodes[0]
	slowConn, err := net.Dial("tcp", n.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer slowConn.Close()
	slowConn.(*net.TCPConn).SetReadBuffer(4 << 10)
	fmt.Fprintf(slowConn, "GET %s?watch=1&from=0 HTTP/1.1\r\nHost: x\r\n\r\n", discovery.ListPath)
	resp, err := http.Get("http://" + n.Addr() + discovery.ListPath + "?watch=1&from=0")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	waitFor(t, "both watches to be open", func() bool { return n.watchers.Load() == 2 })
	lines := bufio.NewReaderSize(resp.Body, 1<<20)
	padding := strings.Repeat("z", 16<<10)
	lastRevision := int64(0)
	for i := 0; n.watchers.Load() == 2; i++ {
		m := testMember("s-1", "127.0.0.1:99")
		m.Locality = fmt.Sprint(padding, i)
		result, err := n.apply(Command{Request: NewID(), Op: OpAdd, Member: m})
		if err != nil {
			t.Fatal(err)
		}
		for lastRevision < result.Revision { // the other watcher is sent each revision
			text, err := lines.ReadString('\n')
			if err != nil {
				t.Fatal(err)
			}
			if list, err := discovery.Parse([]byte(text)); err == nil {
				if lastRevision > 0 && list.Revision != lastRevision+1 {
					t.Fatalf("the other watcher was sent revision %d after %d", list.Revision, lastRevision)
				}
				lastRevision = list.Revision
			}
		}
	}
}
