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
	bodyMost  = 64 << 10
	argMost   = 4 << 10 // any argument but the body
	argsMost  = 16
	skipMost  = 1 << 20 // a body this long is still read past, so that the connection can go on
	lineMost  = 32
	writeWait = 2 * time.Second
	wholeWait = 2500 * time.Millisecond // for a whole command: such peers are owed a close within 3 s
	lateWait  = 400 * time.Millisecond  // clients themselves wait no longer for an answer
	roomWait  = 100 * time.Millisecond  // for one that makes room for another
	shortStay = 20 * time.Millisecond   // before a connection makes room: its request may be under way
	shortWait = 50 * time.Millisecond   // for the rest of what had begun to come on one that makes room
	leaving   = 8                       // one part in so many of the places is for connections on their way out
	spare     = 4                       // and so many more
)

// errTooLong is a command that was read past: the connection is still in step.
var errTooLong = errors.New("argument too long")

var errDraining = errors.New("draining")

// readCommand reads one command. An error other than errTooLong means that
// the connection is of no more use.
func readCommand(r *bufio.Reader) ([][]byte, error) {
	n, err := readLength(r, '*')
	if err != nil {
		return nil, err
	}
	if n < 1 || n > argsMost {
		return nil, fmt.Errorf("command of %d arguments", n)
	}
	args := make([][]byte, 0, n)
	long := false
	for i := range n {
		size, err := readLength(r, '$')
		if err != nil {
			return nil, midway(err)
		}
		most := argMost
		if i == n-1 {
			most = bodyMost
		}
		if size < 0 || size > skipMost {
			return nil, fmt.Errorf("argument of %d bytes", size)
		}
		if size > most {
			long = true
			if _, err := io.CopyN(io.Discard, r, int64(size)); err != nil {
				return nil, midway(err)
			}
		} else {
			arg := make([]byte, size)
			if _, err := io.ReadFull(r, arg); err != nil {
				return nil, midway(err)
			}
			args = append(args, arg)
		}
		var end [2]byte
		if _, err := io.ReadFull(r, end[:]); err != nil {
			return nil, midway(err)
		}
		if end != [2]byte{'\r', '\n'} {
			return nil, errors.New("argument without its end")
		}
	}
	if long {
		return nil, errTooLong
	}
	return args, nil
}

