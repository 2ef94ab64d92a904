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
	watchKeepAlive    = 2 * time.Second // an empty line, as long as nothing changes
	watchWriteTimeout = 5 * time.Second // a watcher that takes nothing for so long is cut
	watchStaleTimeout = 5 * time.Second // without word from a leader, watches end, so that clients move on
	watchBatchLines   = 256             // lines of one write
)

// getWatch serves one watch. It takes the connection over: what net/http keeps
// for one would be most of what a watcher costs.
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
	if e := r.URL.Query().Get("epoch"); e != "" {
		epoch = e
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		n.watchers.Add(-1)
		writeError(w, http.StatusInternalServerError, "%v", err)
		return
	}
	// A goroutine of its own: that of the call keeps net/http's buffers as long as it lasts.
	if !n.startTask(func() {
		defer n.watchers.Add(-1)
		defer conn.Close()
		err := n.watch(conn, epoch, from)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			n.metrics.watchersCut.Inc()
		}
		n.log.Debug("watch over", "of", conn.RemoteAddr().String(), "err", err)
	}) {
		n.watchers.Add(-1)
		conn.Close()
	}
}

// errLeaderLost ends watches at a node that has lost its leader.
var errLeaderLost = errors.New("no word from a leader")

// watch writes what changes after a revision, until its connection ends, the
// node does, or it has been without a leader for too long.
func (n *Node) watch(conn net.Conn, epoch string, at int64) error {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n%s: %s\r\n\r\n", EpochHeader, epoch)
	out := net.Buffers{[]byte(head)}
	quiet := time.NewTimer(watchKeepAlive)
	defer quiet.Stop()
	var behind time.Time
	for {
		lines, revision, now, changed := n.store.changesSince(epoch, at)
		for len(lines) > 0 || len(out) > 0 {
			part := lines[:min(len(lines), watchBatchLines)]
			lines = lines[len(part):]
			size := 0
			for _, l := range part {
				size += len(l)
			}
			if size > 0 {
				out = append(out, fmt.Appendf(nil, "%x\r\n", size))
				out = append(out, part...)
				out = append(out, crlf)
			}
			conn.SetWriteDeadline(time.Now().Add(watchWriteTimeout))
			if _, err := out.WriteTo(conn); err != nil {
				return err
			}
			out = nil
		}
		at, epoch = revision, now
		select {
		case <-n.ctx.Done():
			return n.ctx.Err()
		case <-changed:
			continue
		case <-quiet.C:
			quiet.Reset(watchKeepAlive)
			if !n.isStale() {
				behind = time.Time{}
			} else if behind.IsZero() {
				behind = time.Now()
			} else if time.Since(behind) >= watchStaleTimeout-staleAfter {
				return errLeaderLost
			}
			out = net.Buffers{emptyLine}
		}
	}
}

var (
	crlf      = []byte("\r\n")
	emptyLine = []byte("1\r\n\n\r\n")
)
