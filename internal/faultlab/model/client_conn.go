package model

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"plovershore/internal/faultlab/history"
)

const (
	commandPut = "MSG.PUT"
	account    = "0000000000000000"

	answerOK   = "+"     // begins a status line: the message is accepted
	answerBulk = "$"     // begins a bulk string: the message is accepted
	answerBusy = "-BUSY" // begins a rejection; the milliseconds to wait may follow
	answerErr  = "-"     // begins an error line

	extraPeekTimeout = 50 * time.Microsecond // long enough to see bytes that have arrived already
	extraReadTimeout = 10 * time.Millisecond // time in which the rest of an extra line must arrive after its first byte was seen
)

// isAccepted reports whether an answer accepts the message.
func isAccepted(line string) bool {
	return strings.HasPrefix(line, answerOK) || strings.HasPrefix(line, answerBulk)
}

// clientConn is a client's connection to a relay.
type clientConn struct {
	net.Conn
	in          *bufio.Reader
	lastMessage string // ID of the message that was answered last; empty if none was
}

// extraResponse returns what an idle connection received after its last answer; a
// correct relay sends nothing.
func (conn *clientConn) extraResponse() string {
	conn.SetReadDeadline(time.Now().Add(extraPeekTimeout))
	if _, err := conn.in.Peek(1); err != nil {
		return "" // nothing arrived, or the connection was closed, which the next request notices
	}
	conn.SetReadDeadline(time.Now().Add(extraReadTimeout))
	line, _ := conn.in.ReadString('\n') // the rest of the line may not arrive in time
	return line
}

// getConn returns an idle connection to a relay, or a new one if there is none or if
// fresh is set. It records and closes idle connections that received an extra
// response.
func (c *Clients) getConn(relay string, fresh bool) (*clientConn, error) {
	for !fresh {
		idle := c.takeIdle(relay)
		if idle == nil {
			break
		}
		line := idle.extraResponse()
		if line == "" {
			return idle, nil
		}
		c.world.Recorder.Record(history.Event{Kind: history.ExtraResponse, Relay: relay, Message: idle.lastMessage, Text: line})
		idle.Close()
	}
	c.mu.Lock()
	addr := c.addrs[relay]
	c.mu.Unlock()
	conn, err := net.DialTimeout("tcp4", addr, c.load.ResponseTimeout)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, in: bufio.NewReader(conn)}, nil
}

// takeIdle removes and returns the most recently used idle connection to a relay; nil
// if there is none.
func (c *Clients) takeIdle(relay string) *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := len(c.idle[relay]) - 1
	if last < 0 {
		return nil
	}
	conn := c.idle[relay][last]
	c.idle[relay] = c.idle[relay][:last]
	return conn
}

func (c *Clients) putIdle(relay string, conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[relay] = append(c.idle[relay], conn)
}

// exchange sends a request and returns the first line of its answer. If it fails on a
// reused connection, other than by a timeout, the relay had probably closed the idle
// connection, so the request is sent once more on a new one.
func (c *Clients) exchange(ctx context.Context, m *Message, resubmit bool, leaveAfter time.Duration) (string, error) {
	timeout := c.load.ResponseTimeout
	if leaveAfter > 0 {
		timeout = leaveAfter
	}
	for fresh := false; ; fresh = true {
		conn, err := c.getConn(m.Relay, fresh)
		if err != nil {
			return "", err
		}
		stop := context.AfterFunc(ctx, func() { conn.Close() })
		conn.SetDeadline(time.Now().Add(timeout))
		line, err := conn.exchange(putRequest(m, resubmit))
		stop()
		if err == nil {
			conn.lastMessage = m.ID
			c.putIdle(m.Relay, conn)
			return line, nil
		}
		conn.Close()
		reused := conn.lastMessage != ""
		if !reused || fresh || isTimeout(err) || ctx.Err() != nil {
			return "", err
		}
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// exchange writes a request and returns the first line of its answer, without the line
// break. It skips the rest of a bulk string.
func (conn *clientConn) exchange(request []byte) (string, error) {
	if _, err := conn.Write(request); err != nil {
		return "", err
	}
	line, err := conn.in.ReadString('\n')
	if err != nil {
		return "", err
	}
	if length, ok := strings.CutPrefix(line, answerBulk); ok {
		size, err := strconv.Atoi(strings.TrimSpace(length))
		if err != nil || size < 0 || size > maxBody {
			return "", fmt.Errorf("answer %q", line)
		}
		if _, err := conn.in.Discard(size + len("\r\n")); err != nil {
			return "", err
		}
	}
	return strings.TrimRight(line, "\r\n"), nil
}

// putRequest returns the MSG.PUT request for a message, in the format of the protocol
// page. A resubmitted message is marked with again=1, any other retry with r=1.
func putRequest(m *Message, resubmit bool) []byte {
	remaining := max(1, time.Until(m.Deadline).Milliseconds())
	options := fmt.Sprintf("c=%s,d=%d,dest=%d", Classes()[m.Class].Name, remaining, m.Destination)
	if resubmit {
		options += ",again=1"
	} else if m.Attempt > 0 {
		options += ",r=1"
	}
	return RequestBytes(commandPut, account, m.ID, options, string(m.Body))
}

// RequestBytes encodes a request of the client protocol: an array of bulk strings.
func RequestBytes(args ...string) []byte {
	request := fmt.Appendf(nil, "*%d\r\n", len(args))
	for _, arg := range args {
		request = fmt.Appendf(request, "$%d\r\n%s\r\n", len(arg), arg)
	}
	return request
}
