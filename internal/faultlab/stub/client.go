package stub

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

const (
	idleTimeout  = 30 * time.Second // longest time between two requests of a connection
	firstTimeout = 2 * time.Second  // longest time from a connection's start to its first request
	maxArguments = 16
	maxArgument  = 64 << 10 // bytes
)

// Commands and answers of the client protocol.
const (
	commandPing  = "PING"
	commandPut   = "MSG.PUT"
	putArguments = 5

	answerPong     = "+PONG\r\n"
	answerAccepted = "+OK\r\n"
	answerRejected = "-BUSY 100\r\n"
	answerUnknown  = "-ERR unknown command\r\n"
)

// malformedRequestError is a protocol error that the client is told before the stub closes
// the connection.
type malformedRequestError string

// Error returns the text that the client receives after "-ERR ".
func (e malformedRequestError) Error() string { return string(e) }

// serveClient answers the requests of one connection until that fails, and closes it.
func (r *relay) serveClient(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	in := bufio.NewReader(conn)
	for first := true; ; first = false {
		timeout := idleTimeout
		if first && r.defect != IgnorePeers {
			timeout = firstTimeout
		}
		conn.SetReadDeadline(time.Now().Add(timeout))
		args, err := readCommand(in)
		if err != nil && r.defect == IgnorePeers {
			io.Copy(io.Discard, in)
			return
		}
		var malformed malformedRequestError
		if errors.As(err, &malformed) {
			fmt.Fprintf(conn, "-ERR %v\r\n", malformed)
		}
		if err != nil {
			return
		}
		if _, err := io.WriteString(conn, r.answer(args)); err != nil {
			return
		}
	}
}

// readCommand reads one request, an array of bulk strings.
func readCommand(in *bufio.Reader) ([]string, error) {
	count, err := readLength(in, '*', maxArguments)
	if err != nil {
		return nil, err
	}
	args := make([]string, count)
	for i := range args {
		size, err := readLength(in, '$', maxArgument)
		if err != nil {
			return nil, err
		}
		text := make([]byte, size+len("\r\n"))
		if _, err := io.ReadFull(in, text); err != nil {
			return nil, err
		}
		args[i] = string(text[:size])
	}
	return args, nil
}

// readLength reads a line that consists of the given marker and a number from 0 to limit.
func readLength(in *bufio.Reader, marker byte, limit int) (int, error) {
	first, err := in.ReadByte()
	if err != nil {
		return 0, err
	}
	if first != marker {
		return 0, malformedRequestError("no proper request")
	}
	line, err := in.ReadString('\n')
	if err != nil {
		return 0, err
	}
	length, err := strconv.Atoi(strings.TrimSpace(line))
	if err != nil || length < 0 || length > limit {
		return 0, malformedRequestError("bad length")
	}
	return length, nil
}

// answer carries out one request and returns what the client receives.
func (r *relay) answer(args []string) string {
	if len(args) == 1 && args[0] == commandPing {
		return answerPong
	}
	if len(args) != putArguments || args[0] != commandPut {
		return answerUnknown
	}
	m := parseMessage(r.messages.Add(1), args)
	r.leakResource(m.number)
	if r.affects(Drop, m) {
		return answerAccepted
	}
	start(&r.deliveries, func() { r.deliver(m) })
	switch {
	case r.affects(BusySent, m):
		return answerRejected
	case r.affects(AnswerTwice, m):
		return answerAccepted + answerAccepted
	}
	return answerAccepted
}

// message is a message that a client has submitted.
type message struct {
	number      int64 // position in the order of arrival, from 1
	id          string
	class       string
	destination int
	deadline    time.Time
	body        []byte
}

// parseMessage reads the arguments of MSG.PUT, which after the command's name are the
// account, the message's ID, its options and its body.
func parseMessage(number int64, args []string) *message {
	m := &message{number: number, id: args[2], body: []byte(args[4])}
	for _, option := range strings.Split(args[3], ",") {
		key, value, _ := strings.Cut(option, "=")
		switch key {
		case "c":
			m.class = value
		case "d":
			millis, _ := strconv.Atoi(value) // errors are ignored, because the lab's clients always send numbers
			m.deadline = time.Now().Add(time.Duration(millis) * time.Millisecond)
		case "dest":
			m.destination, _ = strconv.Atoi(value)
		}
	}
	return m
}
