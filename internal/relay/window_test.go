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

// callTimes keeps when the calls of each message came.
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

// noticeTimes keeps when the notice of each message was first seen.
type noticeTimes struct {
	mu   sync.Mutex
	byID map[string]time.Time
}

// follow books the notices that discovery has taken, until done is closed.
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

// Guards the window for repeats where it is as short as 1 s, over a kill at any moment and the 0.6 s until the next
// process: what may have run is not sent again once its window is over, counted from its first send that may have run,
// and from then on it is given up, in time and not handed back. What was never tried still is.
func TestShortDedupWindowHoldsAcrossKill(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runShortWindow(t, rand.New(rand.NewPCG(seed, 5)))
		})
	}
}

func runShortWindow(t *testing.T, rng *rand.Rand) {
	const (
		window   = time.Second
		deadline = 7 * time.Second
		slack    = 100 * time.Millisecond // on the way from the relay, of either call
	)
	calls := &callTimes{byID: map[string][]time.Time{}}
	fares := func(answer func(http.ResponseWriter, *http.Request, int)) *fakeEndpoint {
		return newFakeEndpoint(t, func(w http.ResponseWriter, r *http.Request, n int) {
			calls.record(r.Header.Get("X-Request-ID"))
			answer(w, r, n)
		})
	}
	hung := fares(hang)
	failing := fares(answerStatus(http.StatusInternalServerError))
	cut := fares(func(http.ResponseWriter, *http.Request, int) { panic(http.ErrAbortHandler) })
	later := fares(func(http.ResponseWriter, *http.Request, int) {})
	disc := discoverytest.New(t, failing.member("s-2", 2), cut.member("s-3", 3))
	for i := range 40 { // one call hangs at each, and takes nothing of the others' windows
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
	began := map[string]time.Time{}
	killAt := time.Now().Add(time.Duration(rng.Int64N(int64(2 * window))))
	for i := 0; time.Now().Before(killAt) || i < 10; i++ {
		dest := []int{100 + i, 2, 100 + i, 3, 5}[i%5] // nobody serves 5 yet
		id := fmt.Sprintf("m%d-%d", i, dest)
		began[id] = time.Now()
		if s := cl.put(id, putFields("keyed", int(deadline.Milliseconds()), dest), nil); s != "+OK" {
			t.Fatal(s)
		}
		time.Sleep(time.Duration(rng.Int64N(int64(window / 5)))) // they are spread over the time before the kill
	}
	c.kill()
	killed := time.Now()
	time.Sleep(600 * time.Millisecond) // as the platform has it
	for _, ep := range []*fakeEndpoint{hung, failing, cut} {
		ep.setAnswer(func(_ http.ResponseWriter, r *http.Request, _ int) { calls.record(r.Header.Get("X-Request-ID")) })
	}
	disc.Set(func(d *discoverytest.Server) { d.List.Members = append(d.List.Members, later.member("s-5", 5)) })
	c = spawnWithLog(t, env, io.Discard)
	c.waitReady(t)
	ready := time.Now()
	repeated, givenUp, longest := 0, 0, time.Duration(0)
	for id, at := range began {
		waitFor(t, "the end of "+id, func() bool {
			_, told := notices.get(id)
			return told || hung.answeredOK(id) || failing.answeredOK(id) || cut.answeredOK(id) || later.answeredOK(id)
		})
		sent := calls.get(id)
		told, ended := notices.get(id)
		n, _ := disc.Notice(id)
		if late := told.Sub(at.Add(deadline + 350*time.Millisecond)); late > 0 && told.Sub(ready) > 1550*time.Millisecond {
			t.Errorf("%s ended %v late", id, late)
		}
		switch {
		case strings.HasSuffix(id, "-5"):
			if len(sent) != 1 || ended {
				t.Errorf("%s, which was never tried, came %d times, notice %q", id, len(sent), n.Outcome)
			}
			continue
		case len(sent) == 0: // it was held for want of a slot, or turned away by what failed
			continue
		}
		if last := sent[len(sent)-1]; last.Sub(sent[0]) > window+slack {
			t.Errorf("%s came again %v after its first call", id, last.Sub(sent[0]))
		}
		if len(sent) > 1 && sent[len(sent)-1].After(killed) {
			repeated++
		}
		if !ended {
			continue
		}
		if age := told.Sub(sent[0]); n.Outcome != discovery.Failed && age > window+slack {
			t.Errorf("%s, which may have run, was %s %v after its first call", id, n.Outcome, age)
		}
		givenUp++
		longest = max(longest, told.Sub(sent[0]))
	}
	t.Logf("killed after %d hand-ins: %d came again after it, %d ended by notice, up to %v after their first call",
		len(began), repeated, givenUp, longest)
}
