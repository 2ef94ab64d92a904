package model

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"plovershore/internal/faultlab/history"
)

// Kinds of invalid peer, as they are called in scenario files and in the history.
const (
	PeerGarbage        = "garbage" // sends bytes of other protocols
	PeerSilent         = "silent"  // sends nothing
	PeerHalfRequest    = "half"    // stops in the middle of a request
	PeerUnknownCommand = "unknown" // sends a command that relays do not have
	PeerLongRequest    = "long"    // sends a request of 60 MB
)

// InvalidPeers lists all kinds of invalid peer: those that send no valid request.
var InvalidPeers = []string{PeerGarbage, PeerSilent, PeerHalfRequest, PeerUnknownCommand, PeerLongRequest}

const (
	peerDialTimeout = time.Second
	peerMargin      = 500 * time.Millisecond // how long a peer waits beyond the time that a relay has to react
	longRequestSize = 60 << 20               // bytes
	longPieceSize   = 64 << 10
)

// peerRequests holds the first bytes that each kind of peer sends. PeerSilent sends
// none.
var peerRequests = map[string]string{
	PeerGarbage:        "\x16\x03\x01\x02\x00\x01\x00GET / HTTP/1.1\r\n\r\n",
	PeerHalfRequest:    "*5\r\n$7\r\nMSG.PUT\r\n$16\r\n0000",
	PeerUnknownCommand: "*1\r\n$8\r\nFLUSHALL\r\n",
	PeerLongRequest: "*5\r\n$7\r\nMSG.PUT\r\n$16\r\n0000000000000000\r\n$16\r\n0123456789abcdef\r\n" +
		"$18\r\nc=alert-update,d=9\r\n$62914560\r\n",
}

// ConnectInvalidPeer connects to a relay as an invalid peer of one kind. It records
// how long it took until the relay sent an error line or closed the connection, or
// that the relay did neither in the time that the terms page allows.
func ConnectInvalidPeer(ctx context.Context, w *World, relay, addr, kind string) {
	start := time.Now()
	conn, err := net.DialTimeout("tcp4", addr, peerDialTimeout)
	if err != nil {
		return // no relay is listening
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	limit := w.Rules.InvalidPeerTimeout
	if kind == PeerLongRequest {
		limit = w.Rules.LongRequestTimeout
	}
	conn.SetDeadline(start.Add(limit + peerMargin))
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		sendInvalid(conn, kind)
	}()
	line, err := bufio.NewReader(conn).ReadString('\n')
	if ctx.Err() == nil {
		ok, text := peerOutcome(line, err)
		status := 0
		if ok {
			status = 1
		}
		w.Recorder.Record(history.Event{Kind: history.InvalidPeer, Relay: relay, Status: status,
			Took: time.Since(start).Microseconds(), Text: kind + ": " + text})
	}
	conn.Close()
	<-sent
}

// sendInvalid writes what a kind of peer sends. It ignores errors, since they mean
// that the relay closed the connection.
func sendInvalid(conn net.Conn, kind string) {
	if _, err := io.WriteString(conn, peerRequests[kind]); err != nil || kind != PeerLongRequest {
		return
	}
	piece := make([]byte, longPieceSize)
	for sent := 0; sent < longRequestSize; sent += len(piece) {
		if _, err := conn.Write(piece); err != nil {
			return
		}
	}
}

// peerOutcome describes how a relay reacted to an invalid peer, and reports whether
// that is allowed: an error line or a closed connection.
func peerOutcome(line string, err error) (ok bool, text string) {
	switch {
	case err == nil && strings.HasPrefix(line, answerErr):
		return true, "an error line"
	case err == nil:
		return false, fmt.Sprintf("answered %q", line)
	case isTimeout(err):
		return false, "neither an error line nor a close"
	}
	return true, "a close"
}
