package link

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// echo answers each byte on every connection, and gives its address.
func echo(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { defer c.Close(); io.Copy(c, c) }()
		}
	}()
	return ln.Addr().String()
}

func testLink(t *testing.T, swallowed OnCallLost) *Link {
	t.Helper()
	l, err := NewNet().Listen("a", "b", "127.0.0.1:0", echo(t), 1, swallowed)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return l
}

func dial(t *testing.T, l *Link) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp4", l.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(10 * time.Second))
	return c
}

func ask(t *testing.T, c net.Conn, s string) {
	t.Helper()
	io.WriteString(c, s)
	b := make([]byte, len(s))
	if _, err := io.ReadFull(c, b); err != nil || string(b) != s {
		t.Fatalf("got %q, %v", b, err)
	}
}

// silentFor reports that nothing comes and nothing ends for a while.
func silentFor(t *testing.T, c net.Conn) {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(150 * time.Millisecond))
	if n, err := c.Read(make([]byte, 1)); n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("not silent: %d bytes, %v", n, err)
	}
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
}

func TestACutSaysNothingAndHealsWithNoByteLost(t *testing.T) {
	for _, d := range []Direction{ToServer, ToClient} {
		l := testLink(t, nil)
		c := dial(t, l)
		ask(t, c, "before")
		l.SetFaults(d, Faults{Cut: true})
		io.WriteString(c, "during")
		silentFor(t, c)
		// The accept queue fills a moment after the cut: then nothing comes up.
		for end := time.Now().Add(10 * time.Second); ; {
			n, err := net.DialTimeout("tcp4", l.Addr(), 100*time.Millisecond)
			if err != nil {
				break
			}
			n.Close()
			if time.Now().After(end) {
				t.Fatal("new connections come up over a cut link")
			}
		}
		l.SetFaults(d, Faults{})
		b := make([]byte, 6)
		if _, err := io.ReadFull(c, b); err != nil || string(b) != "during" {
			t.Fatalf("got %q, %v", b, err)
		}
		ask(t, dial(t, l), "after")
	}
}

func TestRefuseResetsAndListensAgain(t *testing.T) {
	l := testLink(t, nil)
	c := dial(t, l)
	ask(t, c, "x")
	if err := l.SetRefusing(true); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("got %v", err)
	}
	if _, err := net.Dial("tcp4", l.Addr()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Fatalf("got %v", err)
	}
	if err := l.SetRefusing(false); err != nil {
		t.Fatal(err)
	}
	ask(t, dial(t, l), "again")
}

func TestHalfOpenIsSilentOnTheNearSide(t *testing.T) {
	l := testLink(t, nil)
	c := dial(t, l)
	ask(t, c, "x")
	l.HalfOpen()
	io.WriteString(c, "into the void")
	silentFor(t, c)
	ask(t, dial(t, l), "a new one is fine")
}

func TestDelayIsOfEachByteAndKeepsOrder(t *testing.T) {
	l := testLink(t, nil)
	const delay = 60 * time.Millisecond
	l.SetFaults(ToServer, Faults{Delay: delay, Jitter: delay})
	c := dial(t, l)
	began := time.Now()
	ask(t, c, "0123456789")
	if took := time.Since(began); took < delay {
		t.Errorf("took %v", took)
	}
}

func TestWhatNeverGotThroughIsTold(t *testing.T) {
	told := make(chan string, 1)
	l := testLink(t, func(_ *Link, written []byte, _ time.Time) { told <- string(written) })
	c := dial(t, l)
	ask(t, c, "heard")
	l.SetFaults(ToServer, Faults{Cut: true})
	io.WriteString(c, "swallowed")
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		open := l.openConns()
		open[0].mu.Lock()
		read := len(open[0].written)
		open[0].mu.Unlock()
		if read == len("swallowed") {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the link never read it")
		}
	}
	l.ResetConns(1)
	if got := <-told; got != "swallowed" {
		t.Errorf("got %q", got)
	}
}

// The kernel gives one local port to connections that go to different places,
// so a connection is known by both ends.
func TestAConnectionIsKnownByBothEnds(t *testing.T) {
	n := NewNet()
	one, two := &Conn{}, &Conn{}
	n.conns[connKey{"127.0.0.1:4000", "127.0.0.1:1"}] = one
	n.conns[connKey{"127.0.0.1:4000", "127.0.0.1:2"}] = two
	if n.Find(pair{"127.0.0.1:4000", "127.0.0.1:1"}) != one || n.Find(pair{"127.0.0.1:4000", "127.0.0.1:2"}) != two {
		t.Error("one taken for the other")
	}
}

// pair is a connection of which only the addresses count.
type pair [2]string

func (p pair) Read([]byte) (int, error)         { return 0, io.EOF }
func (p pair) Write([]byte) (int, error)        { return 0, io.EOF }
func (p pair) Close() error                     { return nil }
func (p pair) RemoteAddr() net.Addr             { return addr(p[0]) }
func (p pair) LocalAddr() net.Addr              { return addr(p[1]) }
func (p pair) SetDeadline(time.Time) error      { return nil }
func (p pair) SetReadDeadline(time.Time) error  { return nil }
func (p pair) SetWriteDeadline(time.Time) error { return nil }

type addr string

func (a addr) Network() string { return "tcp" }
func (a addr) String() string  { return string(a) }
