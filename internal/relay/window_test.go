package relay

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/discovery/discoverytest"
)

// callTimes records when an endpoint received the calls of each message.
type callTimes struct {
	mu   sync.Mutex
	byID map[string][]time.Time
}

func (c *callTimes) record(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byID[id] = append(c.byID[id], time.Now())
}

func (c *callTimes) get(id string) []time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]time.Time(nil), c.byID[id]...)
}

// noticeTimes records when the notice of each message was first seen at discovery.
type noticeTimes struct {
	mu   sync.Mutex
	byID map[string]time.Time
}

// record records the notices that discovery has received, until done is closed.
func (n *noticeTimes) record(disc *discoverytest.Server, done <-chan struct{}) {
	for {
		disc.Mu.Lock()
		n.mu.Lock()
		for id := range disc.Notices {
			if n.byID[id].IsZero() {
				n.byID[id] = time.Now()
			}
		}
		n.mu.Unlock()
		disc.Mu.Unlock()
		select {
		case <-done:
			return
		case <-time.After(2 * time.Millisecond):
		}
	}
}

func (n *noticeTimes) get(id string) (at time.Time, seen bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	at, seen = n.byID[id]
	return at, seen
}

// A relay with a deduplication window of only 1 s is killed at a random time and restarted
// 0.6 s later. A message that may have run must not be sent again once its window is over,
// which begins with its first attempt that may have run. From then on it must fail within
// its deadline, and must not be returned as never run. A message that was never tried is
// still sent.
func TestShortDedupWindowHoldsAcrossKill(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runShortWindow(t, rand.New(rand.NewPCG(seed, 5)))
		})
	}
}

// runShortWindow kills and restarts a relay once, at a time drawn from rng, and checks the
// calls and the end of each message.
func runShortWindow(t *testing.T, rng *rand.Rand) {
	const (
		window   = time.Second
		deadline = 7 * time.Second
		slack    = 100 * time.Millisecond // allowance for the time between sending and receiving a call
	)
	calls := &callTimes{byID: map[string][]time.Time{}}
	newRecordingEndpoint := func(answer func(http.ResponseWriter, *http.Request, int)) *fakeEndpoint {
		return newFakeEndpoint(t, func(w http.ResponseWriter, r *http.Request, n int) {
			calls.record(r.Header.Get("X-Request-ID"))
			answer(w, r, n)
		})
	}
	hung := newRecordingEndpoint(hang)
	failing := newRecordingEndpoint(answerStatus(http.StatusInternalServerError))
	aborting := newRecordingEndpoint(func(http.ResponseWriter, *http.Request, int) { panic(http.ErrAbortHandler) })
	listedLater := newRecordingEndpoint(func(http.ResponseWriter, *http.Request, int) {})
	disc := discoverytest.New(t, failing.member("s-2", 2), aborting.member("s-3", 3))
	for i := range 40 { // one endpoint for each hanging call, so that none delays the others
		disc.List.Members = append(disc.List.Members, hung.member(fmt.Sprintf("h-%d", i), 100+i))
	}
	env := writeTestConfig(t, disc, 3)
	editConfig(t, env, `"dedup_window_us":20000000,"group":"all","late_worth":0.3,"name":"keyed"`,
		`"dedup_window_us":1000000,"group":"all","late_worth":0.3,"name":"keyed"`)
	notices, done := &noticeTimes{byID: map[string]time.Time{}}, make(chan struct{})
	defer close(done)
	go notices.record(disc, done)
	c := spawnWithLog(t, env, io.Discard)
	c.waitReady(t)
	cl := dialClient(t, env["ROUTER_LISTEN"])
	submittedAt := map[string]time.Time{}
	killAt := time.Now().Add(time.Duration(rng.Int64N(int64(2 * window))))
	for i := 0; time.Now().Before(killAt) || i < 10; i++ {
		dest := []int{100 + i, 2, 100 + i, 3, 5}[i%5] // destination 5 has no endpoint yet
		id := fmt.Sprintf("m%d-%d", i, dest)
		submittedAt[id] = time.Now()
		if s := cl.put(id, putFields("keyed", int(deadline.Milliseconds()), dest), nil); s != "+OK" {
			t.Fatal(s)
		}
		time.Sleep(time.Duration(rng.Int64N(int64(window / 5)))) // spreads the messages over the time before the kill
	}
	c.kill()
	killedAt := time.Now()
	time.Sleep(600 * time.Millisecond) // the time in which the platform restarts a process
	for _, ep := range []*fakeEndpoint{hung, failing, aborting} {
		ep.setAnswer(func(_ http.ResponseWriter, r *http.Request, _ int) { calls.record(r.Header.Get("X-Request-ID")) })
	}
	disc.Set(func(d *discoverytest.Server) { d.List.Members = append(d.List.Members, listedLater.member("s-5", 5)) })
	c = spawnWithLog(t, env, io.Discard)
	c.waitReady(t)
	readyAt := time.Now()
	repeated, endedByNotice, longestTime := 0, 0, time.Duration(0)
	for id, submitted := range submittedAt {
		waitFor(t, "the delivery or notice of "+id, func() bool {
			_, hasNotice := notices.get(id)
			return hasNotice || hung.answeredOK(id) || failing.answeredOK(id) || aborting.answeredOK(id) || listedLater.answeredOK(id)
		})
		calledAt := calls.get(id)
		noticeAt, hasNotice := notices.get(id)
		n, _ := disc.Notice(id)
		if delay := noticeAt.Sub(submitted.Add(deadline + 350*time.Millisecond)); delay > 0 && noticeAt.Sub(readyAt) > 1550*time.Millisecond {
			t.Errorf("%s: notice came %v late", id, delay)
		}
		switch {
		case strings.HasSuffix(id, "-5"):
			if len(calledAt) != 1 || hasNotice {
				t.Errorf("%s was not tried before the kill: got %d calls and notice %q, want 1 call and no notice", id, len(calledAt), n.Outcome)
			}
			continue
		case len(calledAt) == 0: // it was never sent: no call slot was free, or the policy rejected it because its destination failed
			continue
		}
		if lastCall := calledAt[len(calledAt)-1]; lastCall.Sub(calledAt[0]) > window+slack {
			t.Errorf("%s was sent again %v after its first call, outside its window", id, lastCall.Sub(calledAt[0]))
		}
		if len(calledAt) > 1 && calledAt[len(calledAt)-1].After(killedAt) {
			repeated++
		}
		if !hasNotice {
			continue
		}
		if age := noticeAt.Sub(calledAt[0]); n.Outcome != discovery.Failed && age > window+slack {
			t.Errorf("%s may have run, but its notice says %s, %v after its first call", id, n.Outcome, age)
		}
		endedByNotice++
		longestTime = max(longestTime, noticeAt.Sub(calledAt[0]))
	}
	t.Logf("killed after %d messages: %d were sent again after the restart, %d ended by a notice, up to %v after their first call",
		len(submittedAt), repeated, endedByNotice, longestTime)
}
