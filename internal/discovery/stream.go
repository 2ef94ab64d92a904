package discovery

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

const (
	watchSilenceTimeout = 3500 * time.Millisecond // bounds the time without data on a watch; discovery sends a keepalive every 2 s
	continuationTimeout = 100 * time.Millisecond  // bounds the wait for the next line of an unfinished list, which discovery writes without a pause
	continuationPerByte = 100 * time.Nanosecond   // extends continuationTimeout for each byte read so far, since discovery takes longer to write large lists
)

// errWatchSilent is the reason for closing a watch on which nothing was received
// for too long.
var errWatchSilent = errors.New("watch is silent")

// listState is the position of a watch in the list's history.
type listState struct {
	revision int64
	known    bool // the list is known up to revision; if false, the complete list has to be fetched
}

// fetchList fetches the complete list and validates it.
func (w *Watch) fetchList(ctx context.Context, addr string) (*List, error) {
	ctx, cancel := context.WithTimeout(ctx, w.answerTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+ListPath, nil)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, &StatusError{Call: "list", Status: resp.StatusCode}
	}
	text, err := readListBody(resp, w.listLimit)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	l, err := Parse(text)
	if err == nil && !l.Complete {
		err = errors.New("discovery: list: not complete")
	}
	return l, err
}

// followChanges opens a watch on the changes after the state from, and delivers
// them until the watch ends. It returns the state that was reached. The list is no
// longer known after an update that cannot be applied, or after a status that is no
// rejection.
func (w *Watch) followChanges(ctx context.Context, addr string, from listState) (listState, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silenceTimer := time.AfterFunc(max(w.silenceTimeout, w.answerTimeout), func() { cancel(errWatchSilent) })
	defer silenceTimer.Stop()
	resp, err := w.openWatch(ctx, addr, from.revision)
	if err != nil {
		var status *StatusError
		if errors.As(err, &status) && !status.isRejection() {
			from.known = false // discovery does not have the changes since from.revision
		}
		return from, err
	}
	defer resp.Body.Close()
	reader := newListReader(resp.Body, w.listLimit)
	reader.onWait = func(unfinished int) {
		timeout := w.silenceTimeout
		if unfinished > 0 {
			timeout = min(timeout, continuationTimeout+time.Duration(unfinished)*continuationPerByte)
		}
		silenceTimer.Reset(timeout)
	}
	reader.onRead = func() { silenceTimer.Stop() } // parsing a large list takes long, and is no silence of discovery
	return w.readChanges(ctx, reader, from)
}

// openWatch opens a watch on the changes after a revision. The caller must close
// the body of the response.
func (w *Watch) openWatch(ctx context.Context, addr string, revision int64) (*http.Response, error) {
	url := "http://" + addr + ListPath + "?watch=1&from=" + strconv.FormatInt(revision, 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	resp, err := w.client.Do(req)
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, fmt.Errorf("discovery: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, &StatusError{Call: "watch", Status: resp.StatusCode}
	}
	return resp, nil
}

// readChanges delivers the updates of an open watch in order, until the watch ends
// or an update cannot be applied. It returns the state that was reached and the
// reason for the end.
func (w *Watch) readChanges(ctx context.Context, reader *listReader, state listState) (listState, error) {
	for {
		l, err := reader.nextList()
		if l != nil && !l.Complete && l.Revision < state.revision {
			err = fmt.Errorf("revision goes back from %d to %d", state.revision, l.Revision)
		}
		if err != nil {
			if cause := context.Cause(ctx); cause != nil && reader.atEOF {
				err = cause
			}
			state.known = reader.atEOF
			return state, fmt.Errorf("discovery: watch: %w", err)
		}
		w.resetFailures()
		if l != nil {
			state.revision = l.Revision
			w.onList(l)
		}
	}
}
