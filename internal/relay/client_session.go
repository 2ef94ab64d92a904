package relay

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"time"
)

var (
	errPeerGone     = errors.New("client left before its response")
	errServerClosed = errors.New("server closed")
)

// command is one command as it was read from a connection, or the error of reading it.
type command struct {
	args       [][]byte
	err        error
	receivedAt time.Time
	memory     *commandReservation // released once the command is answered or dropped
}

// clientSession answers the commands of one connection in order. A separate goroutine,
// the reader, reads the commands, so that the session notices a client that leaves
// before its response. run waits until the reader has ended.
type clientSession struct {
	server    *clientServer
	conn      *clientConn
	commands  chan command  // closed by the reader when it ends
	done      chan struct{} // closed when no further command is executed
	pipelined *command      // command read before the previous response was ready; nil for none
}

// serveConnection answers a connection's commands until it must be closed.
func (c *clientServer) serveConnection(cc *clientConn) {
	s := &clientSession{server: c, conn: cc, commands: make(chan command), done: make(chan struct{})}
	s.run()
}

func (s *clientSession) run() {
	go s.readCommands()
	defer s.stopReader()
	for {
		cmd, ok := s.nextCommand()
		if !ok {
			return
		}
		isOpen := s.execute(cmd)
		cmd.memory.release()
		if !isOpen {
			return
		}
		s.server.finishRequest(s.conn)
	}
}

// stopReader ends the reader and drops what it has read.
func (s *clientSession) stopReader() {
	close(s.done)
	s.server.stopReading(s.conn)
	for cmd := range s.commands {
		cmd.memory.release()
	}
	if s.pipelined != nil {
		s.pipelined.memory.release()
	}
}

// readCommands reads commands until the connection ends, its deadline passes or the
// position of the next command is unknown.
func (s *clientSession) readCommands() {
	defer close(s.commands)
	reader := bufio.NewReader(s.conn)
	rate := s.server.commandRate.newConnection(time.Now())
	for s.awaitRequest(reader) {
		if !s.awaitRate(rate) {
			return
		}
		s.server.beginRequest(s.conn)
		cmd := s.readCommand(reader)
		s.server.finishCommandRead(s.conn)
		if errors.Is(cmd.err, io.ErrUnexpectedEOF) || errors.As(cmd.err, new(net.Error)) {
			cmd.memory.release()
			s.server.recordReadError(s.conn, cmd.err)
			return // the client left or ran out of time within the command: it gets no response
		}
		select {
		case s.commands <- cmd:
		case <-s.done:
			cmd.memory.release()
			return
		}
		if cmd.err != nil && !cmd.isDropped() {
			return
		}
	}
}

// readCommand reads a command of which the first byte has arrived.
func (s *clientSession) readCommand(reader *bufio.Reader) command {
	memory := s.server.commandMemory.begin(func() { s.conn.SetReadDeadline(pastDeadline) })
	args, err := readCommand(reader, memory, func() { s.server.resumeReading(s.conn) })
	memory.finishReading()
	return command{args, err, time.Now(), memory}
}

// isDropped reports whether the command was read to its end and not kept.
func (c *command) isDropped() bool {
	return errors.Is(c.err, errArgumentTooLong) || errors.Is(c.err, errNoCommandMemory)
}

