package relay

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"plovershore/internal/wal"
)

// RESP2, as far as clients speak it here: commands are arrays of bulk strings.
// The reader is our own since it must bound sizes before memory is spent.

const (
	maxBodyBytes        = 64 << 10
	maxArgumentBytes    = 4 << 10 // any argument but the body
	maxArguments        = 16
	maxSkippedBytes     = 1 << 20 // a body this long is still read past, so that the connection can go on
	maxLengthLineBytes  = 32
	clientWriteTimeout  = 2 * time.Second
	commandTimeout      = 2500 * time.Millisecond // for a whole command: such peers are owed a close within 3 s
	clientTimeout       = 400 * time.Millisecond  // clients themselves wait no longer for an answer
	maxSlotWait         = 100 * time.Millisecond  // for one that makes room for another
	evictionGrace       = 20 * time.Millisecond   // before a connection makes room: its request may be under way
	evictedReadTimeout  = 50 * time.Millisecond   // for the rest of what had begun to come on one that makes room
	closingSlotsDivisor = 8                       // one part in so many of the places is for connections on their way out
	spareSlots          = 4                       // and so many more
)

// errArgumentTooLong is a command that was read past: the connection is still in step.
var errArgumentTooLong = errors.New("argument too long")

var errDraining = errors.New("draining")

// readCommand reads one command. An error other than errArgumentTooLong means that
// the connection is of no more use.
func readCommand(r *bufio.Reader) ([][]byte, error) {
	n, err := readLength(r, '*')
	if err != nil {
		return nil, err
	}
	if n < 1 || n > maxArguments {
		return nil, fmt.Errorf("command of %d arguments", n)
	}
	args := make([][]byte, 0, n)
	long := false
	for i := range n {
		size, err := readLength(r, '$')
		if err != nil {
			return nil, unexpectedEOF(err)
		}
		most := maxArgumentBytes
		if i == n-1 {
			most = maxBodyBytes
		}
		if size < 0 || size > maxSkippedBytes {
			return nil, fmt.Errorf("argument of %d bytes", size)
		}
		if size > most {
			long = true
			if _, err := io.CopyN(io.Discard, r, int64(size)); err != nil {
				return nil, unexpectedEOF(err)
			}
		} else {
			arg := make([]byte, size)
			if _, err := io.ReadFull(r, arg); err != nil {
				return nil, unexpectedEOF(err)
			}
			args = append(args, arg)
		}
		var end [2]byte
		if _, err := io.ReadFull(r, end[:]); err != nil {
			return nil, unexpectedEOF(err)
		}
		if end != [2]byte{'\r', '\n'} {
			return nil, errors.New("argument without its end")
		}
	}
	if long {
		return nil, errArgumentTooLong
	}
	return args, nil
}

// unexpectedEOF: an end inside a command is not a clean one.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func readLength(r *bufio.Reader, kind byte) (int, error) {
	var line [maxLengthLineBytes]byte
	for n := range line {
		b, err := r.ReadByte()
		if err != nil {
			if n > 0 {
				err = unexpectedEOF(err)
			}
			return 0, err
		}
		if line[n] = b; b != '\n' {
			continue
		}
		if n < 2 || line[n-1] != '\r' || line[0] != kind {
			return 0, fmt.Errorf("expected %q and a number", kind)
		}
		v, err := strconv.Atoi(string(line[1 : n-1]))
		if err != nil {
			return 0, fmt.Errorf("expected %q and a number", kind)
		}
		return v, nil
	}
	return 0, fmt.Errorf("expected %q and a number", kind)
}

// putRequest is a message that a client hands in; answer is called once.
type putRequest struct {
	record     *wal.Record
	class      int
	tenant     int
	receivedAt time.Time     // when its last byte came
	timeLeft   time.Duration // from then on
	isPending  bool          // it is in the log already
	responses  chan string
}

func (q *putRequest) respond(s string) { q.responses <- s }

const responseOK = "+OK\r\n"

func busyResponse(ms int64) string {
	if ms <= 0 {
		return "-BUSY\r\n"
	}
	return "-BUSY " + strconv.FormatInt(ms, 10) + "\r\n"
}

