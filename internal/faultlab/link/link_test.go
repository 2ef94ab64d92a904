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

// startEchoServer starts a server that sends back all bytes, and returns its address.
func startEchoServer(t *testing.T) string {
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

func startTestLink(t *testing.T, onCallLost OnCallLost) *Link {
	t.Helper()
	l, err := NewNet().Listen("a", "b", "127.0.0.1:0", startEchoServer(t), 1, onCallLost)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return l
}

func dialLink(t *testing.T, l *Link) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp4", l.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(10 * time.Second))
	return c
}

func checkEcho(t *testing.T, c net.Conn, s string) {
	t.Helper()
	io.WriteString(c, s)
	b := make([]byte, len(s))
	if _, err := io.ReadFull(c, b); err != nil || string(b) != s {
		t.Fatalf("read %q with error %v, want the echo of the bytes sent", b, err)
	}
}

// checkSilent fails the test if the connection receives bytes or ends within a short time.
func checkSilent(t *testing.T, c net.Conn) {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(150 * time.Millisecond))
	if n, err := c.Read(make([]byte, 1)); n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("read %d bytes with error %v, want no bytes until the deadline", n, err)
	}
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
}

func TestCutIsSilentAndLosesNoBytesOnceHealed(t *testing.T) {
	for _, d := range []Direction{ToServer, ToClient} {
		l := startTestLink(t, nil)
		c := dialLink(t, l)
		checkEcho(t, c, "before")
		l.SetFaults(d, Faults{Cut: true})
		io.WriteString(c, "during")
		checkSilent(t, c)
		// The accept queue fills shortly after the cut. Only then do new connections fail.
		for limit := time.Now().Add(10 * time.Second); ; {
			probe, err := net.DialTimeout("tcp4", l.Addr(), 100*time.Millisecond)
			if err != nil {
				break
			}
			probe.Close()
			if time.Now().After(limit) {
				t.Fatal("new connections are still established 10 s after the cut")
			}
		}
		l.SetFaults(d, Faults{})
		b := make([]byte, 6)
		if _, err := io.ReadFull(c, b); err != nil || string(b) != "during" {
			t.Fatalf("after the cut: read %q with error %v, want the bytes sent during it", b, err)
		}
		checkEcho(t, dialLink(t, l), "after")
	}
}

func TestRefusingResetsConnectionsUntilLinkListensAgain(t *testing.T) {
	l := startTestLink(t, nil)
	c := dialLink(t, l)
	checkEcho(t, c, "x")
	if err := l.SetRefusing(true); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("read from an open connection: error %v, want ECONNRESET", err)
	}
	if _, err := net.Dial("tcp4", l.Addr()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Fatalf("new connection: error %v, want ECONNREFUSED", err)
	}
	if err := l.SetRefusing(false); err != nil {
		t.Fatal(err)
	}
	checkEcho(t, dialLink(t, l), "again")
}

func TestHalfOpenKeepsClientSideOpenAndSilent(t *testing.T) {
	l := startTestLink(t, nil)
	c := dialLink(t, l)
	checkEcho(t, c, "x")
	l.HalfOpen()
	io.WriteString(c, "into the void")
	checkSilent(t, c)
	checkEcho(t, dialLink(t, l), "a new one is fine")
}

func TestDelayedBytesArriveIntactAndNotBeforeDelay(t *testing.T) {
	l := startTestLink(t, nil)
	const delay = 60 * time.Millisecond
	l.SetFaults(ToServer, Faults{Delay: delay, Jitter: delay})
	c := dialLink(t, l)
	began := time.Now()
	checkEcho(t, c, "0123456789")
	if took := time.Since(began); took < delay {
		t.Errorf("echo came after %v, want at least the delay of 60 ms", took)
	}
}

func TestLinkReportsCallThatNeverReachedServer(t *testing.T) {
	lostCalls := make(chan string, 1)
	l := startTestLink(t, func(_ *Link, written []byte, _ time.Time) { lostCalls <- string(written) })
	c := dialLink(t, l)
	checkEcho(t, c, "heard")
	l.SetFaults(ToServer, Faults{Cut: true})
	io.WriteString(c, "swallowed")
	for limit := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		open := l.openConns()
		open[0].mu.Lock()
		recorded := len(open[0].written)
		open[0].mu.Unlock()
		if recorded == len("swallowed") {
			break
		}
		if time.Now().After(limit) {
			t.Fatal("the link has not read the bytes within 10 s")
		}
	}
	l.ResetConns(1)
	if got := <-lostCalls; got != "swallowed" {
		t.Errorf("lost call %q, want the bytes sent during the cut", got)
	}
}

// The kernel may give the same local port to connections to different servers, so a
// connection is identified by the addresses of both sides.
func TestFindTellsApartConnectionsWithTheSameClientPort(t *testing.T) {
	links := NewNet()
	first, second := &Conn{}, &Conn{}
	links.conns[connKey{"127.0.0.1:4000", "127.0.0.1:1"}] = first
	links.conns[connKey{"127.0.0.1:4000", "127.0.0.1:2"}] = second
	if links.Find(fakeConn{"127.0.0.1:4000", "127.0.0.1:1"}) != first || links.Find(fakeConn{"127.0.0.1:4000", "127.0.0.1:2"}) != second {
		t.Error("Find returned another connection")
	}
}

// fakeConn is a connection of which only the remote and the local address are used.
type fakeConn [2]string

func (p fakeConn) Read([]byte) (int, error)         { return 0, io.EOF }
func (p fakeConn) Write([]byte) (int, error)        { return 0, io.EOF }
func (p fakeConn) Close() error                     { return nil }
func (p fakeConn) RemoteAddr() net.Addr             { return fakeAddr(p[0]) }
func (p fakeConn) LocalAddr() net.Addr              { return fakeAddr(p[1]) }
func (p fakeConn) SetDeadline(time.Time) error      { return nil }
func (p fakeConn) SetReadDeadline(time.Time) error  { return nil }
func (p fakeConn) SetWriteDeadline(time.Time) error { return nil }

type fakeAddr string

func (a fakeAddr) Network() string { return "tcp" }
func (a fakeAddr) String() string  { return string(a) }
