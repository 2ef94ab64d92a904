// Package loopback allocates listen addresses for tests. The kernel never assigns
// one of them to an outgoing connection, as it may assign an ephemeral port that
// was free a moment ago, and no two calls in a process return the same address.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// The ports lie below the kernel's range of ephemeral ports.
const (
	firstPort = 10000
	lastPort  = 30000
)

// allocated counts the addresses that were tried.
var allocated atomic.Int64

// Free returns an address in 127.0.0.0/8 on which nobody listens. Processes
// allocate from different parts of the block, by their process ids.
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
