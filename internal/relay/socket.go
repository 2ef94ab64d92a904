package relay

import (
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
