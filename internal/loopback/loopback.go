// Package loopback allocates listen addresses for tests. Their ports are not
// ephemeral: the kernel may assign an ephemeral port that was free a moment ago to an
// outgoing connection, and never assigns these. No two calls in a process return the
// same address until 20,000 addresses have been tried.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// Ports are taken from firstPort up to, but not including, lastPort. They lie below the
// kernel's ephemeral ports.
const (
	firstPort = 10000
	lastPort  = 30000
)

// allocated counts the addresses that this process has tried.
var allocated atomic.Int64

// Free returns an address in 127.0.0.0/8 on which nobody listens. The process id
// selects the part of the block from which a process allocates, so that concurrent
// processes rarely try the same addresses.
func Free() string {
	pid := os.Getpid()
	for {
		n := int(allocated.Add(1))
		addr := fmt.Sprintf("127.%d.%d.%d:%d", 130+pid%100, pid/100%250, 1+n%250, firstPort+n%(lastPort-firstPort))
		ln, err := net.Listen("tcp4", addr)
		if err != nil {
			continue
		}
		ln.Close()
		return addr
	}
}
