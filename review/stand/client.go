package stand

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"
)

// answerTimeout is how long clients wait for an answer.
const answerTimeout = 400 * time.Millisecond

// Client hands in messages on one connection, one after another.
type Client struct {
	address string
	record  *Record
	conn    net.Conn
	reader  *bufio.Reader
}

// NewClient returns a client of the relay at an address.
func NewClient(address string, record *Record) *Client {
	return &Client{address: address, record: record}
}

// Put hands in a message and returns the answer's first line, or an error if there was none in time.
func (c *Client) Put(id, class string, deadline time.Duration, dest int, body string) (string, error) {
	answer, err := c.put(id, class, deadline, dest, body)
	if err != nil {
		c.Close()
		c.record.Printf("put %s %s dest=%d: no answer: %v", id, class, dest, err)
		return "", err
	}
	c.record.Printf("put %s %s dest=%d: %s", id, class, dest, answer)
	return answer, nil
}

func (c *Client) put(id, class string, deadline time.Duration, dest int, body string) (string, error) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, answerTimeout)
		if err != nil {
			return "", err
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	fields := fmt.Sprintf("c=%s,d=%d,dest=%d", class, deadline.Milliseconds(), dest)
	var text strings.Builder
	args := []string{"MSG.PUT", "0000000000000000", id, fields, body}
	fmt.Fprintf(&text, "*%d\r\n", len(args))
	for _, arg := range args {
		fmt.Fprintf(&text, "$%d\r\n%s\r\n", len(arg), arg)
	}
	c.conn.SetDeadline(time.Now().Add(answerTimeout))
	if _, err := c.conn.Write([]byte(text.String())); err != nil {
		return "", err
	}
	line, err := c.reader.ReadString('\n')
	return strings.TrimSpace(line), err
}

// Close closes the connection.
func (c *Client) Close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

func itoa(n int) string { return strconv.Itoa(n) }