// awaitRequest waits for the first byte of a request. It reports false if the
// connection ends, or its deadline passes without unread bytes.
func (s *clientSession) awaitRequest(reader *bufio.Reader) bool {
	for {
		_, err := reader.Peek(1)
		if err == nil {
			return true
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !hasUnreadBytes(s.conn.Conn) {
			s.server.recordReadError(s.conn, err)
			return false
		}
		if !s.server.extendForUnread(s.conn) {
			return false
		}
	}
}

// awaitRate waits until the rates of commands allow the next one. It reports false if no further
// command is executed.
func (s *clientSession) awaitRate(connection *rateLimit) bool {
	delay := s.server.commandRate.reserve(connection, time.Now())
	if delay == 0 {
		return true
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.done:
		return false
	}
}

// nextCommand waits for a command. It reports false once the reader has ended.
func (s *clientSession) nextCommand() (command, bool) {
	if cmd := s.pipelined; cmd != nil {
		s.pipelined = nil
		return *cmd, true
	}
	cmd, ok := <-s.commands
	return cmd, ok
}

// execute answers one command. It reports false if the connection must be closed.
func (s *clientSession) execute(cmd command) bool {
	switch {
	case errors.Is(cmd.err, errNoCommandMemory):
		s.server.onCommandDropped()
		return s.write(busyResponse(0))
	case errors.Is(cmd.err, errArgumentTooLong):
		return s.write(errorResponse(cmd.err))
	case cmd.err != nil: // the position of the next command in the stream is unknown
		s.write(errorResponse(cmd.err))
		return false
	}
	switch name := string(bytes.ToUpper(cmd.args[0])); name {
	case "PING":
		return s.executePing(cmd)
	case "MSG.PUT":
		return s.executePut(cmd)
	default:
		return s.write(errorResponse(fmt.Errorf("unknown command %.32q", name)))
	}
}

// executePing answers PING, the health check of the front end that clients connect to.
func (s *clientSession) executePing(cmd command) bool {
	s.server.recordValidCommand(s.conn, false)
	switch {
	case s.server.pingFails():
		return s.write(errorResponse(errDraining))
	case len(cmd.args) > 1:
		return s.writeBulkString(cmd.args[1])
	}
	return s.write(responsePong)
}

// executePut submits a message to the loop and writes its response. The message of a client
// that has left, or has only closed its sending side, is not accepted: the client may submit
// it elsewhere. The reader notices such a client only once it has read all that was sent before.
func (s *clientSession) executePut(cmd command) bool {
	q, err := s.server.cfg.parsePutRequest(cmd.args, cmd.receivedAt)
	if err != nil {
		return s.write(errorResponse(err))
	}
	s.server.recordValidCommand(s.conn, true)
	if s.server.isPeerGone(s.conn) {
		return s.write(busyResponse(0))
	}
	s.server.submit(q)
	resp, err := s.awaitResponse(q)
	if errors.Is(err, errServerClosed) {
		return false // whether the message is accepted is unknown, so the client gets no response
	}
	if err == nil && resp == responseOK && hasPeerClosed(s.conn.Conn) {
		s.server.recordPeerGone(s.conn)
		err = errPeerGone
	}
	isTooLate := resp == responseOK && time.Since(cmd.receivedAt) >= s.server.clientTimeout
	if errors.Is(err, errPeerGone) || isTooLate {
		// The message is withdrawn before BUSY is written, so that a client that
		// still reads can safely submit it again.
		s.server.onResponded(q, false)
		return s.write(busyResponse(0))
	}
	isWritten := s.write(resp)
	s.server.onResponded(q, isWritten)
	return isWritten
}

// awaitResponse waits for the response of the loop. A command that is read meanwhile
// is executed next. It returns errPeerGone if the client leaves before the response,
// and errServerClosed if the server is closed before it.
func (s *clientSession) awaitResponse(q *putRequest) (response, error) {
	select {
	case resp := <-q.responses:
		return resp, nil
	case <-s.server.closed:
		return "", errServerClosed
	case cmd, isOpen := <-s.commands:
		if isOpen {
			s.pipelined = &cmd
		} else if s.server.isPeerGone(s.conn) {
			return "", errPeerGone
		}
	}
	select {
	case resp := <-q.responses:
		return resp, nil
	case <-s.server.closed:
		return "", errServerClosed
	}
}

// write sends a response and reports whether that succeeded.
func (s *clientSession) write(r response) bool {
	s.conn.SetWriteDeadline(time.Now().Add(clientWriteTimeout))
	_, err := io.WriteString(s.conn, string(r))
	return err == nil
}

// writeBulkString sends a text as a bulk string, without a copy of it: a client that does
// not read would make the relay keep the copy. It reports whether that succeeded.
func (s *clientSession) writeBulkString(text []byte) bool {
	s.conn.SetWriteDeadline(time.Now().Add(clientWriteTimeout))
	for _, part := range [][]byte{bulkStringHeader(len(text)), text, []byte("\r\n")} {
		if _, err := s.conn.Write(part); err != nil {
			return false
		}
	}
	return true
}