func errorResponse(err error) string {
	text := strings.Map(func(r rune) rune {
		if r < ' ' || r > '~' {
			return '?'
		}
		return r
	}, err.Error())
	return "-ERR " + text + "\r\n"
}

// parsePutRequest reads a handed-in message; what is wrong is named, and nothing is
// taken.
func (c *Config) parsePutRequest(args [][]byte, now time.Time) (*putRequest, error) {
	if len(args) != 5 {
		return nil, fmt.Errorf("MSG.PUT takes 4 arguments, %d came", len(args)-1)
	}
	id := string(args[2])
	if !isToken(id) {
		return nil, errors.New("id: empty, too long or not plain")
	}
	q := &putRequest{record: &wal.Record{Kind: wal.KindAccepted, ID: id, Body: args[4]}, responses: make(chan string, 1)}
	have := map[string]string{}
	for part := range strings.SplitSeq(string(args[3]), ",") {
		name, value, ok := strings.Cut(part, "=")
		if !ok {
			return nil, fmt.Errorf("field %q without a value", part)
		}
		have[name] = value
	}
	var ok bool
	if q.class, ok = c.classes[have["c"]]; !ok {
		return nil, fmt.Errorf("c: unknown class %q", have["c"])
	}
	q.record.Class = have["c"]
	if q.tenant, ok = c.tenants[have["t"]]; !ok {
		if len(c.tenants) > 0 {
			return nil, fmt.Errorf("t: unknown tenant %q", have["t"])
		}
		q.tenant = -1
	}
	q.record.Tenant = have["t"]
	ms, err := strconv.ParseFloat(have["d"], 64)
	if err != nil || !(ms >= 0 && ms <= 1e9) {
		return nil, fmt.Errorf("d: %q is no time in milliseconds", have["d"])
	}
	q.receivedAt, q.timeLeft = now, time.Duration(ms*float64(time.Millisecond))
	if q.record.Dest, err = strconv.Atoi(have["dest"]); err != nil || q.record.Dest < 0 || q.record.Dest > 1<<16 {
		return nil, fmt.Errorf("dest: %q is no destination", have["dest"])
	}
	if q.record.Key = have["k"]; q.record.Key != "" && !isToken(q.record.Key) {
		return nil, errors.New("k: too long or not plain")
	}
	if q.record.Key == "" && c.isKeyed(q.class) {
		return nil, errors.New("k: missing in a keyed class")
	}
	return q, nil
}

// isToken reports whether s can stand in a header as it is.
func isToken(s string) bool {
	if s == "" || len(s) > 256 {
		return false
	}
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// clientServer serves those who hand messages in.
type clientServer struct {
	cfg         *Config
	log         *slog.Logger
	submit      func(*putRequest)            // hands it to the loop, which answers
	onResponded func(q *putRequest, ok bool) // the answer was written, or its client is gone
	maxConns    int
	// One that begins a command and does not end it must not hold its place
	// for ever: it is not idle, and so never makes room for others.
	// One that says nothing, or nothing but PING, would hold a descriptor just so:
	// until it hands in a message the time counts from connecting or its last PING.
	commandTimeout time.Duration
	// A client that has waited for so long has given up and hands its message in
	// elsewhere: the message is not taken on here.
	clientTimeout time.Duration
	accept4       func(fd, flags int) (int, syscall.Sockaddr, error) // the system call; tests have it fail

	mu         sync.Mutex
	conns      map[*clientConn]bool
	openConns  int // connections that hold a descriptor, those on their way out among them
	isClosing  bool
	isDraining bool // PING says no
	wg         sync.WaitGroup
	slotFreed  chan struct{} // holds something where a descriptor was given back since it was last looked at
}

type clientConn struct {
	net.Conn
	pendingRequests    int       // requests begun and not answered
	hasReceivedRequest bool      // a request has begun on it
	commandDeadline    time.Time // for its next proper command; zero where it may take its time
	idleSince          time.Time
	isReleased         bool // released: it ends with the answer to what had begun by then
	isEnding           bool // nothing more that comes on it is taken on
	isPeerGone         bool // its client has left, or ended its sending; its answer may still be wanted
}

// release ends the wait for a next request. A connection is closed only so:
// where a request's first byte has been read by then, it is answered first.
func (cc *clientConn) release() {
	cc.isReleased = true
	cc.limitReadUntil(time.Unix(1, 0))
}

// limitReadUntil bounds the reader's waits, unless it has been told to end.
func (cc *clientConn) limitReadUntil(t time.Time) {
	if !cc.isEnding {
		cc.SetReadDeadline(t)
	}
}

func newClientServer(cfg *Config, log *slog.Logger, submit func(*putRequest), onResponded func(*putRequest, bool)) *clientServer {
	maxConns, _ := cfg.socketBudget()
	return &clientServer{cfg: cfg, log: log, submit: submit, onResponded: onResponded, maxConns: maxConns, commandTimeout: commandTimeout, clientTimeout: clientTimeout, accept4: syscall.Accept4, conns: map[*clientConn]bool{},
		slotFreed: make(chan struct{}, 1)}
}

// reusePort lets the next process listen at the same address beside this one.
const reusePort = 0xf // SO_REUSEPORT, which package syscall does not name on every port

func listenReusePort(ctx context.Context, addr string) (*net.TCPListener, error) {
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		if cerr := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, reusePort, 1)
		}); cerr != nil {
			return cerr
		}
		return err
	}}
	ln, err := lc.Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return ln.(*net.TCPListener), nil
}