// midway: an end inside a command is not a clean one.
func midway(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func readLength(r *bufio.Reader, kind byte) (int, error) {
	var line [lineMost]byte
	for n := range line {
		b, err := r.ReadByte()
		if err != nil {
			if n > 0 {
				err = midway(err)
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

// request is a message that a client hands in; answer is called once.
type request struct {
	rec    *wal.Record
	class  int
	tenant int
	at     time.Time     // when its last byte came
	left   time.Duration // from then on
	owed   bool          // it is in the log already
	reply  chan string
}

func (q *request) answer(s string) { q.reply <- s }

const replyOK = "+OK\r\n"

func busy(ms int64) string {
	if ms <= 0 {
		return "-BUSY\r\n"
	}
	return "-BUSY " + strconv.FormatInt(ms, 10) + "\r\n"
}

func fault(err error) string {
	text := strings.Map(func(r rune) rune {
		if r < ' ' || r > '~' {
			return '?'
		}
		return r
	}, err.Error())
	return "-ERR " + text + "\r\n"
}

// parsePut reads a handed-in message; what is wrong is named, and nothing is
// taken.
func (c *Config) parsePut(args [][]byte, now time.Time) (*request, error) {
	if len(args) != 5 {
		return nil, fmt.Errorf("MSG.PUT takes 4 arguments, %d came", len(args)-1)
	}
	id := string(args[2])
	if !token(id) {
		return nil, errors.New("id: empty, too long or not plain")
	}
	q := &request{rec: &wal.Record{Kind: wal.KindAccepted, ID: id, Body: args[4]}, reply: make(chan string, 1)}
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
	q.rec.Class = have["c"]
	if q.tenant, ok = c.tenants[have["t"]]; !ok {
		if len(c.tenants) > 0 {
			return nil, fmt.Errorf("t: unknown tenant %q", have["t"])
		}
		q.tenant = -1
	}
	q.rec.Tenant = have["t"]
	ms, err := strconv.ParseFloat(have["d"], 64)
	if err != nil || !(ms >= 0 && ms <= 1e9) {
		return nil, fmt.Errorf("d: %q is no time in milliseconds", have["d"])
	}
	q.at, q.left = now, time.Duration(ms*float64(time.Millisecond))
	if q.rec.Dest, err = strconv.Atoi(have["dest"]); err != nil || q.rec.Dest < 0 || q.rec.Dest > 1<<16 {
		return nil, fmt.Errorf("dest: %q is no destination", have["dest"])
	}
	if q.rec.Key = have["k"]; q.rec.Key != "" && !token(q.rec.Key) {
		return nil, errors.New("k: too long or not plain")
	}
	if q.rec.Key == "" && c.isKeyed(q.class) {
		return nil, errors.New("k: missing in a keyed class")
	}
	return q, nil
}

// token reports whether s can stand in a header as it is.
func token(s string) bool {
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

// clients serves those who hand messages in.
type clients struct {
	cfg  *Config
	log  *slog.Logger
	put  func(*request)            // hands it to the loop, which answers
	said func(q *request, ok bool) // the answer was written, or its client is gone
	most int
	// One that begins a command and does not end it must not hold its place
	// for ever: it is not idle, and so never makes room for others.
	// One that says nothing, or nothing but PING, would hold a descriptor just so:
	// until it hands in a message the time counts from connecting or its last PING.
	patience time.Duration
	// A client that has waited for so long has given up and hands its message in
	// elsewhere: the message is not taken on here.
	givenUp time.Duration
	accept4 func(fd, flags int) (int, syscall.Sockaddr, error) // the system call; tests have it fail

	mu      sync.Mutex
	conns   map[*clientConn]bool
	open    int // connections that hold a descriptor, those on their way out among them
	closing bool
	refused bool // PING says no
	wg      sync.WaitGroup
	freed   chan struct{} // holds something where a descriptor was given back since it was last looked at
}

type clientConn struct {
	net.Conn
	busy int       // requests begun and not answered
	used bool      // a request has begun on it
	by   time.Time // for its next proper command; zero where it may take its time
	idle time.Time
	left bool // released: it ends with the answer to what had begun by then
	over bool // nothing more that comes on it is taken on
	gone bool // its client has left, or ended its sending; its answer may still be wanted
}

// release ends the wait for a next request. A connection is closed only so:
// where a request's first byte has been read by then, it is answered first.
func (cc *clientConn) release() {
	cc.left = true
	cc.readUntil(time.Unix(1, 0))
}

// readUntil bounds the reader's waits, unless it has been told to end.
func (cc *clientConn) readUntil(t time.Time) {
	if !cc.over {
		cc.SetReadDeadline(t)
	}
}

func newClients(cfg *Config, log *slog.Logger, put func(*request), said func(*request, bool)) *clients {
	most, _ := cfg.socketBudget()
	return &clients{cfg: cfg, log: log, put: put, said: said, most: most, patience: wholeWait, givenUp: lateWait, accept4: syscall.Accept4, conns: map[*clientConn]bool{},
		freed: make(chan struct{}, 1)}
}

// reusePort lets the next process listen at the same address beside this one.
const reusePort = 0xf // SO_REUSEPORT, which package syscall does not name on every port

func listen(ctx context.Context, addr string) (*net.TCPListener, error) {
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
func (c *clients) serve(ln net.Listener) error {
	for {
		conn, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			if errors.Is(err, os.ErrDeadlineExceeded) {
				c.sweep(ln.(*net.TCPListener))
				return ln.Close()
			}
			// Out of descriptors, or the client has left already: neither ends the relay.
			c.log.Warn("clients: accept", "err", err)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		c.welcome(conn)
	}
}

// stopListening has serve close the listener, once it has taken in what waits
// there: the kernel turns back what is never accepted.
func (c *clients) stopListening(ln *net.TCPListener) { ln.SetDeadline(time.Unix(1, 0)) }

// Bounds of the sweep, whose listener closes behind it.
const (
	sweepPause = 5 * time.Millisecond   // while the machine is out of something
	sweepMost  = 500 * time.Millisecond // that such pauses may add up to
	sweepFails = 10000                  // errors of single connections: more than wait at any listener
)

// sweep accepts what waits, with no wait for more.
func (c *clients) sweep(ln *net.TCPListener) {
	raw, err := ln.SyscallConn()
	if err != nil {
		c.log.Error("clients: sweep", "err", err)
		return
	}
	raw.Control(func(fd uintptr) {
		for paused, fails := time.Duration(0), 0; ; {
			err := c.acceptOne(int(fd))
			switch {
			case err == nil:
			case isAcceptError(err) && fails < sweepFails:
				fails++
			case errors.Is(err, syscall.EAGAIN): // nothing waits any more
				return
			case isShortage(err) && paused < sweepMost:
				paused += sweepPause
				time.Sleep(sweepPause)
			default:
				c.log.Error("clients: sweep", "err", err)
				return
			}
		}
	})
}

// acceptOne takes in one connection that waits.
func (c *clients) acceptOne(fd int) error {
	got, _, err := c.accept4(fd, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	if err != nil {
		return err
	}
	f := os.NewFile(uintptr(got), "client")
	defer f.Close()
	conn, err := net.FileConn(f)
	for tries := 0; err != nil && isShortage(err) && tries < int(sweepMost/sweepPause); tries++ { // it takes a second descriptor for a moment
		time.Sleep(sweepPause)
		conn, err = net.FileConn(f)
	}
	if err != nil {
		c.log.Warn("clients: sweep", "err", err)
		return nil
	}
	c.welcome(conn)
	return nil
}

// welcome begins to talk on a new connection. One that there is no room for is
// shut unread.
func (c *clients) welcome(conn net.Conn) {
	if !c.reserve() {
		conn.Close()
		return
	}
	cc := &clientConn{Conn: conn, idle: time.Now(), by: time.Now().Add(c.patience)}
	c.mu.Lock()
	if c.closing { // as for those that were just opened when the closing began
		cc.left, cc.by = true, time.Now().Add(lateWait)
	}
	cc.readUntil(cc.by)
	c.conns[cc] = true
	c.wg.Add(1)
	c.mu.Unlock()
	go func() {
		defer c.wg.Done()
		c.talk(cc)
		c.part(cc)
		cc.Close()
		c.mu.Lock()
		delete(c.conns, cc)
		c.open--
		c.mu.Unlock()
		select {
		case c.freed <- struct{}{}:
		default:
		}
	}()
}

// reserve counts a new connection in, once there is a descriptor for it: where
// all places are taken another makes room, and that takes it a moment. What comes
// faster than others leave would else take the descriptors of calls, log and
// discovery. It reports false where nobody makes room in time.
func (c *clients) reserve() bool {
	limit := time.NewTimer(roomWait)
	defer limit.Stop()
	for {
		free, later := c.tryReserve()
		if free || later == 0 {
			return free
		}
		select {
		case <-c.freed:
		case <-time.After(later):
		case <-limit.C:
			return false
		}
	}
}

// tryReserve is one try; later is when another may fare better, 0 for never.
func (c *clients) tryReserve() (free bool, later time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.most - c.most/leaving
	if len(c.conns) >= kept {
		if later = c.evict(); later == 0 && len(c.conns) >= kept && c.open <= len(c.conns) {
			return false, 0
		}
	}
	if len(c.conns) < kept && c.open < c.most+spare {
		c.open++
		return true, 0
	}
	return false, cmp.Or(later, roomWait)
}

// part ends a connection so that the peer gets all that was written to it: a
// close over bytes that were not read resets the connection, and an answer that
// is still under way may go with it. So the peer hears of the end first. What it
// sends until it has is read and dropped, for as long as a client would wait for
// an answer and up to the length of one command. One that had to make room for
// another holds its descriptor no longer than that takes.
func (c *clients) part(cc *clientConn) {
	t, ok := cc.Conn.(interface{ CloseWrite() error })
	if !ok || t.CloseWrite() != nil {
		return
	}
	c.mu.Lock()
	counted := c.conns[cc]
	if counted {
		cc.SetReadDeadline(time.Now().Add(lateWait))
	}
	c.mu.Unlock()
	if counted {
		io.CopyN(io.Discard, cc, skipMost)
	}
	discard(cc.Conn)
}

// evict closes a connection to make room for a new one: one that has ended and
// only waits for its peer, else the one that has been idle for longest, since
// clients open another when they need it, else the one whose peer has begun a
// command and has handed in nothing before. One that has just come is given time
// for its request; evict then returns how much of it is left. The caller holds mu.
func (c *clients) evict() time.Duration {
	var out *clientConn
	left := time.Duration(0)
	for cc := range c.conns {
		stay := shortStay - time.Since(cc.idle)
		switch rank := cc.keepRank(); {
		case rank == keepAlways:
		case stay > 0 && rank != keepEnded:
			if left == 0 || stay < left {
				left = stay
			}
		case out == nil || rank < out.keepRank() || rank == out.keepRank() && cc.idle.Before(out.idle):
			out = cc
		}
	}
	if out == nil {
		return left
	}
	delete(c.conns, out)
	if out.over {
		out.SetReadDeadline(time.Unix(1, 0))
	} else {
		out.release()
	}
	return 0
}

// Ranks of connections, by how much they are worth keeping.
const (
	keepEnded = iota
	keepIdleOne
	keepHalf
	keepAlways
)

func (cc *clientConn) keepRank() int {
	switch {
	case cc.over:
		return keepEnded
	case cc.busy == 0:
		return keepIdleOne
	case !cc.by.IsZero():
		return keepHalf
	}
	return keepAlways
}

// closeIdle closes the connections that carry no request, and each of the
// others after its answer.
func (c *clients) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	for cc := range c.conns {
		switch {
		case cc.busy > 0:
		case cc.used:
			cc.release()
		default: // just opened: its first request is under way
			cc.left = true
			cc.readUntil(time.Now().Add(lateWait))
		}
	}
}

// share has this process make do with one part in so many of the connections.
func (c *clients) share(parts int) {
	most, _ := c.cfg.socketBudget()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.most = most / parts
}

func (c *clients) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

// refuse has PING say no, or yes again. After a yes connections are kept as
// before; those that were released by then still end.
func (c *clients) refuse(no bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused = no
	if !no {
		c.closing = false
	}
}

func (c *clients) refuses() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refused
}

// ended books why the reader ends. That its wait is over says nothing of the client.
func (c *clients) ended(cc *clientConn, err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	cc.gone = true
}

func (c *clients) isGone(cc *clientConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return cc.gone
}

// begin marks a request whose first byte has come.
func (c *clients) begin(cc *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cc.busy++
	cc.used = true
	by := time.Now().Add(c.patience)
	if !cc.by.IsZero() && cc.by.Before(by) {
		by = cc.by
	}
	cc.readUntil(by)
}

// unread reports whether something has come that was not read: the end of a
// wait and the first byte of a request may fall together.
func unread(conn net.Conn) bool {
	var b [1]byte
	return recvNow(conn, b[:], syscall.MSG_PEEK) > 0
}

// discard drops what has come and was not read, with no wait for more.
func discard(conn net.Conn) {
	b := make([]byte, argMost)
	for n := 0; n < skipMost; {
		got := recvNow(conn, b, 0)
		if got <= 0 {
			return
		}
		n += got
	}
}

// recvNow receives into b without waiting; it returns 0 or less where there is
// nothing.
func recvNow(conn net.Conn, b []byte, flags int) (n int) {
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

// hear gives a connection whose wait is over a little time, so that what has
// come is read.
func (c *clients) hear(cc *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	late := time.Now().Add(lateWait)
	if !c.conns[cc] { // it has made room and holds a descriptor all the same
		late = time.Now().Add(shortWait)
	}
	if !cc.by.IsZero() {
		cc.by = late
	}
	cc.readUntil(late)
}

// read marks a command read to its end, sound or not.
func (c *clients) read(cc *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cc.readUntil(cc.by)
}

// proper marks a connection that has carried a proper command. One that hands
// messages in is a client's and may stand idle; a PING buys a little time.
func (c *clients) proper(cc *clientConn, client bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case client:
		cc.by = time.Time{}
	case !cc.by.IsZero():
		cc.by = time.Now().Add(c.patience)
	}
	if cc.busy == 1 && !c.closing { // else the next command is under way, under its own limit
		cc.readUntil(cc.by)
	}
}

// finish marks a request answered. Where that was the last on its connection, the
// reader ends once nothing more has come: what was sent ahead is answered too.
func (c *clients) finish(cc *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cc.busy--
	cc.idle = time.Now()
	if (c.closing || cc.left) && cc.busy == 0 {
		cc.release()
	}
}

type command struct {
	args [][]byte
	err  error
	at   time.Time
}

// talk answers one client's commands in turn. A goroutine of its own reads, so
// that a client that leaves before its answer is noticed.
func (c *clients) talk(cc *clientConn) {
	commands := make(chan command)
	quit := make(chan struct{})
	defer func() { // what the reader has or gets from here on is taken on no more
		close(quit)
		c.mu.Lock()
		cc.over = true
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
				if errors.Is(err, os.ErrDeadlineExceeded) && unread(cc.Conn) {
					c.hear(cc)
					continue
				}
				c.ended(cc, err)
				return
			}
			c.begin(cc)
			args, err := readCommand(in)
			c.read(cc)
			if err != nil && (errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, new(net.Error))) {
				c.ended(cc, err)
				return // nobody is there to be told
			}
			select {
			case commands <- command{args, err, time.Now()}:
			case <-quit:
				return
			}
			if err != nil && err != errTooLong {
				return
			}
		}
	}()
	for cmd := range commands {
		for more := &cmd; more != nil; {
			cmd := *more
			if cmd.err != nil && cmd.err != errTooLong {
				c.write(cc, fault(cmd.err))
				return
			}
			ok := false
			if ok, more = c.one(cc, cmd, commands); !ok {
				return
			}
			c.finish(cc)
		}
	}
}

// one answers one command. It hands back what the client sent ahead of the
// answer, and false where the connection is of no more use.
func (c *clients) one(cc *clientConn, cmd command, commands chan command) (bool, *command) {
	if cmd.err != nil {
		return c.write(cc, fault(cmd.err)), nil
	}
	switch name := string(bytes.ToUpper(cmd.args[0])); name {
	case "PING":
		c.proper(cc, false)
		if c.refuses() {
			return c.write(cc, fault(errDraining)), nil
		}
		if len(cmd.args) > 1 {
			p := cmd.args[1]
			return c.write(cc, "$"+strconv.Itoa(len(p))+"\r\n"+string(p)+"\r\n"), nil
		}
		return c.write(cc, "+PONG\r\n"), nil
	case "MSG.PUT":
		return c.handIn(cc, cmd, commands)
	default:
		return c.write(cc, fault(fmt.Errorf("unknown command %.32q", name))), nil
	}
}

// handIn hands a message to the loop and writes its answer.
func (c *clients) handIn(cc *clientConn, cmd command, commands chan command) (bool, *command) {
	q, err := c.cfg.parsePut(cmd.args, cmd.at)
	if err != nil {
		return c.write(cc, fault(err)), nil
	}
	c.proper(cc, true)
	c.put(q)
	var ahead *command
	var reply string
	select {
	case reply = <-q.reply:
	case next, open := <-commands:
		switch {
		case open:
			ahead = &next
		case c.isGone(cc): // before its answer: where it only ended its sending, it hears that this is harmless
			c.said(q, false)
			return c.write(cc, busy(0)), nil
		}
		reply = <-q.reply
	}
	if reply == replyOK && time.Since(cmd.at) >= c.givenUp {
		c.said(q, false)
		return c.write(cc, busy(0)), ahead // harmless, should it still be there
	}
	ok := c.write(cc, reply)
	c.said(q, ok)
	return ok, ahead
}

func (c *clients) write(cc *clientConn, s string) bool {
	cc.SetWriteDeadline(time.Now().Add(writeWait))
	_, err := io.WriteString(cc, s)
	return err == nil
}
