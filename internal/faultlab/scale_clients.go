package faultlab

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"plovershore/internal/faultlab/model"
	"plovershore/internal/faultlab/scenario"
)

const (
	clientTimeout = 2 * time.Second // for one request
	maxIdleConns  = 64              // connections that are kept open to one relay
)

// scaleClients submits messages to one real relay, at the rate at which a simulated
// relay draws its own. It does not wait for the answers to earlier messages.
type scaleClients struct {
	scenario   *scenario.Scenario
	addr       string
	random     *rand.Rand
	onLateness func(time.Duration)
	idle       chan *scaleConn

	offered, accepted, rejected, unanswered atomic.Int64
}

type scaleConn struct {
	net.Conn
	in *bufio.Reader
}

func newScaleClients(s *scenario.Scenario, addr string, random *rand.Rand, onLateness func(time.Duration)) *scaleClients {
	return &scaleClients{scenario: s, addr: addr, random: random, onLateness: onLateness, idle: make(chan *scaleConn, maxIdleConns)}
}

// run submits messages until ctx ends, and returns once each message has an answer or
// has failed.
func (c *scaleClients) run(ctx context.Context, relay int) {
	var wg sync.WaitGroup
	defer c.close()
	defer wg.Wait()
	if c.scenario.Scale.Rate == 0 {
		return
	}
	due := time.Now()
	for n := 0; ; n++ {
		due = due.Add(time.Duration(c.random.ExpFloat64() / c.scenario.Scale.Rate * float64(time.Second)))
		if !model.Sleep(ctx, time.Until(due)) {
			return
		}
		c.onLateness(time.Since(due))
		class := 0
		if c.random.Float64() >= model.Classes()[0].Fraction {
			class = 1
		}
		text := c.request(fmt.Sprintf("%08x%08x", relay, n), class, c.random.IntN(c.scenario.Scale.Members))
		c.offered.Add(1)
		wg.Add(1)
		go func() { defer wg.Done(); c.submit(text) }()
	}
}

// request returns the bytes of a MSG.PUT request. The first byte of the message's body
// is the index of its class, which the endpoint reads.
func (c *scaleClients) request(id string, class, dest int) []byte {
	fields := fmt.Sprintf("c=%s,d=%d,dest=%d", model.Classes()[class].Name, scenario.Seconds(c.scenario.Scale.Deadline).Milliseconds(), dest)
	body := fmt.Sprint(class) + strings.Repeat("x", scaleBody-1)
	request := []byte("*5\r\n")
	for _, s := range []string{"MSG.PUT", "0000000000000000", id, fields, body} {
		request = fmt.Appendf(request, "$%d\r\n%s\r\n", len(s), s)
	}
	return request
}

func (c *scaleClients) submit(text []byte) {
	line, err := c.exchange(text)
	switch {
	case err != nil:
		c.unanswered.Add(1)
	case strings.HasPrefix(line, "+"), strings.HasPrefix(line, "$"):
		c.accepted.Add(1)
	default:
		c.rejected.Add(1)
	}
}

// exchange sends a request on an idle connection, or on a new one, and returns the
// first line of the answer.
func (c *scaleClients) exchange(text []byte) (string, error) {
	var relayConn *scaleConn
	select {
	case relayConn = <-c.idle:
	default:
		conn, err := net.DialTimeout("tcp4", c.addr, clientTimeout)
		if err != nil {
			return "", err
		}
		relayConn = &scaleConn{conn, bufio.NewReader(conn)}
	}
	relayConn.SetDeadline(time.Now().Add(clientTimeout))
	if _, err := relayConn.Write(text); err != nil {
		relayConn.Close()
		return "", err
	}
	line, err := relayConn.in.ReadString('\n')
	if err != nil || strings.HasPrefix(line, "$") { // the text of a bulk string is left unread, so the connection cannot be reused
		relayConn.Close()
		return line, err
	}
	select {
	case c.idle <- relayConn:
	default:
		relayConn.Close()
	}
	return line, nil
}

func (c *scaleClients) close() {
	for {
		select {
		case idle := <-c.idle:
			idle.Close()
		default:
			return
		}
	}
}
