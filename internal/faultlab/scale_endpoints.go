package faultlab

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"plovershore/internal/faultlab/model"
	"plovershore/internal/faultlab/simrelay"
)

const (
	downInterval  = 100 * time.Millisecond // between two updates of the destinations that are down
	fillerTimeout = 200 * time.Millisecond // after which the queue of one that is down counts as full
	endpointIP    = "127.%d.%d.%d"
	loopback      = "lo"
	// SO_REUSEPORT of Linux, which package syscall does not name.
	reusePort = 15
)

// scaleEndpoints is the endpoints of all destinations: one listener takes what comes to
// any address of the loopback device at its port, so that each member has an
// address of its own and none costs a descriptor. For a destination that is
// down, a listener of that address alone, whose queue is full, lets no
// connection through.
type scaleEndpoints struct {
	port      int
	classes   map[byte]simrelay.StreamClass
	server    *http.Server
	delivered atomic.Int64

	mu   sync.Mutex
	down map[int]*closedAddress
}

// closedAddress is an address that answers no connection.
type closedAddress struct {
	listener net.Listener
	fillers  []net.Conn
}

func (d *closedAddress) close() {
	d.listener.Close()
	for _, c := range d.fillers {
		c.Close()
	}
}

// listenLoopback listens at any address of the loopback device, or at one.
func listenLoopback(ctx context.Context, addr string) (net.Listener, error) {
	c := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var fault error
		err := raw.Control(func(fd uintptr) {
			fault = errors.Join(syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, reusePort, 1),
				syscall.SetsockoptString(int(fd), syscall.SOL_SOCKET, syscall.SO_BINDTODEVICE, loopback))
		})
		return errors.Join(err, fault)
	}}
	ln, err := c.Listen(ctx, "tcp4", addr)
	if err != nil {
		return nil, fmt.Errorf("lab: endpoints: %w", err)
	}
	return ln, nil
}

// newScaleEndpoints serves all endpoints until it is closed.
func newScaleEndpoints(ctx context.Context) (*scaleEndpoints, error) {
	ln, err := listenLoopback(ctx, ":0")
	if err != nil {
		return nil, err
	}
	f := &scaleEndpoints{port: ln.Addr().(*net.TCPAddr).Port, down: map[int]*closedAddress{}, classes: map[byte]simrelay.StreamClass{}}
	for i, c := range model.Classes() {
		f.classes[byte('0'+i)] = simrelay.StreamClass{Name: c.Name, Fraction: c.Fraction, ServiceTime: c.ServiceTime}
	}
	f.server = &http.Server{Handler: http.HandlerFunc(f.serve), ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 10 * time.Second}
	go f.server.Serve(ln)
	return f, nil
}

// address is the address of one member.
func (f *scaleEndpoints) address(member int) string {
	return net.JoinHostPort(fmt.Sprintf(endpointIP, 130+member/62500, member/250%250, 1+member%250), strconv.Itoa(f.port))
}

// serve takes one message, whose first byte is the index of its class.
func (f *scaleEndpoints) serve(w http.ResponseWriter, r *http.Request) {
	body := make([]byte, 1)
	if n, _ := r.Body.Read(body); n != 1 || r.Method != http.MethodPost {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	took := f.classes[body[0]].ServiceTime
	if !model.Sleep(r.Context(), (took[0]+took[1])/2) {
		return
	}
	f.delivered.Add(1)
	w.Header().Set("X-Server-Load", "x0=1.000,x1=0.00")
	w.WriteHeader(http.StatusOK)
}

// updateDown closes the addresses of the destinations that are down, and opens them
// again, until ctx ends.
func (f *scaleEndpoints) updateDown(ctx context.Context, down *simrelay.Down, destinations int, fail func(error)) {
	for model.Sleep(ctx, downInterval) {
		now := time.Now().UnixMicro()
		for i := range destinations {
			f.mu.Lock()
			closed := f.down[i]
			f.mu.Unlock()
			switch is := down.At(i, now); {
			case is && closed == nil:
				if err := f.closeAddress(ctx, i); err != nil {
					fail(err)
					return
				}
			case !is && closed != nil:
				closed.close()
				f.mu.Lock()
				delete(f.down, i)
				f.mu.Unlock()
			}
		}
	}
}

// closeAddress has one destination answer no connection: a listener of its own has the
// shortest queue, which is full.
func (f *scaleEndpoints) closeAddress(ctx context.Context, member int) error {
	ln, err := listenLoopback(ctx, f.address(member))
	if err != nil {
		return err
	}
	raw, err := ln.(*net.TCPListener).SyscallConn()
	if err != nil {
		return fmt.Errorf("lab: endpoints: %w", err)
	}
	raw.Control(func(fd uintptr) { syscall.Listen(int(fd), 0) })
	closed := &closedAddress{listener: ln}
	c, err := net.DialTimeout("tcp4", f.address(member), fillerTimeout)
	if err == nil {
		closed.fillers = append(closed.fillers, c)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down[member] = closed
	return nil
}

func (f *scaleEndpoints) close() {
	f.server.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, closed := range f.down {
		closed.close()
	}
}
