package faultlab

import (
	"errors"
	"fmt"
	"net"
	"os"
)

const (
	firstPort     = 10000 // below the kernel's ephemeral ports; the lab has its loopback address to itself
	lockPort      = 9999  // the lab that listens on this port owns the address
	addressTrials = 1000  // addresses tried before claimAddress fails

	// Addresses are 127.X.Y.1 for X from firstNetwork.
	firstNetwork    = 64
	networks        = 60
	hostsPerNetwork = 200
)

// errNoAddress reports that all addresses that were tried belong to other labs.
var errNoAddress = errors.New("lab: no loopback address is free")

// claimAddress reserves a loopback address for this lab: no other lab on this machine
// gets it while the returned listener is open.
func claimAddress() (ip string, lock net.Listener, err error) {
	pid := os.Getpid()
	for i := range addressTrials {
		n := pid + i
		ip := fmt.Sprintf("127.%d.%d.1", firstNetwork+n/hostsPerNetwork%networks, 1+n%hostsPerNetwork)
		if lock, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, lockPort)); err == nil {
			return ip, lock, nil
		}
	}
	return "", nil, errNoAddress
}

// address returns the lab's IP address with a port that the lab has not used yet.
func (r *run) address() string {
	return fmt.Sprintf("%s:%d", r.ip, firstPort+r.port.Add(1))
}
