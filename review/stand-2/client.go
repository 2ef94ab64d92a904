package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

// clientTimeout is how long a client waits for an answer, as PROTOCOL says.
const clientTimeout = 400 * time.Millisecond

// client is one connection of a client. It is used by one goroutine at a time.
type client struct {
	conn net.Conn
	in   *bufio.Reader
}

func dial(addr string) (*client, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn, bufio.NewReader(conn)}, nil
}

func command(words ...string) []byte {
	text := fmt.Sprintf("*%d\r\n", len(words))
	for _, word := range words {
		text += fmt.Sprintf("$%d\r\n%s\r\n", len(word), word)
	}
	return []byte(text)
}

// putCommand is MSG.PUT with a key of zeros.
func putCommand(id, class string, deadline time.Duration, dest int, body string) []byte {
	fields := fmt.Sprintf("c=%s,d=%d,dest=%d", class, deadline.Milliseconds(), dest)
	return command("MSG.PUT", "0000000000000000", id, fields, body)
}

// answer reads one answer, without its line end.
func (c *client) answer(limit time.Duration) (string, error) {
	c.conn.SetReadDeadline(time.Now().Add(limit))
	line, err := c.in.ReadString('\n')
	return strings.TrimRight(line, "\r\n"), err
}

// ask sends a command and reads its answer.
func (c *client) ask(command []byte) (string, error) {
	c.conn.SetWriteDeadline(time.Now().Add(clientTimeout))
	if _, err := c.conn.Write(command); err != nil {
		return "", err
	}
	return c.answer(clientTimeout)
}

// ping asks PING on a new connection, as a front does.
func ping(addr string) (string, error) {
	c, err := dial(addr)
	if err != nil {
		return "", err
	}
	defer c.conn.Close()
	return c.ask(command("PING"))
}
