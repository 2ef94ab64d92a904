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

// Kinds of invalid peer, as scenario files and the history have them.
const (
	PeerGarbage        = "garbage" // sends another protocol
	PeerSilent         = "silent"  // sends nothing
	PeerHalfRequest    = "half"    // stops within a request
	PeerUnknownCommand = "unknown"
	PeerLongRequest    = "long" // sends a request of 60 MB
)

// InvalidPeers are the kinds of peer that send no proper request.
var InvalidPeers = []string{PeerGarbage, PeerSilent, PeerHalfRequest, PeerUnknownCommand, PeerLongRequest}

const (
	peerDialTimeout = time.Second
	peerMargin      = 500 * time.Millisecond // beyond the time that a relay has
	longRequestSize = 60 << 20
	longPieceSize   = 64 << 10
)

// peerRequests is what each kind sends at first.
var peerRequests = map[string]string{
	PeerGarbage:        "\x16\x03\x01\x02\x00\x01\x00GET / HTTP/1.1\r\n\r\n",
	PeerHalfRequest:    "*5\r\n$7\r\nMSG.PUT\r\n$16\r\n0000",
	PeerUnknownCommand: "*1\r\n$8\r\nFLUSHALL\r\n",
	PeerLongRequest: "*5\r\n$7\r\nMSG.PUT\r\n$16\r\n0000000000000000\r\n$16\r\n0123456789abcdef\r\n" +
		"$18\r\nc=alert-update,d=9\r\n$62914560\r\n",
}

// ConnectInvalidPeer connects to a relay as an invalid peer of one kind and records
// whether it got an error line or a close in the time that the terms give.
func ConnectInvalidPeer(ctx context.Context, w *World, relay, addr, kind string) {
	start := time.Now()
	conn, err := net.DialTimeout("tcp4", addr, peerDialTimeout)
	if err != nil {
		return // the relay is not there
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

// sendInvalid writes what a kind of peer sends. Errors are the relay's close.
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

// peerOutcome describes what an invalid peer got, and whether that is as it should be.
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