// serve accepts until the listener is closed, or is to be: see stopListening.
func (c *clientServer) serve(ln net.Listener) error {
	for {
		conn, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			if errors.Is(err, os.ErrDeadlineExceeded) {
				c.acceptQueued(ln.(*net.TCPListener))
				return ln.Close()
			}
			// Out of descriptors, or the client has left already: neither ends the relay.
			c.log.Warn("clients: accept", "err", err)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		c.startConnection(conn)
	}
}

// stopListening has serve close the listener, once it has taken in what waits
// there: the kernel turns back what is never accepted.
func (c *clientServer) stopListening(ln *net.TCPListener) { ln.SetDeadline(time.Unix(1, 0)) }

// Bounds of the sweep, whose listener closes behind it.
const (
	shortageRetryDelay = 5 * time.Millisecond   // while the machine is out of something
	maxShortageWait    = 500 * time.Millisecond // that such pauses may add up to
	maxAcceptErrors    = 10000                  // errors of single connections: more than wait at any listener
)

// acceptQueued accepts what waits, with no wait for more.
func (c *clientServer) acceptQueued(ln *net.TCPListener) {
	raw, err := ln.SyscallConn()
	if err != nil {
		c.log.Error("clients: sweep", "err", err)
		return
	}
	raw.Control(func(fd uintptr) {
		for paused, fails := time.Duration(0), 0; ; {
			err := c.acceptNext(int(fd))
			switch {
			case err == nil:
			case isAcceptError(err) && fails < maxAcceptErrors:
				fails++
			case errors.Is(err, syscall.EAGAIN): // nothing waits any more
				return
			case isShortage(err) && paused < maxShortageWait:
				paused += shortageRetryDelay
				time.Sleep(shortageRetryDelay)
			default:
				c.log.Error("clients: sweep", "err", err)
				return
			}
		}
	})
}

