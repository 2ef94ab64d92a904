package relay

import (
	"errors"
	"net"
	"syscall"
)

// hasUnreadBytes reports whether bytes wait on the socket. A read deadline and
// the first byte of a request may come together, so that a read that timed out
// does not prove that there is nothing.
func hasUnreadBytes(conn net.Conn) bool {
	var b [1]byte
	return receiveNow(conn, b[:], syscall.MSG_PEEK) > 0
}

// discardUnread drops the bytes that wait on the socket, up to about
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

// receiveNow receives into b without waiting and regardless of the connection's
// read deadline. It returns 0 or less where nothing waits.
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
