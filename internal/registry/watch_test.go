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

// TestSlowWatcherIsCut checks that a watcher that reads nothing is disconnected, and that
// another one is sent every change until then.
func TestSlowWatcherIsCut(t *testing.T) {
	t.Parallel()
	g := startGroup(t, 1)
	n := g.nodes[0]
	slow, err := net.Dial("tcp", n.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer slow.Close()
	slow.(*net.TCPConn).SetReadBuffer(4 << 10)
	fmt.Fprintf(slow, "GET %s?watch=1&from=0 HTTP/1.1\r\nHost: x\r\n\r\n", discovery.ListPath)
	resp, err := http.Get("http://" + n.Addr() + discovery.ListPath + "?watch=1&from=0")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	waitFor(t, "both watches to be open", func() bool { return n.watchers.Load() == 2 })
	in := bufio.NewReaderSize(resp.Body, 1<<20)
	long := strings.Repeat("z", 16<<10)
	last := int64(0)
	for i := 0; n.watchers.Load() == 2; i++ {
		m := testMember("s-1", "127.0.0.1:99")
		m.Locality = fmt.Sprint(long, i)
		a, err := n.apply(Command{Request: NewID(), Op: OpAdd, Member: m})
		if err != nil {
			t.Fatal(err)
		}
		for last < a.Revision { // the other watcher is sent each revision
			text, err := in.ReadString('\n')
			if err != nil {
				t.Fatal(err)
			}
			if l, err := discovery.Parse([]byte(text)); err == nil {
				if last > 0 && l.Revision != last+1 {
					t.Fatalf("the other watcher was sent revision %d after %d", l.Revision, last)
				}
				last = l.Revision
			}
		}
	}
}
