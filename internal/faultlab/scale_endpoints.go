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
	fillerTimeout = 200 * time.Millisecond // after which the listen queue of a closed address counts as full
	headerTimeout = 5 * time.Second
	loopback      = "lo"
	// reusePort is SO_REUSEPORT of Linux, which package syscall does not name.
	reusePort = 15

	// Addresses of members are 127.X.Y.Z, for X from firstMemberNetwork.
	firstMemberNetwork = 130
	hostsPerByte       = 250
)

// scaleEndpoints is the endpoints of all destinations. One listener accepts the
// connections to its port at any address of the loopback device, so that each member
// has an address of its own and none costs a descriptor. While a destination is down, a
// second listener for its address alone, whose queue is full, keeps connections from
// being opened.
type scaleEndpoints struct {
	port      int
	classes   map[byte]simrelay.StreamClass
	server    *http.Server
	serving   sync.WaitGroup
	delivered atomic.Int64

	mu   sync.Mutex
	down map[int]*closedAddress // closed addresses, by member
}

// closedAddress is an address at which no connection can be opened.
type closedAddress struct {
	listener net.Listener
	fillers  []net.Conn // connections that fill the listen queue
}

func (a *closedAddress) close() {
	a.listener.Close()
	for _, filler := range a.fillers {
		filler.Close()
	}
}

// listenLoopback listens at addr on the loopback device; an address without a host
// stands for all of the device.
func listenLoopback(ctx context.Context, addr string) (*net.TCPListener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = errors.Join(syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, reusePort, 1),
				syscall.SetsockoptString(int(fd), syscall.SOL_SOCKET, syscall.SO_BINDTODEVICE, loopback))
		})
		return errors.Join(err, optionErr)
	}}
	listener, err := config.Listen(ctx, "tcp4", addr)
	if err != nil {
		return nil, fmt.Errorf("lab: endpoints: %w", err)
	}
	return listener.(*net.TCPListener), nil
}

// newScaleEndpoints starts a server for all endpoints; the caller closes it.
func newScaleEndpoints(ctx context.Context) (*scaleEndpoints, error) {
	listener, err := listenLoopback(ctx, ":0")
	if err != nil {
		return nil, err
	}
	e := &scaleEndpoints{port: listener.Addr().(*net.TCPAddr).Port, down: map[int]*closedAddress{}, classes: map[byte]simrelay.StreamClass{}}
	for i, class := range model.Classes() {
		e.classes[byte('0'+i)] = simrelay.StreamClass{Name: class.Name, Fraction: class.Fraction, ServiceTime: class.ServiceTime}
	}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve), ReadHeaderTimeout: headerTimeout, IdleTimeout: endpointIdle}
	e.serving.Add(1)
	go func() {
		defer e.serving.Done()
		e.server.Serve(listener) // returns when the server is closed
	}()
	return e, nil
}

// address returns the address of one member.
func (e *scaleEndpoints) address(member int) string {
	network := firstMemberNetwork + member/(hostsPerByte*hostsPerByte)
	ip := fmt.Sprintf("127.%d.%d.%d", network, member/hostsPerByte%hostsPerByte, 1+member%hostsPerByte)
	return net.JoinHostPort(ip, strconv.Itoa(e.port))
}

// serve handles one message, whose first byte is the index of its class.
func (e *scaleEndpoints) serve(w http.ResponseWriter, r *http.Request) {
	class := make([]byte, 1)
	if n, _ := r.Body.Read(class); n != 1 || r.Method != http.MethodPost {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	serviceTime := e.classes[class[0]].ServiceTime
	if !model.Sleep(r.Context(), (serviceTime[0]+serviceTime[1])/2) {
		return
	}
	e.delivered.Add(1)
	w.Header().Set("X-Server-Load", "x0=1.000,x1=0.00")
	w.WriteHeader(http.StatusOK)
}

// updateDown closes the addresses of the destinations that are down, and opens them
// again, until ctx ends.
func (e *scaleEndpoints) updateDown(ctx context.Context, down *simrelay.Down, destinations int, fail func(error)) {
	for model.Sleep(ctx, downInterval) {
		now := time.Now().UnixMicro()
		for i := range destinations {
			if err := e.setDown(ctx, i, down.At(i, now)); err != nil {
				fail(err)
				return
			}
		}
	}
}

// setDown closes or opens the address of one destination, unless it is in that state
// already.
func (e *scaleEndpoints) setDown(ctx context.Context, member int, isDown bool) error {
	e.mu.Lock()
	closed := e.down[member]
	e.mu.Unlock()
	switch {
	case isDown && closed == nil:
		return e.closeAddress(ctx, member)
	case !isDown && closed != nil:
		closed.close()
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.down, member)
	}
	return nil
}

// closeAddress keeps connections to one destination from being opened: it adds a
// listener for that address with the shortest queue, and fills the queue.
func (e *scaleEndpoints) closeAddress(ctx context.Context, member int) error {
	listener, err := listenLoopback(ctx, e.address(member))
	if err != nil {
		return err
	}
	raw, err := listener.SyscallConn()
	if err != nil {
		return fmt.Errorf("lab: endpoints: %w", err)
	}
	raw.Control(func(fd uintptr) { syscall.Listen(int(fd), 0) })
	closed := &closedAddress{listener: listener}
	if filler, err := net.DialTimeout("tcp4", e.address(member), fillerTimeout); err == nil {
		closed.fillers = append(closed.fillers, filler)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down[member] = closed
	return nil
}

// close ends the server and all closed addresses; updateDown must have ended.
func (e *scaleEndpoints) close() {
	e.server.Close()
	e.serving.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, closed := range e.down {
		closed.close()
	}
}