// acceptNext takes in one connection that waits.
func (c *clientServer) acceptNext(fd int) error {
	got, _, err := c.accept4(fd, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	if err != nil {
		return err
	}
	f := os.NewFile(uintptr(got), "client")
	defer f.Close()
	conn, err := net.FileConn(f)
	for tries := 0; err != nil && isShortage(err) && tries < int(maxShortageWait/shortageRetryDelay); tries++ { // it takes a second descriptor for a moment
		time.Sleep(shortageRetryDelay)
		conn, err = net.FileConn(f)
	}
	if err != nil {
		c.log.Warn("clients: sweep", "err", err)
		return nil
	}
	c.startConnection(conn)
	return nil
}

// startConnection begins to talk on a new connection. One that there is no room for is
// shut unread.
func (c *clientServer) startConnection(conn net.Conn) {
	if !c.reserveSlot() {
		conn.Close()
		return
	}
	cc := &clientConn{Conn: conn, idleSince: time.Now(), commandDeadline: time.Now().Add(c.commandTimeout)}
	c.mu.Lock()
	if c.isClosing { // as for those that were just opened when the closing began
		cc.isReleased, cc.commandDeadline = true, time.Now().Add(clientTimeout)
	}
	cc.limitReadUntil(cc.commandDeadline)
	c.conns[cc] = true
	c.wg.Add(1)
	c.mu.Unlock()
	go func() {
		defer c.wg.Done()
		c.serveConnection(cc)
		c.closeGracefully(cc)
		cc.Close()
		c.mu.Lock()
		delete(c.conns, cc)
		c.openConns--
		c.mu.Unlock()
		select {
		case c.slotFreed <- struct{}{}:
		default:
		}
	}()
}

// reserveSlot counts a new connection in, once there is a descriptor for it: where
// all places are taken another makes room, and that takes it a moment. What comes
// faster than others leave would else take the descriptors of calls, log and
// discovery. It reports false where nobody makes room in time.
func (c *clientServer) reserveSlot() bool {
	limit := time.NewTimer(maxSlotWait)
	defer limit.Stop()
	for {
		free, later := c.reserveSlotNow()
		if free || later == 0 {
			return free
		}
		select {
		case <-c.slotFreed:
		case <-time.After(later):
		case <-limit.C:
			return false
		}
	}
}

// reserveSlotNow is one try; later is when another may fare better, 0 for never.
func (c *clientServer) reserveSlotNow() (free bool, later time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.maxConns - c.maxConns/closingSlotsDivisor
	if len(c.conns) >= kept {
		if later = c.evictConnection(); later == 0 && len(c.conns) >= kept && c.openConns <= len(c.conns) {
			return false, 0
		}
	}
	if len(c.conns) < kept && c.openConns < c.maxConns+spareSlots {
		c.openConns++
		return true, 0
	}
	return false, cmp.Or(later, maxSlotWait)
}

// closeGracefully ends a connection so that the peer gets all that was written to it: a
// close over bytes that were not read resets the connection, and an answer that
// is still under way may go with it. So the peer hears of the end first. What it
// sends until it has is read and dropped, for as long as a client would wait for
// an answer and up to the length of one command. One that had to make room for
// another holds its descriptor no longer than that takes.
func (c *clientServer) closeGracefully(cc *clientConn) {
	t, ok := cc.Conn.(interface{ CloseWrite() error })
	if !ok || t.CloseWrite() != nil {
		return
	}
	c.mu.Lock()
	counted := c.conns[cc]
	if counted {
		cc.SetReadDeadline(time.Now().Add(clientTimeout))
	}
	c.mu.Unlock()
	if counted {
		io.CopyN(io.Discard, cc, maxSkippedBytes)
	}
	discardUnread(cc.Conn)
}

// evictConnection closes a connection to make room for a new one: one that has ended and
// only waits for its peer, else the one that has been idle for longest, since
// clients open another when they need it, else the one whose peer has begun a
// command and has handed in nothing before. One that has just come is given time
// for its request; evict then returns how much of it is left. The caller holds mu.
func (c *clientServer) evictConnection() time.Duration {
	var out *clientConn
	left := time.Duration(0)
	for cc := range c.conns {
		stay := evictionGrace - time.Since(cc.idleSince)
		switch rank := cc.evictionRank(); {
		case rank == evictNever:
		case stay > 0 && rank != evictEnding:
			if left == 0 || stay < left {
				left = stay
			}
		case out == nil || rank < out.evictionRank() || rank == out.evictionRank() && cc.idleSince.Before(out.idleSince):
			out = cc
		}
	}
	if out == nil {
		return left
	}
	delete(c.conns, out)
	if out.isEnding {
		out.SetReadDeadline(time.Unix(1, 0))
	} else {
		out.release()
	}
	return 0
}

// Ranks of connections, by how much they are worth keeping.
const (
	evictEnding = iota
	evictIdle
	evictPartialCommand
	evictNever
)

func (cc *clientConn) evictionRank() int {
	switch {
	case cc.isEnding:
		return evictEnding
	case cc.pendingRequests == 0:
		return evictIdle
	case !cc.commandDeadline.IsZero():
		return evictPartialCommand
	}
	return evictNever
}

// drainConnections closes the connections that carry no request, and each of the
// others after its answer.
func (c *clientServer) drainConnections() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isClosing = true
	for cc := range c.conns {
		switch {
		case cc.pendingRequests > 0:
		case cc.hasReceivedRequest:
			cc.release()
		default: // just opened: its first request is under way
			cc.isReleased = true
			cc.limitReadUntil(time.Now().Add(clientTimeout))
		}
	}
}

