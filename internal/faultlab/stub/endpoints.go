package stub

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"plovershore/internal/discovery"
)

// watchBackoff is the pause before the watch of the endpoint list is opened again.
const watchBackoff = 100 * time.Millisecond

// endpoint is one member of the endpoint list.
type endpoint struct {
	ID          string `json:"id"`
	Address     string `json:"host_port"`
	Destination int    `json:"cell"`
	Phase       string `json:"phase"`
}

// endpointUpdate is a complete endpoint list, or only the endpoints that have changed.
type endpointUpdate struct {
	Complete bool       `json:"complete"`
	Members  []endpoint `json:"members"`
	Revision int64      `json:"revision"`
}

// endpointList holds the current endpoint list. It is safe for concurrent use.
type endpointList struct {
	retainRemoved bool // keeps removed endpoints, for the defect IgnoreDrain; not changed after newRelay

	mu  sync.Mutex
	all []endpoint
}

// apply replaces the list by a complete one, or applies changes to it.
func (l *endpointList) apply(update endpointUpdate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if update.Complete {
		l.all = update.Members
		return
	}
	for _, changed := range update.Members {
		l.all = slices.DeleteFunc(l.all, func(e endpoint) bool { return e.ID == changed.ID })
		if changed.Phase != discovery.Removed || l.retainRemoved {
			l.all = append(l.all, changed)
		}
	}
}

// pick returns a random endpoint among those that qualify; ok is false if none does.
func (l *endpointList) pick(qualifies func(endpoint) bool) (chosen endpoint, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var candidates []endpoint
	for _, e := range l.all {
		if qualifies(e) {
			candidates = append(candidates, e)
		}
	}
	if len(candidates) == 0 {
		return endpoint{}, false
	}
	return candidates[rand.IntN(len(candidates))], true
}

// watchEndpoints keeps the endpoint list up to date with the changes after the given
// revision, until ctx ends.
func (r *relay) watchEndpoints(ctx context.Context, revision int64) {
	for ctx.Err() == nil {
		revision = r.watchOnce(ctx, revision)
		sleep(ctx, watchBackoff)
	}
}

// watchOnce applies the updates of one watch until its response ends, and returns the
// revision of the last one.
func (r *relay) watchOnce(ctx context.Context, revision int64) int64 {
	url := fmt.Sprintf("http://%s%s?watch=1&from=%d", *r.discovery.Load(), discovery.ListPath, revision)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return revision
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return revision
	}
	defer resp.Body.Close()
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		var update endpointUpdate
		if json.Unmarshal(lines.Bytes(), &update) == nil {
			r.endpoints.apply(update)
			revision = update.Revision
		}
	}
	return revision
}

// sleep waits until d has passed or ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
