package relay

import (
	"encoding/binary"
	"errors"
	"net"
	"syscall"
)

// hasUnreadBytes reports whether the socket has unread bytes. A read can time out at
// the moment when bytes arrive, so a timeout does not prove that there are none.
func hasUnreadBytes(conn net.Conn) bool {
	var b [1]byte
	return receiveNow(conn, b[:], syscall.MSG_PEEK) > 0
}

// discardUnread reads and drops the unread bytes of the socket, up to about
// maxSkippedBytes, without waiting for more.
func discardUnread(conn net.Conn) {
	b := make([]byte, maxArgumentBytes)
	for total := 0; total < maxSkippedBytes; {
		n := receiveNow(conn, b, 0)
		if n <= 0 {
			return
		}
		total += n
	}
}

// States of a TCP connection as the kernel reports them, from the kernel's tcp_states.h.
const (
	tcpStateClose     = 7 // reset, or closed by both sides
	tcpStateCloseWait = 8 // the peer has closed its sending side
)

// hasPeerClosed reports whether the peer has closed the connection or its sending side, even
// if bytes that it sent before are still unread. It reports false if the kernel does not tell.
func hasPeerClosed(conn net.Conn) (closed bool) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	raw.Control(func(fd uintptr) {
		info, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO)
		if err != nil {
			return
		}
		var head [4]byte // the state is the first byte of struct tcp_info
		binary.NativeEndian.PutUint32(head[:], uint32(info))
		closed = head[0] == tcpStateClose || head[0] == tcpStateCloseWait
	})
	return closed
}

// receiveNow receives into b without waiting and regardless of the connection's
// read deadline. It returns 0 or less if there are no unread bytes.
func receiveNow(conn net.Conn, b []byte, flags int) (n int) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	raw.Control(func(fd uintptr) {
		err := error(syscall.EINTR)
		for errors.Is(err, syscall.EINTR) {
			n, _, err = syscall.Recvfrom(int(fd), b, flags|syscall.MSG_DONTWAIT)
		}
	})
	return n
}