// divideCapacity has this process make do with one part in so many of the connections.
func (c *clientServer) divideCapacity(processes int) {
	maxConns, _ := c.cfg.socketBudget()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxConns = maxConns / processes
}

func (c *clientServer) connectionCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

// setDraining has PING say no, or yes again. After a yes connections are kept as
// before; those that were released by then still end.
func (c *clientServer) setDraining(isDraining bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isDraining = isDraining
	if !isDraining {
		c.isClosing = false
	}
}

func (c *clientServer) reportsDraining() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isDraining
}

// recordReadError books why the reader ends. That its wait is over says nothing of the client.
func (c *clientServer) recordReadError(cc *clientConn, err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	cc.isPeerGone = true
}

func (c *clientServer) isPeerGone(cc *clientConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return cc.isPeerGone
}

// beginRequest marks a request whose first byte has come.
func (c *clientServer) beginRequest(cc *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cc.pendingRequests++
	cc.hasReceivedRequest = true
	by := time.Now().Add(c.commandTimeout)
	if !cc.commandDeadline.IsZero() && cc.commandDeadline.Before(by) {
		by = cc.commandDeadline
	}
	cc.limitReadUntil(by)
}

// hasUnreadBytes reports whether something has come that was not read: the end of a
// wait and the first byte of a request may fall together.
func hasUnreadBytes(conn net.Conn) bool {
	var b [1]byte
	return receiveNow(conn, b[:], syscall.MSG_PEEK) > 0
}

// discardUnread drops what has come and was not read, with no wait for more.
func discardUnread(conn net.Conn) {
	b := make([]byte, maxArgumentBytes)
	for n := 0; n < maxSkippedBytes; {
		got := receiveNow(conn, b, 0)
		if got <= 0 {
			return
		}
		n += got
	}
}

// receiveNow receives into b without waiting; it returns 0 or less where there is
// nothing.
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

// extendForUnread gives a connection whose wait is over a little time, so that what has
// come is read.
func (c *clientServer) extendForUnread(cc *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	late := time.Now().Add(clientTimeout)
	if !c.conns[cc] { // it has made room and holds a descriptor all the same
		late = time.Now().Add(evictedReadTimeout)
	}
	if !cc.commandDeadline.IsZero() {
		cc.commandDeadline = late
	}
	cc.limitReadUntil(late)
}

// finishCommandRead marks a command read to its end, sound or not.
func (c *clientServer) finishCommandRead(cc *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cc.limitReadUntil(cc.commandDeadline)
}

// recordValidCommand marks a connection that has carried a proper command. One that hands
// messages in is a client's and may stand idle; a PING buys a little time.
func (c *clientServer) recordValidCommand(cc *clientConn, isPut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case isPut:
		cc.commandDeadline = time.Time{}
	case !cc.commandDeadline.IsZero():
		cc.commandDeadline = time.Now().Add(c.commandTimeout)
	}
	if cc.pendingRequests == 1 && !c.isClosing { // else the next command is under way, under its own limit
		cc.limitReadUntil(cc.commandDeadline)
	}
}

// finishRequest marks a request answered. Where that was the last on its connection, the
// reader ends once nothing more has come: what was sent ahead is answered too.
func (c *clientServer) finishRequest(cc *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cc.pendingRequests--
	cc.idleSince = time.Now()
	if (c.isClosing || cc.isReleased) && cc.pendingRequests == 0 {
		cc.release()
	}
}

