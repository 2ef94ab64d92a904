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
	watchSilenceTimeout = 3500 * time.Millisecond // a watch says something every 2 s
	continuationTimeout = 100 * time.Millisecond  // for the next line of a list that goes on: it is written at once
	continuationPerByte = 100 * time.Nanosecond   // more for each byte that has come: large lists take their writer longer
)

// errWatchSilent ends a watch on which nothing came for too long.
var errWatchSilent = errors.New("silent")

// listState is how far a watch has come.
type listState struct {
	revision int64
	known    bool // the list is known up to revision; else the whole list has to be fetched
}

// fetchList asks once for the whole list.
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
	text, err := readList(resp, w.listLimit)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	l, err := Parse(text)
	if err == nil && !l.Complete {
		err = errors.New("discovery: the whole list was asked for, a part came")
	}
	return l, err
}

// followChanges opens a watch on what changes after a state and hands it on until
// the watch ends. It returns how far that came; after a line that cannot be read
// the list is not known any more.
func (w *Watch) followChanges(ctx context.Context, addr string, from listState) (listState, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silenceTimer := time.AfterFunc(max(w.silenceTimeout, w.answerTimeout), func() { cancel(errWatchSilent) })
	defer silenceTimer.Stop()
	resp, err := w.openWatch(ctx, addr, from.revision)
	if err != nil {
		var status *StatusError
		if errors.As(err, &status) && !status.turnedAway() {
			from.known = false // discovery cannot go on from there
		}
		return from, err
	}
	defer resp.Body.Close()
	reader := newListReader(resp.Body, w.listLimit)
	reader.onWait = func(begun int) {
		limit := w.silenceTimeout
		if begun > 0 {
			limit = min(limit, continuationTimeout+time.Duration(begun)*continuationPerByte)
		}
		silenceTimer.Reset(limit)
	}
	reader.onRead = func() { silenceTimer.Stop() } // a large list takes its time to parse
	return w.readChanges(ctx, reader, from)
}

// openWatch opens a watch on what changes after a revision.
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

// readChanges hands on the lists of an open watch, in order.
func (w *Watch) readChanges(ctx context.Context, reader *listReader, state listState) (listState, error) {
	for {
		l, err := reader.next()
		if l != nil && !l.Complete && l.Revision < state.revision {
			err = fmt.Errorf("discovery: a change back from revision %d to %d", state.revision, l.Revision)
		}
		if err != nil {
			if cause := context.Cause(ctx); cause != nil && reader.ended {
				err = cause
			}
			state.known = reader.ended
			return state, fmt.Errorf("discovery: watch: %w", err)
		}
		w.recovered()
		if l != nil {
			state.revision = l.Revision
			w.onList(l)
		}
	}
}
