package faultlab

import (
	"errors"
	"fmt"
	"net"
	"os"
)

const (
	firstPort     = 10000 // below the kernel's range, on an address that this lab alone has
	lockPort      = 9999  // whoever listens there has the address
	addressTrials = 1000

	// Addresses are 127.X.Y.1 for X from firstNetwork.
	firstNetwork    = 64
	networks        = 60
	hostsPerNetwork = 200
)

// errNoAddress is a machine on which other labs have all addresses.
var errNoAddress = errors.New("lab: no loopback address is free")

// claimAddress takes a loopback address that no other lab on this machine has, for
// as long as the listener is open.
func claimAddress() (ip string, lock net.Listener, err error) {
	first := os.Getpid()
	for i := range addressTrials {
		n := first + i
		ip := fmt.Sprintf("127.%d.%d.1", firstNetwork+n/hostsPerNetwork%networks, 1+n%hostsPerNetwork)
		if lock, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, lockPort)); err == nil {
			return ip, lock, nil
		}
	}
	return "", nil, errNoAddress
}

// address returns an address that no other process uses.
func (r *run) address() string {
	return fmt.Sprintf("%s:%d", r.ip, firstPort+r.port.Add(1))
}