type command struct {
	args       [][]byte
	err        error
	receivedAt time.Time
}

// serveConnection answers one client's commands in turn. A goroutine of its own reads, so
// that a client that leaves before its answer is noticed.
func (c *clientServer) serveConnection(cc *clientConn) {
	commands := make(chan command)
	quit := make(chan struct{})
	defer func() { // what the reader has or gets from here on is taken on no more
		close(quit)
		c.mu.Lock()
		cc.isEnding = true
		cc.SetReadDeadline(time.Unix(1, 0))
		c.mu.Unlock()
		for range commands {
		}
	}()
	go func() {
		defer close(commands)
		in := bufio.NewReader(cc)
		for {
			if _, err := in.Peek(1); err != nil {
				if errors.Is(err, os.ErrDeadlineExceeded) && hasUnreadBytes(cc.Conn) {
					c.extendForUnread(cc)
					continue
				}
				c.recordReadError(cc, err)
				return
			}
			c.beginRequest(cc)
			args, err := readCommand(in)
			c.finishCommandRead(cc)
			if err != nil && (errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, new(net.Error))) {
				c.recordReadError(cc, err)
				return // nobody is there to be told
			}
			select {
			case commands <- command{args, err, time.Now()}:
			case <-quit:
				return
			}
			if err != nil && err != errArgumentTooLong {
				return
			}
		}
	}()
	for cmd := range commands {
		for more := &cmd; more != nil; {
			cmd := *more
			if cmd.err != nil && cmd.err != errArgumentTooLong {
				c.writeResponse(cc, errorResponse(cmd.err))
				return
			}
			ok := false
			if ok, more = c.execute(cc, cmd, commands); !ok {
				return
			}
			c.finishRequest(cc)
		}
	}
}

// execute answers one command. It hands back what the client sent ahead of the
// answer, and false where the connection is of no more use.
func (c *clientServer) execute(cc *clientConn, cmd command, commands chan command) (bool, *command) {
	if cmd.err != nil {
		return c.writeResponse(cc, errorResponse(cmd.err)), nil
	}
	switch name := string(bytes.ToUpper(cmd.args[0])); name {
	case "PING":
		c.recordValidCommand(cc, false)
		if c.reportsDraining() {
			return c.writeResponse(cc, errorResponse(errDraining)), nil
		}
		if len(cmd.args) > 1 {
			p := cmd.args[1]
			return c.writeResponse(cc, "$"+strconv.Itoa(len(p))+"\r\n"+string(p)+"\r\n"), nil
		}
		return c.writeResponse(cc, "+PONG\r\n"), nil
	case "MSG.PUT":
		return c.executePut(cc, cmd, commands)
	default:
		return c.writeResponse(cc, errorResponse(fmt.Errorf("unknown command %.32q", name))), nil
	}
}

// executePut hands a message to the loop and writes its answer.
func (c *clientServer) executePut(cc *clientConn, cmd command, commands chan command) (bool, *command) {
	q, err := c.cfg.parsePutRequest(cmd.args, cmd.receivedAt)
	if err != nil {
		return c.writeResponse(cc, errorResponse(err)), nil
	}
	c.recordValidCommand(cc, true)
	c.submit(q)
	var ahead *command
	var reply string
	select {
	case reply = <-q.responses:
	case next, open := <-commands:
		switch {
		case open:
			ahead = &next
		case c.isPeerGone(cc): // before its answer: where it only ended its sending, it hears that this is harmless
			c.onResponded(q, false)
			return c.writeResponse(cc, busyResponse(0)), nil
		}
		reply = <-q.responses
	}
	if reply == responseOK && time.Since(cmd.receivedAt) >= c.clientTimeout {
		c.onResponded(q, false)
		return c.writeResponse(cc, busyResponse(0)), ahead // harmless, should it still be there
	}
	ok := c.writeResponse(cc, reply)
	c.onResponded(q, ok)
	return ok, ahead
}

func (c *clientServer) writeResponse(cc *clientConn, s string) bool {
	cc.SetWriteDeadline(time.Now().Add(clientWriteTimeout))
	_, err := io.WriteString(cc, s)
	return err == nil
}
