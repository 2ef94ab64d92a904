package registry

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"
)

const (
	watchKeepAlive    = 2 * time.Second // interval at which an empty line is sent
	watchWriteTimeout = 5 * time.Second // a write that takes longer ends the watch: the watcher reads nothing
	watchStaleTimeout = 5 * time.Second // without contact with a leader for so long, a watch ends: its client asks another node
	watchBatchLines   = 256             // most lines in one write
)

// errLeaderLost ends watches at a node that has had no contact with a leader for
// watchStaleTimeout.
var errLeaderLost = errors.New("no contact with a leader")

// getWatch serves one watch. It hijacks the connection, since net/http's buffers would
// be most of the memory that a watcher takes.
func (n *Node) getWatch(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "from: a revision is wanted")
		return
	}
	if n.isStale() {
		writeError(w, http.StatusServiceUnavailable, "%v", ErrNoLeader)
		return
	}
	if n.watchers.Add(1) > int64(n.cfg.Watchers) {
		n.watchers.Add(-1)
		writeError(w, http.StatusServiceUnavailable, "%d watchers, no more are taken", n.cfg.Watchers)
		return
	}
	epoch, _, _ := n.store.position()
	if requestedEpoch := r.URL.Query().Get("epoch"); requestedEpoch != "" {
		epoch = requestedEpoch
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		n.watchers.Add(-1)
		writeError(w, http.StatusInternalServerError, "%v", err)
		return
	}
	// The watch runs on its own goroutine, since that of the handler keeps net/http's
	// buffers until it returns.
	if !n.startTask(func() { n.serveWatch(conn, epoch, from) }) {
		n.watchers.Add(-1)
		conn.Close()
	}
}

// serveWatch runs a watch, and closes its connection.
func (n *Node) serveWatch(conn net.Conn, epoch string, from int64) {
	defer n.watchers.Add(-1)
	defer conn.Close()
	err := n.watch(conn, epoch, from)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		n.metrics.watchersCut.Inc()
	}
	n.log.Debug("watch closed", "peer", conn.RemoteAddr().String(), "err", err)
}

// watch writes the changes after a revision as chunks of an HTTP response, until the
// connection breaks, the node is closed, or it has lost the leader for too long.
func (n *Node) watch(conn net.Conn, epoch string, revision int64) error {
	prefix := responseHeader(epoch) // sent with the first lines in one write
	keepAlive := time.NewTimer(watchKeepAlive)
	defer keepAlive.Stop()
	var staleSince time.Time
	for {
		lines, newRevision, newEpoch, changed := n.store.changesSince(epoch, revision)
		if err := writeLines(conn, prefix, lines); err != nil {
			return err
		}
		revision, epoch, prefix = newRevision, newEpoch, nil
		select {
		case <-n.ctx.Done():
			return n.ctx.Err()
		case <-changed:
		case <-keepAlive.C:
			keepAlive.Reset(watchKeepAlive)
			switch {
			case !n.isStale():
				staleSince = time.Time{}
			case staleSince.IsZero():
				staleSince = time.Now()
			case time.Since(staleSince) >= watchStaleTimeout-staleAfter: // isStale turns true only after staleAfter
				return errLeaderLost
			}
			prefix = emptyLineChunk
		}
	}
}

func responseHeader(epoch string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n%s: %s\r\n\r\n", EpochHeader, epoch)
}

var (
	crlf           = []byte("\r\n")
	emptyLineChunk = []byte("1\r\n\n\r\n")
)

// writeLines writes a prefix, which may be nil, and then the lines as chunks of at most
// watchBatchLines lines.
func writeLines(conn net.Conn, prefix []byte, lines [][]byte) error {
	for len(prefix) > 0 || len(lines) > 0 {
		batch := lines[:min(len(lines), watchBatchLines)]
		lines = lines[len(batch):]
		buffers := append(net.Buffers{prefix}, encodeChunk(batch)...)
		prefix = nil
		if err := conn.SetWriteDeadline(time.Now().Add(watchWriteTimeout)); err != nil {
			return err
		}
		if _, err := buffers.WriteTo(conn); err != nil {
			return err
		}
	}
	return nil
}

// encodeChunk encodes lines as one chunk of an HTTP response. It returns nil for no
// lines, since an empty chunk would end the response.
func encodeChunk(lines [][]byte) net.Buffers {
	size := 0
	for _, line := range lines {
		size += len(line)
	}
	if size == 0 {
		return nil
	}
	chunk := net.Buffers{fmt.Appendf(nil, "%x\r\n", size)}
	chunk = append(chunk, lines...)
	return append(chunk, crlf)
}
