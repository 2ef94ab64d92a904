package faultlab

import (
	"errors"
	"fmt"
	"net"
	"os"
)

// claimAddress takes a loopback address that no other lab on this machine has, for as
// long as the listener is open.
func claimAddress() (string, net.Listener, error) {
	start := os.Getpid()
	for i := range 1000 {
		n := start + i
		ip := fmt.Sprintf("127.%d.%d.1", 64+n/200%60, 1+n%200)
		if ln, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, lockPort)); err == nil {
			return ip, ln, nil
		}
	}
	return "", nil, errors.New("lab: no loopback address is free")
}

// address gives one more address that no other process uses.
func (r *run) address() string {
	return fmt.Sprintf("%s:%d", r.ip, firstPort+r.port.Add(1))
}
