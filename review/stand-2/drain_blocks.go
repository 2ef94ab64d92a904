package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// Figures of the case of a client that sends in blocks.
const (
	blockBytes    = 1024                   // a client's buffer; it writes whole blocks, wherever they end
	blockInterval = 250 * time.Millisecond // time between two blocks
	// messagesPerBlock is about how many messages a block has.
	messagesPerBlock = 5
	drainJudgedAt    = 4 * time.Second // after the first no
	recentMessage    = 2 * time.Second // a connection must carry no message from this time
)

// blockClient sends a steady stream of messages on one connection. It sends several at
// once: its buffer is written whenever it is full. With inTurn it sends one whole message
// at a time instead, and waits for the answer.
type blockClient struct {
	rec      *record
	addr     string
	inTurn   bool
	stop     chan struct{}
	answered chan struct{} // capacity 1
	done     sync.WaitGroup
	sent     int // used by the writer alone

	mu       sync.Mutex
	isOpen   bool
	accepted []time.Time // times of the answers that take a message on
}

func (b *blockClient) play() error {
	c, err := dial(b.addr)
	if err != nil {
		return err
	}
	b.isOpen, b.stop = true, make(chan struct{})
	b.answered = make(chan struct{}, 1)
	b.done.Add(2)
	if b.inTurn {
		go b.writeInTurn(c)
	} else {
		go b.write(c)
	}
	go b.read(c)
	return nil
}

// nextCommand returns the command of the next message.
func (b *blockClient) nextCommand() []byte {
	b.sent++
	return putCommand(fmt.Sprintf("b%06d", b.sent), "alert-update", 8*time.Second, 7, strings.Repeat("x", 130))
}

func (b *blockClient) writeInTurn(c *client) {
	defer b.done.Done()
	ticker := time.NewTicker(blockInterval / messagesPerBlock)
	defer ticker.Stop()
	for {
		if _, err := c.conn.Write(b.nextCommand()); err != nil {
			return
		}
		b.rec.printf("client wrote message b%06d", b.sent)
		select {
		case <-b.stop:
			c.conn.Close()
			return
		case <-b.answered:
		}
		select {
		case <-b.stop:
			c.conn.Close()
			return
		case <-ticker.C:
		}
	}
}

func (b *blockClient) write(c *client) {
	defer b.done.Done()
	var buffer []byte
	ticker := time.NewTicker(blockInterval)
	defer ticker.Stop()
	for {
		for len(buffer) < blockBytes {
			buffer = append(buffer, b.nextCommand()...)
		}
		if _, err := c.conn.Write(buffer[:blockBytes]); err != nil {
			return
		}
		b.rec.printf("client wrote a block, up to a part of message b%06d", b.sent)
		buffer = append([]byte{}, buffer[blockBytes:]...)
		select {
		case <-b.stop:
			c.conn.Close()
			return
		case <-ticker.C:
		}
	}
}

func (b *blockClient) read(c *client) {
	defer b.done.Done()
	for {
		line, err := c.answer(time.Second)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		b.mu.Lock()
		if err != nil {
			b.isOpen = false
			b.mu.Unlock()
			if !errors.Is(err, net.ErrClosed) {
				b.rec.printf("client's connection ended: %v", err)
			}
			if errors.Is(err, io.EOF) {
				c.conn.Close()
			}
			return
		}
		if strings.HasPrefix(line, "+") {
			b.accepted = append(b.accepted, time.Now())
		}
		b.mu.Unlock()
		b.rec.printf("client got %s", line)
		select {
		case b.answered <- struct{}{}:
		default:
		}
	}
}

func (b *blockClient) acceptedSince(t time.Time) (count int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, at := range b.accepted {
		if at.After(t) {
			count++
		}
	}
	return count
}

func playDrainBlocks(s *stage) (broken []string, err error) {
	p, err := s.open(func([]string) time.Duration { return 40 * time.Millisecond })
	if err != nil {
		return nil, err
	}
	b := &blockClient{rec: s.rec, addr: s.host.listen, inTurn: !s.trouble}
	if err := b.play(); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	if b.acceptedSince(s.rec.start) == 0 {
		return nil, errors.New("no message was taken on before the drain")
	}
	firstNo, err := s.drain(p)
	if err != nil {
		return nil, err
	}
	time.Sleep(time.Until(firstNo.Add(drainJudgedAt)))
	b.mu.Lock()
	isOpen := b.isOpen
	b.mu.Unlock()
	recent := b.acceptedSince(time.Now().Add(-recentMessage))
	s.rec.printf("4 s after the first no: the client's connection is open: %v; messages taken on in the last 2 s: %d", isOpen, recent)
	close(b.stop)
	b.done.Wait()
	if isOpen && recent > 0 {
		broken = append(broken, fmt.Sprintf("4 s after the first no, a client's connection is open and carried %d messages that were taken on in the last 2 s", recent))
	}
	return broken, nil
}

// drain asks a process for a drain, and PING every 0.1 s until an answer says no. It
// returns the time of that answer.
func (s *stage) drain(p *relayProcess) (firstNo time.Time, err error) {
	s.rec.printf("POST /v1/relay/drain to process %s", p.name)
	if err := p.call(http.MethodPost, "/v1/relay/drain"); err != nil {
		return time.Time{}, err
	}
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		answer, err := ping(s.host.listen)
		s.rec.printf("PING: %q %v", answer, err)
		if err == nil && !strings.HasPrefix(answer, "+PONG") {
			return time.Now(), nil
		}
	}
	return time.Now(), nil
}
